#!/bin/sh
# Builds the stand-ins and checks that the scripts in review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --manifest-path review/probes-2/Cargo.toml
