#!/usr/bin/env bash
# Service while an availability zone leaves and returns at 70% load, by second of the run, for both
# deployments of the brief. The zone leaves after a quarter of the run and returns after half.
set -euo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_TIME_US=40000
COLD_MS=1000
LOAD_PERCENT=70

zone() { "$BIN/bronzelock" zone "$1" "$2" --admin "$(first_admin)" --yes >"$WORK/zone.out" 2>&1; }

# start_service SERVICE COUNT SLOTS ZONES...
start_service() {
  local service=$1 count=$2 slots=$3 i
  shift 3
  local zones=("$@")
  for i in $(seq "$count"); do
    start_pair "$service-$i" "$service" "${zones[$(((i - 1) % 3))]}" --slots "$slots" --cold-slots 3 \
      --cold-ms $COLD_MS --service-time-us $SERVICE_TIME_US --service-time-spread-percent 25
  done
  write_answers "$WORK/$service.json" "$service" crew "[\"$1\", \"$2\", \"$3\"]" slots="$slots" cold_ms=$COLD_MS
}

# add_kinds SERVICE CAPACITY: a tenth of the service's load is urgent, a tenth not idempotent.
add_kinds() {
  local weight=$(($2 * LOAD_PERCENT / 1000))
  KINDS="$KINDS${KINDS:+,}
   {\"name\": \"$1 urgent\", \"path\": \"/$1/lookup/7\", \"branch\": \"crew\", \"weight\": $weight},
   {\"name\": \"$1 ordinary\", \"path\": \"/$1/history/7\", \"branch\": \"crew\", \"weight\": $((weight * 8))},
   {\"name\": \"$1 once\", \"path\": \"/$1/gate/7\", \"method\": \"POST\", \"branch\": \"crew\",
    \"non_idempotent\": true, \"body_bytes\": 64, \"weight\": $weight}"
  RATE=$((RATE + weight * 10))
}

# leave_and_return ZONE
leave_and_return() {
  sleep "$(awk "BEGIN {print $SECONDS_PER_RUN / 4}")"
  zone out "$1"
  sleep "$(awk "BEGIN {print $SECONDS_PER_RUN / 4}")"
  zone in "$1"
}

# measure DEPLOYMENT SERVICE COUNT SERVICE COUNT SLOTS ZONES...
measure() {
  local row=$1 first=$2 first_count=$3 second=$4 second_count=$5 slots=$6 run mover
  shift 6
  KINDS="" RATE=0 NODE_THREADS=1
  start_log
  start_service "$first" "$first_count" "$slots" "$@"
  start_service "$second" "$second_count" "$slots" "$@"
  wait_until 20 admin_ready
  wait_until 10 configure "$WORK/$first.json" "$WORK/$second.json"
  wait_for_warm $((first_count + second_count))
  add_kinds "$first" $((first_count * slots * 1000000 / SERVICE_TIME_US))
  add_kinds "$second" $((second_count * slots * 1000000 / SERVICE_TIME_US))
  echo "[$KINDS]" >"$WORK/kinds.json"
  for run in $(seq "$RUNS"); do
    leave_and_return "$1" &
    mover=$!
    run_load "$row" "$run" --targets "$(callers_csv)" --kinds "$WORK/kinds.json" --rate "$RATE" \
      --seconds "$SECONDS_PER_RUN" --connections 32 --timeout-ms 2000 --threads 2 --witnesses "$(servers_csv)"
    wait $mover
    sleep 2
  done
  stop_cluster
  print_table "$first urgent p99 ms=$first urgent.p99_ms,$second urgent p99 ms=$second urgent.p99_ms,all p99 ms=all.p99_ms,sent=all.sent,refused=all.refused,failed=all.failed" \
    --by-second "$row"
  print_table "$first urgent answered %=$first urgent.answered_percent,$second urgent answered %=$second urgent.answered_percent,all answered %=all.answered_percent,lost %=all.lost_percent,load average=extra.load_average" \
    "$row"
}

build
print_conditions zone
measure srisawat herd 5 parlour 3 12 ratchaburi saraburi nakhon-pathom
measure asante ductbook 6 camlog 5 9 accra-kaneshie accra-tema accra-airport
