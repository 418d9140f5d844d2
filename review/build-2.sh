#!/bin/sh
# Builds the stand-ins and the checks that the scripts in review/6 to review/9 start. Needs no network once the
# deploy file's build has run.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/probes-2/Cargo.toml
