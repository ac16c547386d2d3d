#!/bin/sh
# Builds the stand-ins of the cases. Run it in the repository after the build of the deploy
# file. It needs no network and no dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/tests/standins/Cargo.toml --target-dir target/review
