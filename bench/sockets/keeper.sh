#!/usr/bin/env bash
# Measures the cost of a request for the keeper, which decides on it, separately from
# that for the host that relays it: four hosts of one failure domain in front of one
# group of eight engines, with requests at several rates to the three other hosts.
# Usage: bench/sockets/keeper.sh [REQUESTS-A-SECOND...]
set -euo pipefail
source "$(dirname "$0")/common.sh"
rates=("$@")
[ $# -gt 0 ] || rates=(25 50 100 200)
hosts=4
seconds=15

one_domain 8
start standin standin --settings "$out/standin.hujson"
sleep 1
for n in $(seq $hosts); do
  host_settings "$n" prairie-a
  start "host-$n" serve --settings "$out/host-$n.hujson"
done
sleep 2
"$program" manifest push --settings "$out/host-1.hujson" "$out/manifest.hujson" >"$out/push.log" 2>&1
in_force_after $hosts 1 "$(now_milliseconds)" >/dev/null
sleep 5

keeper="" askers=""
for n in $(seq $hosts); do
  if curl -s "http://127.0.0.1:$((first_port + 300 + n))/status" | tr -d ' \n' | grep -q '"Kept":\["'; then
    keeper=$n
  else
    askers+="\"127.0.0.1:$((first_port + 100 + n))\", "
  fi
done

# Prints the processor time of the keeper or of all hosts, in milliseconds.
spent() {
  if [ "$1" = keeper ]; then
    curl -s "http://127.0.0.1:$((first_port + 100 + keeper))/metrics" | awk '$1 == "siskinsaddle_processor_milliseconds" { print $2 }'
  else
    metric siskinsaddle_processor_milliseconds $hosts
  fi
}

printf '%5s %8s %10s %10s\n' "req/s" whole "keeper ms/s" "an asker ms/s"
for rate in 0 "${rates[@]}"; do
  cat >"$out/load.hujson" <<EOF
{
  "Hosts": [$askers],
  "Direct": "", "Faults": "",
  "DurationMilliseconds": $((1000 * seconds)), "MaxOpen": 4000, "BookingsPerSecond": 0,
  "Classes": [{"Name": "urgent", "PerSecond": $rate, "PromptTokens": 60, "OutputTokens": 5, "FirstTokenMilliseconds": 2000, "BetweenTokensMilliseconds": 200}],
}
EOF
  began=$(now_milliseconds) keeps=$(spent keeper) all=$(spent all)
  if [ "$rate" = 0 ]; then
    sleep $seconds
    whole=0
  else
    "$program" load --settings "$out/load.hujson" --report "$out/load.json" >/dev/null
    whole=$(awk -F'[:,]' '/"Whole"/ { print $2 + 0 }' "$out/load.json")
  fi
  keeps=$(($(spent keeper) - keeps)) all=$(($(spent all) - all)) took=$(($(now_milliseconds) - began))
  awk -v r="$rate" -v w="$whole" -v k="$keeps" -v a="$all" -v t="$took" -v n=$((hosts - 1)) \
    'BEGIN { printf "%5d %8d %10.1f %10.1f\n", r, w, 1000 * k / t, 1000 * (a - k) / t / n }'
done
