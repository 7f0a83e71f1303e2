#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. Needs rustc only: no crate, no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "bin/$name" "$source"
done
