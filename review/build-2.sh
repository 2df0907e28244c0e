#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: one program of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 --crate-name cases -o target/review-2/cases review/cases-2/src/main.rs
