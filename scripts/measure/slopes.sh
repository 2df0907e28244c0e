#!/usr/bin/env bash
# CPU, memory, messages and requests to the log of idle nodes, at several sizes.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

SIZES="8 32 96 200"
SECONDS_PER_SIZE=30
SETTLE_S=20
while [ $# -gt 0 ]; do
  case $1 in
    --sizes) SIZES=$2; shift 2 ;;
    --seconds) SECONDS_PER_SIZE=$2; shift 2 ;;
    --settle) SETTLE_S=$2; shift 2 ;;
    *) echo "usage: slopes.sh [--sizes \"8 32\"] [--seconds N] [--settle N]" >&2; exit 2 ;;
  esac
done

build
for size in $SIZES; do
  fleet_start "$size"
  sleep "$SETTLE_S"
  echo "== idle, $(fleet_states)"
  "$BIN/examples/node_meter" --listen "$STATSD_ADDRESS" --log "$LOG_ADDRESS" \
    --pids "$WORK/pids" --seconds "$SECONDS_PER_SIZE" --threads 1
  fleet_stop
done
