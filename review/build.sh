#!/bin/bash
# Builds the stand-ins of all cases. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
