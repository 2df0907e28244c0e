#!/usr/bin/env bash
# Runs the fault soak: soak.sh FIRST_SEED COUNT; on so many hosts as BRONZELOCK_SOAK_HOSTS says, else on five
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -ne 2 ]; then
  echo "usage: soak.sh FIRST_SEED COUNT" >&2
  exit 2
fi
export BRONZELOCK_SOAK_FIRST="$1" BRONZELOCK_SOAK_SEEDS="$2"
exec cargo test --locked --test host_processes -- --nocapture soak::seeds_asked_for
