#!/usr/bin/env bash
# Added time per call: through bronzelock minus straight to the backend server, both in one run.
set -euo pipefail
source "$(dirname "$0")/cluster.sh"

SECONDS_PER_RUN=${SECONDS_PER_RUN:-10}
RUNS=${RUNS:-3}
SEED=${SEED:-1}
SERVICE_TIME_US=${SERVICE_TIME_US:-2000}

write_answers() {
  cat >"$WORK/answers.json" <<JSON
{"service": "herd", "branch": "overhead", "zones": ["ratchaburi", "saraburi"], "urgent_kinds": [],
 "non_idempotent_kinds": [], "slots": 12, "connections": 220, "cold_slots": 12, "cold_ms": 1000,
 "deadline_ms": 2000, "deadline_required": false, "body_bytes_max": 65536, "probes_per_s": 2,
 "branch_weight": 1, "urgent_share_percent": 40}
JSON
}

# kinds FILE TARGET_SERVER: two kinds of equal weight, through the targets and straight.
write_kinds() {
  cat >"$1" <<JSON
[{"name": "through bronzelock", "path": "/herd/history/7", "branch": "overhead"},
 {"name": "straight", "path": "/history/7", "branch": "overhead", "straight_to": "$2"}]
JSON
}

# measure LABEL CALLER RATE
measure() {
  local run
  for run in $(seq "$RUNS"); do
    "$BIN/examples/loadgen" --targets "$2" --kinds "$WORK/kinds.json" --rate "$3" \
      --seconds "$SECONDS_PER_RUN" --seed $((SEED + run)) --connections 16 --timeout-ms 2000 \
      --threads 2 --spacing even --json "$WORK/$1-$run.json" >/dev/null || true
  done
  for run in $(seq "$RUNS"); do echo "$WORK/$1-$run.json"; done
}

build
write_answers
start_log
start_pair herd-1 herd ratchaburi --slots 12 --cold-slots 12 --cold-ms 1000 --service-time-us "$SERVICE_TIME_US"
start_pair entry-1 parlour saraburi --service-time-us "$SERVICE_TIME_US"
wait_until 10 admin_ready
wait_until 10 configure "$WORK/answers.json"
wait_until 20 status_has 1 "warm"
sleep 1
write_kinds "$WORK/kinds.json" "${SERVER[herd-1]}"
measure local-idle "${CALLER[herd-1]}" 200
measure peer-idle "${CALLER[entry-1]}" 200
measure local-busy "${CALLER[herd-1]}" 4000
measure peer-busy "${CALLER[entry-1]}" 4000
