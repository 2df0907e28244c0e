# Functions that start and stop a fleet of N nodes over three regions and seven availability zones.
# Sourced by the scripts of this directory. One process announces for all nodes; the nodes of the
# availability zone `spare` share one backend server stand-in, all others another.

source "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"

FLEET_ZONES=(ratchaburi saraburi nakhon-pathom accra-kaneshie accra-tema accra-airport spare)
FLEET_REGIONS=(thailand thailand thailand ghana ghana ghana third)
FLEET_SERVICES=(herd parlour ductbook camlog)
# Directory of binaries that were built before; without it the scripts build them.
if [ -n "${FLEET_BIN:-}" ]; then
  BIN=$FLEET_BIN
  build() { :; }
fi

READY_S=120
NODE_THREADS=1
ANNOUNCER_PID=""

# fleet_server NAME SERVICE: one backend server stand-in that announces itself to nobody.
fleet_server() {
  next_port
  SERVER[$1]="127.0.0.1:$PORT"
  "$BIN/examples/server_standin" --name "$1" --service "$2" --listen "${SERVER[$1]}" \
    --slots 4000 --connections 20000 --cold-slots 4000 --threads 2 >"$WORK/$1.server" 2>&1 &
  SERVER_PID[$1]=$!
}

# fleet_settings INDEX: settings of one node, its announcement and its administration address.
fleet_settings() {
  local zone=${FLEET_ZONES[$(($1 % 7))]} service=${FLEET_SERVICES[$(($1 / 7 % 4))]}
  local name="node-$1" server=others
  [ "$zone" = spare ] && server=spare
  NODE_EXTRA="\"metrics\": {\"statsd_address\": \"$STATSD_ADDRESS\"},"
  write_settings "$name" "$service" "$zone" "$NODE_EXTRA"
  sed -i "s/\"region\": \"thailand\"/\"region\": \"${FLEET_REGIONS[$(($1 % 7))]}\"/" "$WORK/$name.json"
  NODES+=("$name")
  echo "$service $ANNOUNCE ${SERVER[$server]}" >>"$WORK/announced"
  echo "${ADMIN[$name]}" >>"$WORK/admins"
}

fleet_answers() {
  local service
  for service in "${FLEET_SERVICES[@]}"; do
    cat >"$WORK/$service.answers" <<JSON
{"service": "$service", "branch": "fleet", "zones": ["ratchaburi", "saraburi", "nakhon-pathom",
 "accra-kaneshie", "accra-tema", "accra-airport", "spare"], "urgent_kinds": [],
 "non_idempotent_kinds": [], "slots": 12, "connections": 220, "cold_slots": 12, "cold_ms": 1000,
 "deadline_ms": 2000, "deadline_required": false, "body_bytes_max": 65536, "probes_per_s": 2,
 "branch_weight": 1, "urgent_share_percent": 40}
JSON
    configure "$WORK/$service.answers" || return 1
  done
}

fleet_pids() {
  local name
  for name in "${NODES[@]}"; do echo "${NODE_PID[$name]}"; done >"$WORK/pids"
}

# fleet_start N: log, N nodes, announcer and configuration; returns when all nodes are in service.
fleet_start() {
  local index name
  NODES=(); CONTACTS="[]"
  rm -f "$WORK/announced" "$WORK/admins"
  start_log
  next_port; STATSD_ADDRESS="127.0.0.1:$PORT"
  fleet_server spare herd
  fleet_server others herd
  for ((index = 0; index < $1; index++)); do fleet_settings "$index"; done
  for name in "${NODES[@]}"; do RUST_LOG=warn run_node "$name"; done
  fleet_pids
  "$BIN/examples/announcer" --nodes "$WORK/announced" --threads 1 >"$WORK/announcer.out" 2>&1 &
  ANNOUNCER_PID=$!
  SERVER_PID[announcer]=$!
  wait_until "$READY_S" admin_ready
  wait_until "$READY_S" fleet_answers
  wait_until "$READY_S" status_has "$1" "cold|warm"
}

fleet_states() {
  "$BIN/bronzelock" status --json --admin "$(first_admin)" |
    grep -oE '"state": ?"[a-z]+"' | sort | uniq -c | tr -s ' \n' ' '
}

# fleet_stop: ends nodes, stand-ins, announcer and log by their ids.
fleet_stop() {
  local name
  stop_nodes || echo "not every node exited with 0" >&2
  for name in "${!SERVER_PID[@]}"; do kill -TERM "${SERVER_PID[$name]}"; done
  kill -TERM "$LOG_PID"
  wait 2>/dev/null || true
  SERVER_PID=(); LOG_PID=""
}
