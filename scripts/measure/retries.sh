#!/usr/bin/env bash
# Work while a fifth of the backend servers fails at once: runs over requests offered (below 1.2),
# with the retry budget and with one that never ends. `steady`: one server fails all the time.
# `moving`: another one fails every quarter of a second, so that no node has learned of it yet.
set -euo pipefail
source "$(dirname "$0")/common.sh"

RATE_PER_S=1500 # half of what five servers of 12 slots bear at 20 ms a request
MOVE_S=0.25
NO_BUDGET='"routing": {"retry": {"percent_of_requests": 100, "burst": 10000, "hops_max": 16}},'

# start_herd [settings of each node]
start_herd() {
  local i
  NODE_EXTRA=${1:-}
  NODE_THREADS=1
  start_log
  for i in 1 2 3 4 5; do
    start_pair "herd-$i" herd ratchaburi --cold-slots 12 --cold-ms 200 --service-time-us 20000
  done
  wait_until 10 admin_ready
  wait_until 10 configure "$WORK/answers.json"
  wait_for_warm 5
  sleep 1
}

# fail_in_turn: lets each backend server fail in turn until the run is over.
fail_in_turn() {
  local name turns
  turns=$(awk "BEGIN {print int($SECONDS_PER_RUN / $MOVE_S)}")
  while [ "$turns" -gt 0 ]; do
    name=${NODES[$((turns % ${#NODES[@]}))]}
    behave "$name" '{"fail_fast": true}'
    sleep $MOVE_S
    behave "$name" '{"fail_fast": false}'
    turns=$((turns - 1))
  done
}

# measure_run ROW RUN
measure_run() {
  local row=$1 run=$2 before after sent
  before=$(witness_sum runs "${NODES[@]}")
  run_load "$row" "$run" --targets "$(callers_csv)" --path /herd/history/7 --branch retries \
    --rate $RATE_PER_S --seconds "$SECONDS_PER_RUN" --connections 32 --timeout-ms 1000 --threads 2
  after=$(witness_sum runs "${NODES[@]}")
  sent=$(grep -m1 -oE '"sent": ?[0-9]+' "$REPORTS/$row/$run.json" | grep -oE '[0-9]+')
  note "$row" "$run" work_over_offered "$(awk "BEGIN {print ($after - $before) / $sent}")"
}

# measure LABEL [settings of each node]
measure() {
  local run mover
  start_herd "${2:-}"
  for run in $(seq "$RUNS"); do
    fail_in_turn &
    mover=$!
    measure_run "moving,$1" "$run"
    wait $mover
    sleep 1
  done
  behave herd-1 '{"fail_fast": true}'
  for run in $(seq "$RUNS"); do measure_run "steady,$1" "$run"; done
  stop_cluster
}

build
print_conditions retries
write_answers "$WORK/answers.json" herd retries '["ratchaburi"]' cold_slots=12 cold_ms=200 deadline_ms=1000
measure budget
measure no-budget "$NO_BUDGET"
print_table "work / offered=extra.work_over_offered,answered %=all.answered_percent,p99 ms=all.p99_ms,load average=extra.load_average" \
  steady,budget steady,no-budget moving,budget moving,no-budget
echo "not measured: calls 13 deep; the stand-ins do not call each other"
