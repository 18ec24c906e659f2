#!/bin/sh
# Builds the program of an earlier commit from this repository's history, in a folder of its own, and prints its path.
# Usage: tools/build-earlier.sh COMMIT
set -eu
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify --short=12 "$1^{commit}")
folder="$PWD/target/earlier"
program="$folder/$commit/ridgeworksd"
if [ ! -x "$program" ]; then
  rm -rf "$folder/$commit"
  mkdir -p "$folder/$commit/source"
  git archive "$commit" | tar -x -C "$folder/$commit/source"
  # One folder for the libraries of all commits.
  (cd "$folder/$commit/source" &&
    RIDGEWORKS_COMMIT="$commit" cargo build --release --locked -p ridgeworks-node --bin ridgeworksd --target-dir "$folder/build" >&2)
  cp "$folder/build/release/ridgeworksd" "$program"
fi
echo "$program"
