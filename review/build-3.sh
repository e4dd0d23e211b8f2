#!/usr/bin/env bash
# Builds the program of the deploy file and the stand-ins and drivers of the cases 11 to 15, without a network. The
# drivers use the versions of the project's lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --package cowslipcross
cp Cargo.lock review/harness-3/Cargo.lock
cargo build --release --offline --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
