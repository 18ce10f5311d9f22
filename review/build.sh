#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml
