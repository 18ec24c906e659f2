#!/bin/sh
# Builds the stand-ins of the third review's scripts. They use the standard library only. Run at any place.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/*/case.rs; do
    grep -q 'stand-ins-3/harness.rs' "$case" || continue
    name=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-3/case-$name" "$case"
done
