#!/bin/sh
# Builds the stand-ins that the cases start. The libraries are in the machine's cargo cache after
# the build of the deploy file; no network is used.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review
