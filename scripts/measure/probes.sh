#!/usr/bin/env bash
# Cost of measuring: probes per backend server and second, and what a node uses, idle and busy.
set -euo pipefail
source "$(dirname "$0")/common.sh"

BUDGET_PER_S=2
BUSY_PER_S=1000
SERVERS=8

cpu_ms_sum() {
  local name sum=0
  for name in "${NODES[@]}"; do sum=$((sum + $(cpu_ms "${NODE_PID[$name]}"))); done
  echo "$sum"
}
memory_kb_max() {
  local name
  for name in "${NODES[@]}"; do awk '/^VmRSS/ {print $2}' "/proc/${NODE_PID[$name]}/status"; done | sort -n | tail -1
}
probes_sum() { echo $(($(witness_sum health_probes "${NODES[@]}") + $(witness_sum load_probes "${NODES[@]}"))); }

# measure ROW RUN RATE
measure() {
  local probes cpu started_ms elapsed_ms
  probes=$(probes_sum) cpu=$(cpu_ms_sum) started_ms=$(date +%s%3N)
  run_load "$1" "$2" --targets "$(callers_csv)" --path /herd/history/7 --branch probes --rate "$3" \
    --seconds "$SECONDS_PER_RUN" --connections 8 --timeout-ms 1000 --threads 2
  elapsed_ms=$(($(date +%s%3N) - started_ms))
  note "$1" "$2" cpu_percent "$(awk "BEGIN {print ($(cpu_ms_sum) - $cpu) * 100 / $elapsed_ms / $SERVERS}")"
  note "$1" "$2" probes_per_s "$(awk "BEGIN {print ($(probes_sum) - $probes) * 1000 / $elapsed_ms / $SERVERS}")"
  note "$1" "$2" memory_mb "$(awk "BEGIN {print $(memory_kb_max) / 1024}")"
}

build
print_conditions "probes (budget $BUDGET_PER_S a second)"
write_answers "$WORK/answers.json" herd probes '["ratchaburi"]' cold_slots=12 cold_ms=200 probes_per_s=$BUDGET_PER_S
NODE_THREADS=1
start_log
for i in $(seq $SERVERS); do start_pair "herd-$i" herd ratchaburi --cold-slots 12 --cold-ms 200; done
wait_until 10 admin_ready
wait_until 10 configure "$WORK/answers.json"
wait_for_warm $SERVERS
sleep 1
for run in $(seq "$RUNS"); do
  measure idle "$run" 0.5
  measure busy "$run" $BUSY_PER_S
done
print_table "probes/s per server=extra.probes_per_s,CPU of a node in % of a core=extra.cpu_percent,memory of the largest node MB=extra.memory_mb,answered %=all.answered_percent,load average=extra.load_average" \
  idle busy
echo "not measured: bytes per node"
