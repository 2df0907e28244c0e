#!/usr/bin/env bash
# Real processes under failure, one row per case; exits with 1 when a promise was broken.
# Usage: scripts/failures.sh [--seed N]
set -uo pipefail
source "$(dirname "$0")/cluster.sh"

SEED=1
if [ "${1:-}" = "--seed" ] && [ $# -eq 2 ]; then
  SEED=$2
elif [ $# -ne 0 ]; then
  echo "usage: scripts/failures.sh [--seed N]" >&2
  exit 2
fi

SECONDS_PER_CASE=15
RATE_PER_S=150
# More than five backend servers of 12 slots bear at FLOOD_SERVICE_TIME_US.
FLOOD_PER_S=1500
FLOOD_SERVICE_TIME_US=60000
SERVICE_TIME_US=2000
# Longer than the lease of an announcement and the detection of a failed node.
PAUSE_S=8
ZONES=(ratchaburi saraburi nakhon-pathom)
BROKEN=0

write_kinds() {
  cat >"$WORK/kinds.json" <<JSON
[
  {"name": "history", "weight": 3, "path": "/herd/history/7", "branch": "ratchaburi-dairy"},
  {"name": "gate", "weight": 2, "method": "POST", "path": "/herd/gate/7",
   "branch": "ratchaburi-dairy", "non_idempotent": true, "body_bytes": 64}
]
JSON
}

# start_cluster: a log and five herd servers in three availability zones, warm.
start_cluster() {
  local i
  start_log
  for i in 1 2 3 4 5; do
    start_pair "herd-$i" herd "${ZONES[$((i % 3))]}" --cold-slots 2 --cold-ms 20000 \
      --service-time-us "$SERVICE_TIME_US"
  done
  wait_until 10 admin_ready &&
    wait_until 10 configure "$ROOT/examples/answers/herd.json" &&
    wait_until 30 status_has 5 "warm|cold"
}

# end_cluster: ends every process of a case and forgets it.
end_cluster() {
  local name
  for name in "${!NODE_PID[@]}"; do
    kill -CONT "${NODE_PID[$name]}" 2>/dev/null
    kill -KILL "${NODE_PID[$name]}" 2>/dev/null
    wait "${NODE_PID[$name]}" 2>/dev/null
  done
  for name in "${!SERVER_PID[@]}"; do
    kill -TERM "${SERVER_PID[$name]}" 2>/dev/null
    wait "${SERVER_PID[$name]}" 2>/dev/null
  done
  kill -TERM "$LOG_PID" 2>/dev/null
  wait "$LOG_PID" 2>/dev/null
  NODE_PID=() SERVER_PID=() NODES=() CALLER=() ADMIN=() SERVER=() LOG_PID="" CONTACTS="[]"
}

# set_log FAULTS: puts other faults of the log in force.
set_log() { curl -sS -X PUT -d "$1" "http://$LOG_ADDRESS/faults" >/dev/null; }

# answers NAME: whether a node answers a caller.
answers() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 2 -H 'Bronzelock-Branch: ratchaburi-dairy' \
    "http://${CALLER[$1]}/herd/history/7")" = 200 ]
}

# stop_gracefully NAME: SIGTERM; fails unless the node exits with 0.
stop_gracefully() {
  kill -TERM "${NODE_PID[$1]}"
  wait "${NODE_PID[$1]}"
}

act_kill_9() {
  kill -KILL "${NODE_PID[herd-2]}"
  wait "${NODE_PID[herd-2]}" 2>/dev/null
  sleep 3
  run_node herd-2
  wait_until 10 answers herd-2
}

act_pause() {
  kill -STOP "${NODE_PID[herd-3]}"
  sleep "$PAUSE_S"
  kill -CONT "${NODE_PID[herd-3]}"
  wait_until 10 answers herd-3
}

act_log_outage() { set_log '{"down": "hang"}'; }

act_log_answers_lost() { set_log '{"lose_answer_percent": 100}'; }

# announce_of NAME: address at which a node takes announcements.
announce_of() { sed -nE 's/.*"announce": \{"listen": "([^"]+)".*/\1/p' "$WORK/$1.json"; }

act_host_replaced() {
  set_log '{"down": "refuse"}'
  kill -KILL "${NODE_PID[herd-4]}"
  kill -KILL "${SERVER_PID[herd-4]}"
  wait "${NODE_PID[herd-4]}" "${SERVER_PID[herd-4]}" 2>/dev/null
  run_server herd-4 "$(announce_of herd-4)" --cold-slots 2 --cold-ms 20000
  run_node herd-4
  wait_until 10 answers herd-4
}

