#!/usr/bin/env bash
# Throughput of one node with 1 to 4 threads: answers per second while offered more than it takes,
# from a backend server with slots to spare.
set -euo pipefail
source "$(dirname "$0")/common.sh"

OFFERED_PER_S=${OFFERED_PER_S:-40000}
SLOTS=200
CONNECTIONS=220

# cpu_ms PID: processor time that a process has used.
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"; }

# measure_threads THREADS
measure_threads() {
  local run row="threads-$1" before after
  NODE_THREADS=$1
  start_log
  start_pair herd-1 herd ratchaburi --slots $SLOTS --cold-slots $SLOTS --cold-ms 100 --service-time-us 200
  wait_until 10 admin_ready
  wait_until 10 configure "$WORK/answers.json"
  wait_for_warm 1
  for run in $(seq "$RUNS"); do
    before=$(cpu_ms "${NODE_PID[herd-1]}")
    run_load "$row" "$run" --targets "${CALLER[herd-1]}" --path /herd/history/7 --branch throughput \
      --rate "$OFFERED_PER_S" --seconds "$SECONDS_PER_RUN" --connections 64 --timeout-ms 1000 --threads 3
    after=$(cpu_ms "${NODE_PID[herd-1]}")
    note "$row" "$run" node_cores "$(awk "BEGIN {print ($after - $before) / 1000 / $SECONDS_PER_RUN}")"
    note "$row" "$run" cpu_us_per_answer \
      "$(awk "BEGIN {print ($after - $before) * 1000 / $(answered "$REPORTS/$row/$run.json")}")"
  done
  stop_cluster
}

# answered REPORT: whole answers of all kinds, the first count of that name.
answered() { grep -m1 -oE '"answered": ?[0-9]+' "$1" | grep -oE '[0-9]+'; }

build
print_conditions throughput
write_answers "$WORK/answers.json" herd throughput '["ratchaburi"]' \
  slots=$SLOTS cold_slots=$SLOTS cold_ms=100 connections=$CONNECTIONS
for threads in 1 2 3 4; do measure_threads $threads; done
print_table "answered/s=all.answered_per_s,node's cores=extra.node_cores,CPU µs per answer=extra.cpu_us_per_answer,send delay p99 ms=all.send_delay_p99_ms,load average=extra.load_average" \
  threads-1 threads-2 threads-3 threads-4
