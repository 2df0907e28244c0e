#!/usr/bin/env bash
# Added time per call: through bronzelock minus straight to the backend server, both in one run.
# The target is 0.72 ms at p99. `noise` is the same difference between two kinds that go straight.
set -euo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_TIME_US=2000
IDLE_PER_S=200
BUSY_PER_S=4000 # half through the gate; together two thirds of the 6000 that 12 slots bear

# write_kinds SERVER: kinds of equal weight, through the targets and straight.
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
start_pair herd-1 herd ratchaburi --cold-slots 12 --cold-ms 1000 --service-time-us $SERVICE_TIME_US
start_pair entry-1 parlour saraburi --service-time-us $SERVICE_TIME_US
wait_until 10 admin_ready
wait_until 10 configure "$WORK/answers.json"
wait_for_warm 1
sleep 1
write_kinds "${SERVER[herd-1]}"
for run in $(seq "$RUNS"); do
  for case in "local-idle herd-1 $IDLE_PER_S" "peer-idle entry-1 $IDLE_PER_S" \
    "local-busy herd-1 $BUSY_PER_S" "peer-busy entry-1 $BUSY_PER_S"; do
    read -r row node rate <<<"$case"
    run_load "$row" "$run" --targets "${CALLER[$node]}" --kinds "$WORK/kinds.json" --rate "$rate" \
      --seconds "$SECONDS_PER_RUN" --connections 16 --timeout-ms 2000 --threads 2 --spacing even
  done
done
added="added p50 ms=through-straight.p50_ms,added p99 ms=through-straight.p99_ms,added p99.9 ms=through-straight.p999_ms"
noise="noise p99 ms=again-straight.p99_ms,straight p50 ms=straight.p50_ms,straight p99 ms=straight.p99_ms"
print_table "$added,$noise,answered %=all.answered_percent,load average=extra.load_average" \
  local-idle peer-idle local-busy peer-busy
