#!/usr/bin/env bash
# Measures the cost of requests on one host, at several numbers of concurrent
# streams: processor time with long and with short outputs, from which the cost of a
# token and of a request follows, and memory with all streams open. Each number is
# measured on a fresh host.
# Usage: bench/sockets/streams.sh [STREAMS...]
set -euo pipefail
source "$(dirname "$0")/common.sh"
sizes=("$@")
[ $# -gt 0 ] || sizes=(50 100 200 400 800)
long=400
short=20

one_domain 10
host_settings 1 prairie-a

# Sends STREAMS requests within a second, for outputs of TOKENS tokens.
load() {
  local streams=$1 tokens=$2
  cat >"$out/load.hujson" <<EOF
{
  "Hosts": ["127.0.0.1:$((first_port + 101))"],
  "Direct": "", "Faults": "",
  "DurationMilliseconds": 1000, "MaxOpen": 4000, "BookingsPerSecond": 0,
  "Classes": [{"Name": "urgent", "PerSecond": $streams, "PromptTokens": 60, "OutputTokens": $tokens, "FirstTokenMilliseconds": 2000, "BetweenTokensMilliseconds": 200}],
}
EOF
  "$program" load --settings "$out/load.hujson" --report "$out/load.json" >/dev/null
}

# Prints the number of complete responses of the last load.
whole() {
  awk -F'[:,]' '/"Whole"/ { print $2 + 0 }' "$out/load.json"
}

cpu=siskinsaddle_processor_milliseconds
printf '%7s %6s %6s %9s %9s %10s %10s %9s %9s %9s\n' streams whole whole "idle KB" "open KB" "KB/stream" "heap KB" "long ms" "short ms" "idle ms/s"
for streams in "${sizes[@]}"; do
  start standin standin --settings "$out/standin.hujson"
  sleep 1
  enter_host 1 prairie-a
  start host-1 serve --settings "$out/host-1.hujson"
  host=${started[-1]}
  sleep 2
  "$program" manifest push --settings "$out/host-1.hujson" "$out/manifest.hujson" >"$out/push.log" 2>&1
  in_force_after 1 1 "$(now_milliseconds)" >/dev/null
  sleep 3
  before=$(metric $cpu 1) began=$(now_milliseconds) memory=$(resident "$host") heap=$(metric siskinsaddle_heap_bytes 1)
  sleep 5
  after=$(metric $cpu 1)
  idle=$(awk -v d=$((after - before)) -v t=$(($(now_milliseconds) - began)) 'BEGIN { printf "%.4f", d / t }')

  spent=() complete=()
  for tokens in "$long" "$short"; do
    before=$(metric $cpu 1) began=$(now_milliseconds)
    load "$streams" "$tokens" &
    loading=$!
    if [ "$tokens" = "$long" ]; then
      sleep 2.5
      open=$(resident "$host") open_heap=$(metric siskinsaddle_heap_bytes 1)
    fi
    wait "$loading"
    spent+=("$(awk -v d=$(($(metric $cpu 1) - before)) -v t=$(($(now_milliseconds) - began)) -v idle="$idle" 'BEGIN { printf "%.0f", d - idle * t }')")
    complete+=("$(whole)")
  done
  awk -v n="$streams" -v wl="${complete[0]}" -v ws="${complete[1]}" -v m="$memory" -v o="$open" -v h="$(((open_heap - heap) / 1024))" -v l="${spent[0]}" -v s="${spent[1]}" -v idle="$idle" \
    'BEGIN { printf "%7d %6d %6d %9d %9d %10.1f %10d %9d %9d %9.1f\n", n, wl, ws, m, o, (o - m) / n, h, l, s, 1000 * idle }'
  stop_all
done
