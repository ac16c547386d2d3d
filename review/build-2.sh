#!/bin/bash
# Builds the stand-ins of the second review's scripts with the compiler alone, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/tests/standins-2/main.rs
