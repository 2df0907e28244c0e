#!/usr/bin/env bash
# Explores the specifications within larger bounds than CI does; takes some minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
export BRONZELOCK_MODEL_SENDS=3 BRONZELOCK_MODEL_CRASHES=1
cargo test --release --locked --test 'model_*' every_promise -- --nocapture
