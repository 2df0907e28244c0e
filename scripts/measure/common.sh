# Functions of the measuring scripts, which source this file.

source "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"
REPORTS="$WORK/reports"
LOAD="$BIN/examples/loadgen"
export RUST_LOG=${RUST_LOG:-warn}

# print_conditions NAME: what ran, and the machine.
print_conditions() {
  local memory_mb=$(($(awk '/^MemTotal/ {print $2}' /proc/meminfo) / 1024))
  echo "$1: seed $SEED, $RUNS runs of $SECONDS_PER_RUN s; $(nproc) cores, $memory_mb MB," \
    "load average $(cut -d' ' -f1-3 /proc/loadavg)"
}

# write_answers FILE SERVICE BRANCH ZONES [KEY=JSON...]: answers that fit the stand-ins' defaults.
write_answers() {
  local file=$1 service=$2 branch=$3 zones=$4 pair
  local -A answers=(
    [urgent_kinds]='["GET /lookup"]' [non_idempotent_kinds]='["POST /gate"]' [slots]=12
    [connections]=220 [cold_slots]=3 [cold_ms]=1000 [deadline_ms]=2000 [deadline_required]=false
    [body_bytes_max]=65536 [probes_per_s]=2 [branch_weight]=1 [urgent_share_percent]=40
  )
  shift 4
  for pair in "$@"; do answers[${pair%%=*}]=${pair#*=}; done
  {
    echo "{\"service\": \"$service\", \"branch\": \"$branch\", \"zones\": $zones"
    for pair in "${!answers[@]}"; do echo ", \"$pair\": ${answers[$pair]}"; done
    echo "}"
  } >"$file"
}

# wait_for_warm COUNT
wait_for_warm() { wait_until 40 status_has "$1" warm; }

# run_load ROW RUN [flags of loadgen]: one run, its report kept under the row's name.
run_load() {
  local row=$1 run=$2 code=0
  shift 2
  mkdir -p "$REPORTS/$row"
  "$LOAD" --seed $((SEED + run)) --json "$REPORTS/$row/$run.json" "$@" >"$WORK/load.out" 2>&1 || code=$?
  [ "$code" -le 1 ] || { cat "$WORK/load.out" >&2; return "$code"; }
  [ "$code" -eq 0 ] || echo "$row, run $run: $(grep -E 'broken|wrong' "$WORK/load.out" | tail -1)" >&2
  note "$row" "$run" load_average "$(cut -d' ' -f1 /proc/loadavg)"
}

# note ROW RUN NAME VALUE: a figure beside the report of a run.
note() { mkdir -p "$REPORTS/$1"; echo "$3 $4" >>"$REPORTS/$1/$2.extra"; }

# print_table COLUMNS [flags of report] ROWS...
print_table() {
  local columns=$1
  shift
  (cd "$REPORTS" && "$BIN/examples/report" --columns "$columns" "$@")
}

# http METHOD ADDRESS PATH [BODY]: one request; prints head and body of the answer.
http() {
  local body=${4:-} host=${2%:*} port=${2#*:}
  exec 4<>"/dev/tcp/$host/$port" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$2" "${#body}" "$body" >&4
  cat <&4
  exec 4>&-
}

# behave NAME JSON: changes the behaviour of a backend server stand-in.
behave() {
  local answer
  answer=$(http PUT "${SERVER[$1]}" /-/behaviour "$2")
  [[ $answer == "HTTP/1.1 2"* ]] || { echo "$1 refused $2: $answer" >&2; return 1; }
}

# witness NAME FIELD: a count of a backend server stand-in over all its boots.
# Counts per boot stand in a list before the totals, but for `runs`.
witness() {
  local pick=tail
  [ "$2" = runs ] && pick=head
  http GET "${SERVER[$1]}" "/-/witness?detail=totals" | grep -oE "\"$2\": ?[0-9]+" | $pick -1 | grep -oE '[0-9]+$'
}

# witness_sum FIELD NAMES...
witness_sum() {
  local field=$1 sum=0 name
  shift
  for name in "$@"; do sum=$((sum + $(witness "$name" "$field"))); done
  echo "$sum"
}

# stop_cluster: ends all processes and forgets them, so that another cluster can start.
stop_cluster() {
  local name
  stop_nodes || true
  for name in "${!SERVER_PID[@]}"; do
    kill -TERM "${SERVER_PID[$name]}"
    wait "${SERVER_PID[$name]}" 2>/dev/null || true
  done
  kill -TERM "$LOG_PID"
  wait "$LOG_PID" 2>/dev/null || true
  LOG_PID="" CONTACTS="[]" NODES=()
  SERVER_PID=() NODE_PID=()
}

# start_bare_server NAME [flags of server_standin]: a backend server without a node beside it.
start_bare_server() {
  local name=$1
  shift
  next_port
  SERVER[$name]="127.0.0.1:$PORT"
  "$BIN/examples/server_standin" --name "$name" --listen "${SERVER[$name]}" --threads 2 "$@" \
    >"$WORK/$name.server" 2>&1 &
  SERVER_PID[$name]=$!
  wait_for_text "$WORK/$name.server" listening
}

# cpu_ms PID: processor time that a process has used.
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"; }

# switches PID: times that a thread of the process gave up its processor to wait.
switches() { cat "/proc/$1"/task/*/status | awk '/^voluntary_ctxt_switches/ {sum += $2} END {print sum}'; }

# answered REPORT: whole answers of all kinds, the first count of that name.
answered() { grep -m1 -oE '"answered": ?[0-9]+' "$1" | grep -oE '[0-9]+'; }
