#!/usr/bin/env bash
# Measures the cost of idle hosts and the duration of a manifest push, at several
# numbers of hosts in three failure domains. Prints one line for each number:
# processor time, bytes sent, memory and platform calls per host, and for the second,
# third and fourth push the time until the response and until the last host applied it.
# Usage: bench/sockets/idle.sh [HOSTS...]
set -euo pipefail
source "$(dirname "$0")/common.sh"
domains=(prairie-a prairie-b prairie-c)
watch_seconds=20
sizes=("$@")
[ $# -gt 0 ] || sizes=(3 7 14 28 56)

# Pushes a manifest that differs from the previous one in one limit.
push() {
  local base=$1
  sed "s/\"MaxOpen\": 256/\"MaxOpen\": $((256 + base))/" bench/sockets/kestrel.manifest.hujson >"$out/manifest.hujson"
  "$program" manifest push --settings "$out/host-1.hujson" --base "$base" "$out/manifest.hujson" >"$out/push.log" 2>&1
}

printf '%5s %9s %9s %9s %9s %9s %9s %9s %9s  %s\n' hosts "ms/s" "sent B/s" "msgs/s" "RSS KB" "reads/s" "writes/s" "lists/s" "object/s" "ms of pushes (answered/everywhere), calls of a push"
for hosts in "${sizes[@]}"; do
  start standin standin --deployment Kestrel --port "$standin_port"
  sleep 1
  for n in $(seq "$hosts"); do
    domain=${domains[$(((n - 1) % 3))]}
    host_settings "$n" "$domain"
    enter_host "$n" "$domain"
    start "host-$n" serve --settings "$out/host-$n.hujson"
  done
  sleep 3
  push 0
  in_force_after "$hosts" 1 "$(now_milliseconds)" >/dev/null
  sleep 8

  names=(siskinsaddle_processor_milliseconds 'siskinsaddle_link_bytes_total{direction="Out"' 'siskinsaddle_link_messages_total{direction="Out"')
  counts=(TableReads TableWrites HostReads ObjectReads)
  before=()
  began=$(now_milliseconds)
  for name in "${names[@]}"; do before+=("$(metric "$name" "$hosts")"); done
  for name in "${counts[@]}"; do before+=("$(counted "$name")"); done
  sleep "$watch_seconds"
  took=$(($(now_milliseconds) - began))
  rates=()
  for name in "${names[@]}"; do rates+=("$(metric "$name" "$hosts")"); done
  for name in "${counts[@]}"; do rates+=("$(counted "$name")"); done
  for i in "${!rates[@]}"; do
    rates[i]=$(awk -v d=$((rates[i] - before[i])) -v t="$took" -v n="$hosts" 'BEGIN { printf "%.2f", d * 1000 / t / n }')
  done
  memory=$(($(resident "${started[@]:1}") / hosts))

  pushes=""
  for base in 1 2 3; do
    reads=$(counted TableReads) writes=$(counted TableWrites) began=$(now_milliseconds)
    push "$base" &
    pushing=$!
    in_force_after "$hosts" $((base + 1)) "$began" >"$out/everywhere" &
    watching=$!
    wait "$pushing"
    answered=$(($(now_milliseconds) - began))
    wait "$watching"
    pushes+="$answered/$(cat "$out/everywhere") "
    sleep 3
    pushes+="($(($(counted TableReads) - reads)) reads, $(($(counted TableWrites) - writes)) writes in $(($(now_milliseconds) - began)) ms) "
  done
  printf '%5d %9s %9s %9s %9s %9s %9s %9s %9s  %s\n' "$hosts" "${rates[0]}" "${rates[1]}" "${rates[2]}" "$memory" "${rates[3]}" "${rates[4]}" "${rates[5]}" "${rates[6]}" "$pushes"
  stop_all
done