act_rolling_restart() {
  local name
  for name in "${NODES[@]}"; do
    stop_gracefully "$name" || return 1
    run_node "$name"
    wait_until 10 answers "$name" || return 1
  done
}

act_sigterm_in_flood() {
  sleep 3
  stop_gracefully herd-5
}

act_second_node() {
  "$BIN/bronzelock" node --settings "$WORK/herd-1.json" >>"$WORK/twin.log" 2>&1
  [ $? -ne 0 ] && answers herd-1
}

# column NAME COLUMN: a figure of all kinds together in what the load generator printed.
column() { awk -v column="$2" '$1 == "all" {print $column; exit}' "$WORK/$1.out"; }

# broken_claims NAME: promises that the oracle found broken, one a line.
# Nothing is known of what a replaced host's first backend server ran, so answers by it are let pass.
broken_claims() {
  local claims
  claims="$(grep '^broken: ' "$WORK/$1.out")"
  [ "$1" = host-replaced ] && claims="$(grep -v 'was answered and ran nowhere' <<<"$claims")"
  echo -n "$claims"
}

# verdict_of NAME CUTS_ALLOWED: what the printed figures of a case say.
verdict_of() {
  local claims
  claims="$(broken_claims "$1" | grep -c .)"
  if [ -z "$(column "$1" 2)" ] || ! grep -q '^broken promises: ' "$WORK/$1.out"; then
    echo "broken: not measured"
  elif [ "$claims" -ne 0 ]; then
    echo "broken: $claims claims"
  elif [ "$(column "$1" 6)" -ne 0 ]; then
    echo "broken: $(column "$1" 6) wrong answers"
  elif [ "$2" = no ] && [ "$(column "$1" 5)" -ne 0 ]; then
    echo "broken: requests cut"
  else
    echo kept
  fi
}

# load_on_all NAME RATE: sends a load to all nodes and asks the oracle.
load_on_all() {
  "$BIN/examples/loadgen" --targets "$(callers_csv)" --kinds "$WORK/kinds.json" --rate "$2" \
    --seconds "$SECONDS_PER_CASE" --seed "$SEED" --connections 16 --timeout-ms 2000 \
    --witnesses "$(witnesses_of "$1")" >"$WORK/$1.out" 2>&1
}

# A replaced host takes its backend server's witness along.
witnesses_of() {
  if [ "$1" = host-replaced ]; then
    servers_csv | tr ',' '\n' | grep -v "^${SERVER[herd-4]}\$" | paste -sd,
  else
    servers_csv
  fi
}

# run_case NAME RATE CUTS_ALLOWED ACTION: load on all nodes while the action happens.
run_case() {
  local name=$1 rate=$2 cuts_allowed=$3 action=$4 verdict load
  if ! start_cluster; then
    row "$name" - - - - "broken: not started"
    BROKEN=1
    end_cluster
    return
  fi
  load_on_all "$name" "$rate" &
  load=$!
  sleep 2
  "$action"
  local acted=$?
  wait "$load"
  verdict="$(verdict_of "$name" "$cuts_allowed")"
  [ "$acted" -eq 0 ] || verdict="broken: the action failed"
  row "$name" "$(column "$name" 2)" "$(column "$name" 3)" "$(column "$name" 5)" \
    "$(grep -c '^broken: key' "$WORK/$name.out")" "$verdict"
  if [ "$verdict" != kept ]; then
    BROKEN=1
    broken_claims "$name" | head -5
  fi
  end_cluster
}

row() { printf '%-18s %9s %9s %9s %10s  %s\n' "$@"; }

build || exit 1
write_kinds
echo "seed $SEED, $SECONDS_PER_CASE s per case"
row case requests answered cut/lost "ran twice" verdict
run_case kill-9 "$RATE_PER_S" yes act_kill_9
run_case pause "$RATE_PER_S" yes act_pause
run_case log-outage "$RATE_PER_S" no act_log_outage
run_case log-answers-lost "$RATE_PER_S" no act_log_answers_lost
run_case host-replaced "$RATE_PER_S" yes act_host_replaced
run_case second-node "$RATE_PER_S" no act_second_node
run_case rolling-restart "$RATE_PER_S" no act_rolling_restart
SERVICE_TIME_US=$FLOOD_SERVICE_TIME_US
run_case sigterm-in-flood "$FLOOD_PER_S" no act_sigterm_in_flood
exit "$BROKEN"
