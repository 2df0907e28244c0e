#!/usr/bin/env bash
# Fuzzes for SECONDS from SEED on; each further round takes the next seed.
set -euo pipefail
if [ $# -ne 2 ]; then
    echo "usage: scripts/fuzz.sh SECONDS SEED" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
export BRONZELOCK_FUZZ_SECONDS="$1" BRONZELOCK_FUZZ_SEED="$2"
cargo test --release --locked --test 'fuzz_*' -- --nocapture
