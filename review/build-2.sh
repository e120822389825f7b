#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cp Cargo.lock review/standins-2/Cargo.lock
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
