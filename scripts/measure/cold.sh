#!/usr/bin/env bash
# Cold start under full load: requests in flight while cold against what is borne, and the time
# until the backend server runs as much as another (90% of its rate, seen every 0.2 s).
set -euo pipefail
source "$(dirname "$0")/common.sh"

COLD_SLOTS=3
COLD_MS=2000
RATE_PER_S=1800 # all that three servers of 12 slots bear at 20 ms a request
ZONES=(ratchaburi saraburi nakhon-pathom)

zone() { "$BIN/bronzelock" zone "$1" "$2" --admin "$(first_admin)" --yes >"$WORK/zone.out" 2>&1; }

# start_herd SERVICE_READY: starts three pairs; with `warm`, waits until all are warm.
start_herd() {
  local i
  NODE_THREADS=1
  start_log
  for i in 1 2 3; do
    start_pair "herd-$i" herd "${ZONES[$((i - 1))]}" --cold-slots $COLD_SLOTS --cold-ms $COLD_MS \
      --service-time-us 20000
  done
  wait_until 10 admin_ready
  wait_until 10 configure "$WORK/answers.json"
  [ "$1" != warm ] || { wait_for_warm 3; sleep 1; }
}

# full_share ROW RUN: notes the time from now until herd-3 runs as much as herd-2.
full_share() {
  local started_ms before3 before2 now3 now2 elapsed_ms=0
  started_ms=$(date +%s%3N)
  before3=$(witness herd-3 runs) before2=$(witness herd-2 runs)
  while [ "$elapsed_ms" -lt $((SECONDS_PER_RUN * 1000)) ]; do
    sleep 0.2
    now3=$(witness herd-3 runs) now2=$(witness herd-2 runs)
    elapsed_ms=$(($(date +%s%3N) - started_ms))
    if [ "$elapsed_ms" -gt 400 ] && [ $((now2 - before2)) -gt 0 ] &&
      [ $(((now3 - before3) * 10)) -ge $(((now2 - before2) * 9)) ]; then
      break
    fi
    before3=$now3 before2=$now2
  done
  note "$1" "$2" full_share_ms "$elapsed_ms"
}

# trouble ROW RUN: what befalls herd-3 two seconds into the load.
trouble() {
  [ "$1" = first-start ] && return
  sleep 2
  behave herd-3 '{"cold_restart": true}'
  [ "$1" = zone-return ] && { sleep 0.5; zone in "${ZONES[2]}"; }
  full_share "$1" "$2"
}

# measure ROW RUN
measure() {
  local row=$1 run=$2 troubler
  case $row in first-start) start_herd cold ;; *) start_herd warm ;; esac
  [ "$row" != zone-return ] || { zone out "${ZONES[2]}"; sleep 1; }
  trouble "$row" "$run" &
  troubler=$!
  run_load "$row" "$run" --targets "$(callers_csv)" --path /herd/history/7 --branch cold --rate $RATE_PER_S \
    --seconds "$SECONDS_PER_RUN" --connections 64 --timeout-ms 1000 --threads 2
  wait $troubler
  for name in "${NODES[@]}"; do witness "$name" cold_in_flight_max; done | sort -n | tail -1 >"$WORK/peak"
  note "$row" "$run" cold_in_flight_max "$(cat "$WORK/peak")"
  note "$row" "$run" overloaded_cold "$(witness_sum overloaded_cold "${NODES[@]}")"
  stop_cluster
}

build
print_conditions "cold ($COLD_SLOTS of 12 slots for $COLD_MS ms)"
write_answers "$WORK/answers.json" herd cold '["ratchaburi", "saraburi", "nakhon-pathom"]' \
  cold_slots=$COLD_SLOTS cold_ms=$COLD_MS deadline_ms=1000
for run in $(seq "$RUNS"); do
  for row in first-start restart zone-return; do measure $row "$run"; done
done
common="in flight while cold=extra.cold_in_flight_max,runs beyond what is borne=extra.overloaded_cold,answered %=all.answered_percent,lost %=all.lost_percent,p99 ms=all.p99_ms,load average=extra.load_average"
print_table "$common" first-start restart zone-return
print_table "to full share ms=extra.full_share_ms" restart zone-return
print_table "answered=all.answered,refused=all.refused,failed=all.failed" --by-second first-start
