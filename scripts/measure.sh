#!/usr/bin/env bash
# Prints one table of measurements: medians over runs, beside the baselines.
set -euo pipefail
usage="usage: scripts/measure.sh overhead|throughput|tail|fairness|cold|retries|probes|zone [--seed N] [--runs N] [--seconds N]"
table=${1:-}
case $table in
  overhead | throughput | tail | fairness | cold | retries | probes | zone) shift ;;
  *) echo "$usage" >&2; exit 2 ;;
esac
export SEED=1 RUNS=3 SECONDS_PER_RUN=8
while [ $# -gt 0 ]; do
  case $# in 1) echo "$usage" >&2; exit 2 ;; esac
  [[ $2 =~ ^[1-9][0-9]*$ ]] || { echo "$1 takes a whole number from 1" >&2; exit 2; }
  case $1 in
    --seed) SEED=$2 ;;
    --runs) RUNS=$2 ;;
    --seconds) SECONDS_PER_RUN=$2 ;;
    *) echo "$usage" >&2; exit 2 ;;
  esac
  shift 2
done
exec "$(dirname "$0")/measure/$table.sh"
