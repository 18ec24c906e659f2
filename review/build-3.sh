#!/bin/sh
# Builds the programs of the third review (stand-ins-3/NOTES.md). They use the standard library only. Run at any place.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in gap unsettled stop taken_up alike; do
    rustc --edition 2024 -O -o "target/review-3/$name" "review/stand-ins-3/$name.rs"
done
