#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library alone, so all there
# is to do is to check that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
python3 - stand-ins-2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import sys

assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    with open(path, "rb") as text:
        compile(text.read(), path, "exec")
print("stand-ins: %d files read" % len(sys.argv[1:]))
CHECK
