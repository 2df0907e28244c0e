#!/usr/bin/env bash
# Throughput of one node with 1 to 4 threads: answers over the time that all of them take, while
# more is offered than the node takes, from a backend server with slots to spare. The callers wait
# for their answers, since a caller that gives up costs a connection and an answer.
set -euo pipefail
source "$(dirname "$0")/common.sh"

OFFERED_PER_THREAD_S=${OFFERED_PER_THREAD_S:-15000}
TIMEOUT_MS=30000
SLOTS=200
CONNECTIONS=220

# measure_run THREADS RUN
measure_run() {
  local row="threads-$1" run=$2 cpu report answers elapsed_ms
  cpu=$(cpu_ms "${NODE_PID[herd-1]}")
  run_load "$row" "$run" --targets "${CALLER[herd-1]}" --path /herd/history/7 --branch throughput \
    --rate $((OFFERED_PER_THREAD_S * $1)) --seconds "$SECONDS_PER_RUN" --connections 64 \
    --timeout-ms $TIMEOUT_MS --threads 3
  cpu=$(($(cpu_ms "${NODE_PID[herd-1]}") - cpu))
  report="$REPORTS/$row/$run.json"
  answers=$(answered "$report")
  elapsed_ms=$(grep -m1 -oE '"elapsed_ms": ?[0-9]+' "$report" | grep -oE '[0-9]+')
  note "$row" "$run" answers_per_s "$(awk "BEGIN {print $answers * 1000 / $elapsed_ms}")"
  note "$row" "$run" node_cores "$(awk "BEGIN {print $cpu / $elapsed_ms}")"
  note "$row" "$run" cpu_us_per_answer "$(awk "BEGIN {print $cpu * 1000 / $answers}")"
}

# measure_threads THREADS
measure_threads() {
  local run
  NODE_THREADS=$1
  start_log
  start_pair herd-1 herd ratchaburi --slots $SLOTS --cold-slots $SLOTS --cold-ms 100 --service-time-us 200
  wait_until 10 admin_ready
  wait_until 10 configure "$WORK/answers.json"
  wait_for_warm 1
  sleep 1
  for run in $(seq "$RUNS"); do measure_run "$1" "$run"; done
  stop_cluster
}

build
print_conditions throughput
write_answers "$WORK/answers.json" herd throughput '["ratchaburi"]' \
  slots=$SLOTS cold_slots=$SLOTS cold_ms=100 connections=$CONNECTIONS
for threads in 1 2 3 4; do measure_threads $threads; done
print_table "answers/s=extra.answers_per_s,node's cores=extra.node_cores,CPU µs per answer=extra.cpu_us_per_answer,answered %=all.answered_percent,load average=extra.load_average" \
  threads-1 threads-2 threads-3 threads-4
