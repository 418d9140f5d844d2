#!/bin/sh
# Builds the stand-ins and callers of all cases. Needs no network once the deploy file's build has run.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline \
    --manifest-path review/cases/Cargo.toml
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline \
    --manifest-path review/probes/Cargo.toml
