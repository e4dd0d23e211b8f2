#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program without dependencies, from review/harness.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
