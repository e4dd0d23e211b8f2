#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They have no dependencies, so that no network is needed.
# The instances are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
