#!/usr/bin/env bash
# Time from accepted to in force everywhere: quiet, under load, with a tenth of the nodes restarting,
# and right after an outage of the log. Also the time from `zone out` to the last new work there.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

SIZES="8 32 96"
CHANGES=40
SEED=${SEED:-1}
LOAD_PER_S=${LOAD_PER_S:-400}
OUTAGE_S=5
STAY_S=1 # time from the start of a node to its next stop
SCENARIOS="quiet load restart outage"
OUTAGES=4
LOAD_SECONDS_PER_CHANGE=4
while [ $# -gt 0 ]; do
  case $1 in
    --sizes) SIZES=$2; shift 2 ;;
    --changes) CHANGES=$2; shift 2 ;;
    --scenarios) SCENARIOS=$2; shift 2 ;;
    *) echo "usage: propagation.sh [--sizes \"8 32\"] [--changes N] [--scenarios \"quiet load\"]" >&2; exit 2 ;;
  esac
done

# changes LABEL COUNT [flags of propagation]
changes() {
  local label=$1 count=$2
  shift 2
  echo "== $size nodes, $label, load average $(cut -d' ' -f1 /proc/loadavg)"
  "$BIN/examples/propagation" --admins "$WORK/admins" --changes "$count" --seed "$SEED" --threads 2 "$@"
}

under_load() {
  local load kinds="$WORK/kinds.json"
  echo '[{"path": "/herd/history/7", "branch": "fleet"}]' >"$kinds"
  "$BIN/examples/loadgen" --targets "$(callers_csv)" --kinds "$kinds" --rate "$LOAD_PER_S" \
    --seconds $((CHANGES * LOAD_SECONDS_PER_CHANGE)) --seed "$SEED" --connections 4 --timeout-ms 2000 \
    --threads 1 >"$WORK/load.out" 2>&1 &
  load=$!
  changes "$LOAD_PER_S calls/s" "$CHANGES" --witness "${SERVER[spare]}"
  kill "$load" 2>/dev/null || true
  wait "$load" 2>/dev/null || true
  echo "  runs in the zone since its start: $(zone_runs)"
}

zone_runs() { curl -sS "http://${SERVER[spare]}/-/witness?detail=totals" | grep -oE "\"runs\": ?[0-9]+" | head -1; }

# restart_tenth: SIGTERM to a tenth of the nodes, but not the contact, then starts them again.
restart_tenth() {
  local index name
  for ((index = 1; index < size; index += 10)); do
    name="node-$index"
    kill -TERM "${NODE_PID[$name]}"
    wait "${NODE_PID[$name]}" || echo "$name exited with $?" >&2
    RUST_LOG=warn run_node "$name"
  done
}

restarting() {
  local measuring
  changes "a tenth of the nodes restarting" "$CHANGES" &
  measuring=$!
  while kill -0 "$measuring" 2>/dev/null; do
    restart_tenth
    sleep "$STAY_S"
  done
  wait "$measuring"
}

set_log() {
  curl -sS -X PUT "http://$LOG_ADDRESS/faults" -H 'content-type: application/json' -d "{\"down\": \"$1\"}" >/dev/null
}

after_outage() {
  local outage
  for ((outage = 0; outage < OUTAGES; outage++)); do
    set_log refuse
    sleep "$OUTAGE_S"
    set_log up
    changes "right after an outage of ${OUTAGE_S} s" 2
  done
}

build
for size in $SIZES; do
  fleet_start "$size"
  for scenario in $SCENARIOS; do
    case $scenario in
      quiet) changes "quiet" "$CHANGES" ;;
      load) under_load ;;
      restart) restarting ;;
      outage) after_outage ;;
      *) echo "no scenario $scenario" >&2; exit 2 ;;
    esac
  done
  fleet_stop
done
