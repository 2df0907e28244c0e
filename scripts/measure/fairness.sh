#!/usr/bin/env bash
# Fairness between two branches of equal weight, and urgent work under overload, at one gate.
# Baselines: the same load without the neighbour's excess, and straight to a twin without a gate.
set -euo pipefail
source "$(dirname "$0")/common.sh"

SERVER_FLAGS=(--cold-slots 12 --cold-ms 200 --service-time-us 15000)
SHARE_PER_S=400 # half of the 800 that 12 slots bear at 15 ms a request
WITHIN_SHARE_PER_S=$((SHARE_PER_S * 8 / 10))
URGENT_PER_S=$((SHARE_PER_S / 10))
TWICE_CAPACITY_PER_S=$((SHARE_PER_S * 4))

# kind NAME PATH BRANCH RATE: one kind, its weight the rate; appended to KINDS, added to RATE.
kind() {
  local straight=""
  [ "$STRAIGHT" = 1 ] && straight=", \"straight_to\": \"${SERVER[twin]}\""
  KINDS="$KINDS${KINDS:+,}{\"name\": \"$1\", \"path\": \"/herd$2\", \"branch\": \"$3\", \"weight\": $4$straight}"
  RATE=$((RATE + $4))
}

# measure ROW RUN STRAIGHT (PAIR of kind's arguments)...: each further argument is one kind.
measure() {
  local row=$1 run=$2 spec
  STRAIGHT=$3 KINDS="" RATE=0
  shift 3
  for spec in "$@"; do
    # The words of a kind hold no spaces.
    read -r -a words <<<"$spec"
    kind "${words[@]}"
  done
  echo "[$KINDS]" >"$WORK/kinds.json"
  run_load "$row" "$run" --targets "${CALLER[herd-1]}" --kinds "$WORK/kinds.json" --rate "$RATE" \
    --seconds "$SECONDS_PER_RUN" --connections 192 --timeout-ms 1000 --threads 2
  sleep 1
}

build
print_conditions fairness
for branch in a b; do
  write_answers "$WORK/$branch.json" herd $branch '["ratchaburi"]' cold_slots=12 cold_ms=200 deadline_ms=1000
done
start_log
start_pair herd-1 herd ratchaburi "${SERVER_FLAGS[@]}"
start_bare_server twin "${SERVER_FLAGS[@]}"
wait_until 10 admin_ready
wait_until 10 configure "$WORK/a.json" "$WORK/b.json"
wait_for_warm 1
sleep 1
within="a /history/7 a $WITHIN_SHARE_PER_S"
for run in $(seq "$RUNS"); do
  measure neighbour-within-share "$run" 0 "$within" "b /history/7 b $WITHIN_SHARE_PER_S"
  measure neighbour-ten-times "$run" 0 "$within" "b /history/7 b $((SHARE_PER_S * 10))"
  measure neighbour-ten-times-urgent "$run" 0 "$within" "b /lookup/7 b $((SHARE_PER_S * 10))"
  measure neighbour-ten-times-straight "$run" 1 "$within" "b /history/7 b $((SHARE_PER_S * 10))"
  measure urgent-alone "$run" 0 "urgent /lookup/7 a $URGENT_PER_S"
  measure urgent-overload "$run" 0 "urgent /lookup/7 a $URGENT_PER_S" "ordinary /history/7 b $TWICE_CAPACITY_PER_S"
  measure urgent-overload-straight "$run" 1 "urgent /lookup/7 a $URGENT_PER_S" \
    "ordinary /history/7 b $TWICE_CAPACITY_PER_S"
done
print_table "a answered %=a.answered_percent,a p50 ms=a.p50_ms,a p99 ms=a.p99_ms,b answered/s=b.answered_per_s,load average=extra.load_average" \
  neighbour-within-share neighbour-ten-times neighbour-ten-times-urgent neighbour-ten-times-straight
print_table "urgent answered %=urgent.answered_percent,urgent p50 ms=urgent.p50_ms,urgent p99 ms=urgent.p99_ms,load average=extra.load_average" \
  urgent-alone urgent-overload urgent-overload-straight
echo "ordinary goodput, of 800/s that the backend server bears:"
print_table "ordinary answered/s=ordinary.answered_per_s" urgent-overload urgent-overload-straight
