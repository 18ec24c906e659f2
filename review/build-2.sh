#!/bin/sh
# Builds the stand-ins and the scripts' program of the second review. Needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/stand-ins-2/main.rs
