#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml
