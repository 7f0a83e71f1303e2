#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$here/../.." && pwd) || exit 2
RECORD="$here/record.txt"
export ROOT RECORD
[ -x "$ROOT/review/bin/case3" ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec "$ROOT/review/bin/case3"
