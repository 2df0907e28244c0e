#!/usr/bin/env bash
# Added time per call: through bronzelock minus straight to a backend server, both in one run.
# The target is 0.72 ms at p99. `noise` is the same difference between two kinds that go straight.
# Straight requests go to a twin, since the gate knows nothing of work that passes it by.
set -euo pipefail
source "$(dirname "$0")/common.sh"

SERVER_FLAGS=(--slots 12 --cold-slots 12 --cold-ms 1000 --service-time-us 4000)
IDLE_PER_S=200
BUSY_PER_S=4000 # half of it through the gate: two thirds of the 3000 that 12 slots bear

# write_kinds SERVER: through the targets, and as much straight to the server in two kinds.
write_kinds() {
  cat >"$WORK/kinds.json" <<JSON
[{"name": "through", "weight": 2, "path": "/herd/history/7", "branch": "overhead"},
 {"name": "straight", "path": "/history/7", "branch": "overhead", "straight_to": "$1"},
 {"name": "again", "path": "/history/7", "branch": "overhead", "straight_to": "$1"}]
JSON
}

build
print_conditions overhead
write_answers "$WORK/answers.json" herd overhead '["ratchaburi", "saraburi"]' cold_slots=12
start_log
start_pair herd-1 herd ratchaburi "${SERVER_FLAGS[@]}"
start_pair entry-1 parlour saraburi "${SERVER_FLAGS[@]}"
start_bare_server twin "${SERVER_FLAGS[@]}"
wait_until 10 admin_ready
wait_until 10 configure "$WORK/answers.json"
wait_for_warm 1
sleep 1
write_kinds "${SERVER[twin]}"

# counted ROW RUN [flags of loadgen]: one run, with the nodes' waits and processor time per call.
counted() {
  local row=$1 run=$2 waits cpu calls
  waits=$(($(switches "${NODE_PID[herd-1]}") + $(switches "${NODE_PID[entry-1]}")))
  cpu=$(($(cpu_ms "${NODE_PID[herd-1]}") + $(cpu_ms "${NODE_PID[entry-1]}")))
  run_load "$@"
  calls=$(($(answered "$REPORTS/$row/$run.json") / 2)) # half of the calls go straight
  waits=$(($(switches "${NODE_PID[herd-1]}") + $(switches "${NODE_PID[entry-1]}") - waits))
  cpu=$(($(cpu_ms "${NODE_PID[herd-1]}") + $(cpu_ms "${NODE_PID[entry-1]}") - cpu))
  note "$row" "$run" waits_per_call "$(awk "BEGIN {print $waits / $calls}")"
  note "$row" "$run" cpu_us_per_call "$(awk "BEGIN {print $cpu * 1000 / $calls}")"
}

for run in $(seq "$RUNS"); do
  for case in "local-idle herd-1 $IDLE_PER_S" "peer-idle entry-1 $IDLE_PER_S" \
    "local-busy herd-1 $BUSY_PER_S" "peer-busy entry-1 $BUSY_PER_S"; do
    read -r row node rate <<<"$case"
    counted "$row" "$run" --targets "${CALLER[$node]}" --kinds "$WORK/kinds.json" --rate "$rate" \
      --seconds "$SECONDS_PER_RUN" --connections 32 --timeout-ms 2000 --threads 2 --spacing even
  done
done
added="added p50 ms=through-straight.p50_ms,added p99 ms=through-straight.p99_ms,added p99.9 ms=through-straight.p999_ms"
noise="noise p99 ms=again-straight.p99_ms,straight p50 ms=straight.p50_ms,straight p99 ms=straight.p99_ms"
print_table "$added,$noise,through answered %=through.answered_percent,straight answered %=straight.answered_percent,load average=extra.load_average" \
  local-idle peer-idle local-busy peer-busy
echo "threads of the nodes that waited, and their processor time, per call:"
print_table "waits per call=extra.waits_per_call,CPU µs per call=extra.cpu_us_per_call" \
  local-idle peer-idle local-busy peer-busy
