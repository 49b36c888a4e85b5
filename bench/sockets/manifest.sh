#!/usr/bin/env bash
# Measures the cost of a manifest by its number of workspaces, on three hosts in
# three failure domains, restarted for each number: memory before and after four
# pushes, processor time of a push, and the time until the response and until every
# host serves under the manifest.
# Usage: bench/sockets/manifest.sh [WORKSPACES...]
set -euo pipefail
source "$(dirname "$0")/common.sh"
sizes=("$@")
[ $# -gt 0 ] || sizes=(1000 4000 10000 17000)
domains=(prairie-a prairie-b prairie-c)
hosts=3

# Writes a manifest with WORKSPACES workspaces and LIMIT as MaxOpen of the others.
write_manifest() {
  awk -v n="$1" -v limit="$2" '
    /"Workspaces": \[/ {
      print
      for (i = 0; i < n; i++)
        printf "{\"Name\": \"workspace-%05d\", \"KeyHashes\": [\"%064x\"], \"Weight\": 1, \"MaxOpen\": 64, \"Classes\": [\"urgent\", \"standard\"], \"DefaultClass\": \"urgent\"},\n", i, i
      next
    }
    { sub(/"MaxOpen": 256/, "\"MaxOpen\": " limit); print }' bench/sockets/kestrel.manifest.hujson >"$out/manifest.hujson"
}

cpu=siskinsaddle_processor_milliseconds
printf '%10s %9s %9s %9s  %s\n' workspaces "before KB" "after KB" "ms/host" "ms of pushes (answered/everywhere)"
for workspaces in "${sizes[@]}"; do
  start standin standin --deployment Kestrel --port "$standin_port"
  sleep 1
  for n in $(seq $hosts); do
    host_settings "$n" "${domains[n - 1]}"
    enter_host "$n" "${domains[n - 1]}"
    start "host-$n" serve --settings "$out/host-$n.hujson"
  done
  sleep 5
  before=$(($(resident "${started[@]:1}") / hosts)) spent=0 pushes=""
  idle=$(metric $cpu $hosts)
  sleep 5
  idle=$((($(metric $cpu $hosts) - idle) / 5))
  for base in 0 1 2 3; do
    write_manifest "$workspaces" $((256 + base))
    began=$(now_milliseconds) used=$(metric $cpu $hosts)
    "$program" manifest push --settings "$out/host-1.hujson" --base "$base" "$out/manifest.hujson" >"$out/push.log" 2>&1 &
    pushing=$!
    in_force_after $hosts $((base + 1)) "$began" >"$out/everywhere" &
    watching=$!
    wait "$pushing"
    answered=$(($(now_milliseconds) - began))
    wait "$watching"
    sleep 1
    spent=$((spent + $(metric $cpu $hosts) - used - idle * ($(now_milliseconds) - began) / 1000))
    pushes+="$answered/$(cat "$out/everywhere") "
  done
  printf '%10d %9d %9d %9d  %s\n' "$workspaces" "$before" "$(($(resident "${started[@]:1}") / hosts))" $((spent / hosts / 4)) "$pushes"
  stop_all
done
