# Functions that start a log stand-in, nodes and backend server stand-ins on this machine.
# Sourced by the other scripts; every process started is remembered by id and ended by `stop_all`.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BIN="$ROOT/target/release"
WORK="$(mktemp -d)"
TOKEN="a token for this machine only"
PORT_NEXT=$((10000 + (RANDOM % 200) * 100)) # below the ports that outgoing connections take
LOG_ADDRESS=""
CONTACTS="[]"
declare -A CALLER ADMIN SERVER NODE_PID SERVER_PID ZONE SERVICE
NODES=()
LOG_PID=""

# Prints a TCP port of loopback that nobody listens on, into PORT.
next_port() {
  while :; do
    PORT_NEXT=$((PORT_NEXT + 1))
    [ "$PORT_NEXT" -ge 32000 ] && PORT_NEXT=10000
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$PORT_NEXT") 2>/dev/null; then
      PORT="$PORT_NEXT"
      return
    fi
  done
}

build() {
  (cd "$ROOT" && cargo build --release --workspace --bins --examples --quiet)
}

# start_log [flags of log_standin]
start_log() {
  next_port
  LOG_ADDRESS="127.0.0.1:$PORT"
  "$BIN/examples/log_standin" --listen "$LOG_ADDRESS" "$@" >"$WORK/log.out" 2>&1 &
  LOG_PID=$!
  wait_for_text "$WORK/log.out" listening
}

wait_for_text() {
  for _ in $(seq 100); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "no '$2' in $1" >&2
  return 1
}

# write_settings NAME SERVICE ZONE [extra JSON members, each ending with a comma]
write_settings() {
  local name=$1 zone=$3 extra=${4:-} caller announce peer admin gossip
  next_port; caller=$PORT
  next_port; announce=$PORT
  next_port; peer=$PORT
  next_port; admin=$PORT
  next_port; gossip=$PORT
  CALLER[$name]="127.0.0.1:$caller"
  ADMIN[$name]="127.0.0.1:$admin"
  ANNOUNCE="127.0.0.1:$announce"
  ZONE[$name]=$zone
  SERVICE[$name]=$2
  cat >"$WORK/$name.json" <<JSON
{
  $extra
  "node": {"server": "$name", "region": "thailand", "zone": "$zone", "threads": ${NODE_THREADS:-2}},
  "caller": {"listen": "127.0.0.1:$caller"},
  "announce": {"listen": "127.0.0.1:$announce"},
  "peer": {"listen": "127.0.0.1:$peer", "token": "$TOKEN"},
  "admin": {"listen": "127.0.0.1:$admin"},
  "log": {"address": "$LOG_ADDRESS", "timeout_ms": 500},
  "membership": {"listen": "127.0.0.1:$gossip", "contacts": $CONTACTS}
}
JSON
  [ "$CONTACTS" = "[]" ] && CONTACTS="[\"127.0.0.1:$gossip\"]"
  return 0
}

# run_node NAME: starts the process of a node whose settings are written.
run_node() {
  RUST_LOG=${RUST_LOG:-info} "$BIN/bronzelock" node --settings "$WORK/$1.json" >>"$WORK/$1.log" 2>&1 &
  NODE_PID[$1]=$!
}

# run_server NAME ANNOUNCE [flags of server_standin]
run_server() {
  local name=$1 announce=$2
  shift 2
  next_port
  SERVER[$name]="127.0.0.1:$PORT"
  "$BIN/examples/server_standin" --name "$name" --service "${SERVICE[$name]}" \
    --listen "${SERVER[$name]}" --announce "$announce" --threads 2 "$@" >"$WORK/$name.server" 2>&1 &
  SERVER_PID[$name]=$!
}

# start_pair NAME SERVICE ZONE [flags of server_standin]: a backend server and the node beside it.
start_pair() {
  local name=$1 service=$2 zone=$3
  shift 3
  write_settings "$name" "$service" "$zone" "${NODE_EXTRA:-}"
  run_server "$name" "$ANNOUNCE" "$@"
  run_node "$name"
  NODES+=("$name")
}

# first_admin: address of some node's administration API.
first_admin() { echo "${ADMIN[${NODES[0]}]}"; }

# callers_ready: whether every node takes callers' connections.
callers_ready() {
  local name
  for name in "${NODES[@]}"; do
    (exec 3<>"/dev/tcp/${CALLER[$name]/://}") 2>/dev/null || return 1
  done
}

# configure ANSWERS...: publishes each file of answers through the first node.
configure() {
  local answers
  for answers in "$@"; do
    "$BIN/bronzelock" configure --answers "$answers" --admin "$(first_admin)" --yes >"$WORK/configure.out" 2>&1 ||
      { cat "$WORK/configure.out" >&2; return 1; }
  done
  wait_until 5 callers_ready
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

admin_ready() { "$BIN/bronzelock" status --json --admin "$(first_admin)"; }

# status_has COUNT STATE...: whether COUNT nodes are in one of the states and hold one version.
status_has() {
  local want=$1 states=$2
  "$BIN/bronzelock" status --json --admin "$(first_admin)" |
    python_free_count "$states" | { read -r got; [ "$got" -ge "$want" ]; }
}

python_free_count() { grep -oE "\"state\": ?\"($1)\"" | wc -l; }

# servers_csv [SERVICE]: addresses of backend server stand-ins, separated by commas.
servers_csv() { addresses_csv SERVER "${1:-}"; }
# callers_csv [SERVICE]: callers' addresses of nodes, separated by commas.
callers_csv() { addresses_csv CALLER "${1:-}"; }

addresses_csv() {
  local -n table=$1
  local name list=""
  for name in "${NODES[@]}"; do
    [ -z "$2" ] || [ "${SERVICE[$name]}" = "$2" ] || continue
    list="$list,${table[$name]}"
  done
  echo "${list#,}"
}

# stop_nodes: SIGTERM to every node; fails if one does not exit with 0.
stop_nodes() {
  local name failed=0
  for name in "${NODES[@]}"; do kill -TERM "${NODE_PID[$name]}" 2>/dev/null; done
  for name in "${NODES[@]}"; do
    wait "${NODE_PID[$name]}" || { echo "node $name exited with $?" >&2; failed=1; }
    unset "NODE_PID[$name]"
  done
  return $failed
}

# stop_all: ends every process that is left, by its id.
stop_all() {
  local name
  set +e # a process that has ended already must not keep the others from being ended
  for name in "${!NODE_PID[@]}"; do kill -CONT "${NODE_PID[$name]}" 2>/dev/null; kill -TERM "${NODE_PID[$name]}" 2>/dev/null; done
  for name in "${!SERVER_PID[@]}"; do kill -TERM "${SERVER_PID[$name]}" 2>/dev/null; done
  [ -n "$LOG_PID" ] && kill -TERM "$LOG_PID" 2>/dev/null
  wait 2>/dev/null
  [ "${KEEP_WORK:-}" = 1 ] && echo "logs are in $WORK" || rm -rf "$WORK"
}
trap stop_all EXIT
