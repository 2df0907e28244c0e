# Disturbances of backend server stand-ins from a seed, while a load runs. Sourced.

# disturb KIND SECONDS SEED NAMES...: the same seed gives the same times, servers and lengths.
disturb() {
  local kind=$1 end_ms=$(($2 * 1000)) seed=$3 at_ms=0 for_ms name
  shift 3
  local names=("$@")
  RANDOM=$seed
  while [ $at_ms -lt $end_ms ]; do
    name=${names[$((RANDOM % ${#names[@]}))]}
    for_ms=$((50 + RANDOM % 451))
    case $kind in
      slowdown) behave "$name" "{\"slowdown\": {\"factor\": 10.0, \"for_ms\": $for_ms}}" ;;
      neighbour) behave "$name" "{\"neighbour\": {\"slots\": 9, \"for_ms\": $for_ms}}" ;;
      lagging | lying)
        behave "$name" "{\"health\": \"$kind\", \"slowdown\": {\"factor\": 10.0, \"for_ms\": $for_ms}}" ;;
    esac
    sleep 0.5
    at_ms=$((at_ms + 500))
  done
}
