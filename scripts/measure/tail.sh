#!/usr/bin/env bash
# Tail latency by routing policy: the same seed, arrivals and disturbances under each policy.
# Srisawat's herd: five backend servers of 12 slots in three availability zones. Callers use nodes of
# another service, since a node with a backend server of the service serves it there while it has room.
set -euo pipefail
source "$(dirname "$0")/common.sh"
source "$(dirname "$0")/disturbances.sh"

POLICIES=(random round-robin least-known-load two-choices)
KINDS=(none slowdown neighbour burst lagging lying)
RATE_PER_S=1800 # 60% of the 3000 that 5 servers of 12 slots bear at 20 ms a request
HERD=(herd-1 herd-2 herd-3 herd-4 herd-5)
BURST_PER_S=900 # bursts of five times this are half more than the servers bear

# start_herd POLICY
start_herd() {
  local i zones=(ratchaburi saraburi nakhon-pathom)
  NODE_EXTRA="\"routing\": {\"policy\": \"$1\"},"
  NODE_THREADS=2
  start_log
  for i in 1 2 3 4 5; do
    start_pair "herd-$i" herd "${zones[$((i % 3))]}" --cold-slots 12 --cold-ms 200 \
      --service-time-us 20000 --service-time-spread-percent 50 --seed "$i"
  done
  for i in 1 2; do start_pair "entry-$i" parlour "${zones[$i]}"; done
  wait_until 10 admin_ready
  wait_until 10 configure "$WORK/answers.json"
  wait_for_warm 5
  sleep 1
}

# measure_kind POLICY KIND RUN
measure_kind() {
  local row="$2,$1" run=$3 disturber="" rate=$RATE_PER_S flags=()
  case $2 in
    burst) rate=$BURST_PER_S flags=(--burst 1000:300:5 --burst 2500:300:5) ;;
    none) ;;
    *)
      disturb "$2" "$SECONDS_PER_RUN" $((SEED + run)) "${HERD[@]}" &
      disturber=$!
      ;;
  esac
  run_load "$row" "$run" --targets "$(callers_csv parlour)" --kinds "$WORK/kinds.json" --rate "$rate" \
    --seconds "$SECONDS_PER_RUN" --connections 128 --timeout-ms 1000 --threads 2 "${flags[@]}"
  [ -z "$disturber" ] || wait "$disturber"
  sleep 0.5
  for name in "${HERD[@]}"; do behave "$name" '{"health": "honest"}'; done
}

build
print_conditions tail
write_answers "$WORK/answers.json" herd tail '["ratchaburi", "saraburi", "nakhon-pathom"]' \
  cold_slots=12 cold_ms=200 deadline_ms=1000
cat >"$WORK/kinds.json" <<JSON
[{"name": "urgent", "weight": 1, "path": "/herd/lookup/7", "branch": "tail"},
 {"name": "ordinary", "weight": 9, "path": "/herd/history/7", "branch": "tail"}]
JSON
for policy in "${POLICIES[@]}"; do
  start_herd "$policy"
  for run in $(seq "$RUNS"); do
    for kind in "${KINDS[@]}"; do measure_kind "$policy" "$kind" "$run"; done
  done
  stop_cluster
done
rows=()
for kind in "${KINDS[@]}"; do for policy in "${POLICIES[@]}"; do rows+=("$kind,$policy"); done; done
print_table "answered %=all.answered_percent,urgent p99 ms=urgent.p99_ms,p50 ms=all.p50_ms,p99 ms=all.p99_ms,p99.9 ms=all.p999_ms,load average=extra.load_average" \
  "${rows[@]}"
