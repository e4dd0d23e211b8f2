#!/usr/bin/env bash
# Builds the program of the deploy file and the stand-ins and drivers of the cases 11 to 15, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --package cowslipcross
cargo build --release --locked --offline --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
