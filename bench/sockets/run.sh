#!/usr/bin/env bash
# Runs the stand-ins and seven hosts as separate processes, generates a load, kills
# one host during it and stops the others gracefully.
# Usage: bench/sockets/run.sh [FOLDER]
# FOLDER gets the report and the logs.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=${1:-out/sockets}
mkdir -p "$out" bin
go build -o bin/siskinsaddle ./cmd/siskinsaddle

started=()
stop_all() {
  for id in "${started[@]}"; do
    kill "$id" 2>/dev/null || true
  done
}
trap stop_all EXIT

# Starts a process in the background; its id is in started[-1].
start() {
  local name=$1
  shift
  bin/siskinsaddle "$@" >"$out/$name.log" 2>&1 &
  started+=($!)
}

start standin standin --deployment Kestrel --port 7400
standin=${started[-1]}
sleep 1
hosts=()
domains=(prairie-a prairie-a prairie-a prairie-b prairie-b prairie-c prairie-c)
for n in 1 2 3 4 5 6 7; do
  # Hosts discover those of other failure domains in the platform's list.
  curl -s -o /dev/null -X PUT http://127.0.0.1:7401/hosts \
    -d "{\"Name\": \"host-$n\", \"Kind\": \"Host\", \"Region\": \"prairie\", \"FailureDomain\": \"${domains[n - 1]}\", \"Address\": \"127.0.0.1:830$n\", \"State\": \"Live\"}"
  start "host-$n" serve --settings "bench/sockets/host-$n.hujson"
  hosts+=("${started[-1]}")
done
sleep 2
bin/siskinsaddle manifest push --settings bench/sockets/host-1.hujson --wait bench/sockets/kestrel.manifest.hujson
(
  sleep 8
  echo "killing host 2 (process ${hosts[1]})"
  kill -9 "${hosts[1]}"
) &
bin/siskinsaddle load --settings bench/sockets/load.hujson --report "$out/load.json"
for n in 0 2 3 4 5 6; do
  kill -TERM "${hosts[$n]}"
done
failed=0
for n in 0 2 3 4 5 6; do
  code=0
  wait "${hosts[$n]}" || code=$?
  echo "host $((n + 1)) stopped with $code"
  [ "$code" = 0 ] || failed=1
done
kill -TERM "$standin"
exit "$failed"
