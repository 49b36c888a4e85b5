#!/usr/bin/env bash
# Runs the stand-ins and seven hosts as separate processes and injects faults
# under load: faults of engines, plain services and the platform; hosts that are
# killed, paused and stopped; manifest pushes, also two concurrent ones. The seed
# alone fixes the plan of faults. Afterwards the script checks invariants and exits
# with 1 if one was violated.
# Usage: bench/sockets/chaos.sh [SEED] [FOLDER] [FIRST PORT]
# It uses the ports FIRST to FIRST+14, and those 300, 200 and 100 below them.
set -uo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
out=${2:-out/chaos-$seed}
base=${3:-7400}
load_ms=${LOAD_MILLISECONDS:-40000}
settle=22          # in seconds; the HTTP server keeps idle workers for up to 20 s
more_goroutines=30 # the number of links and platform connections varies
mkdir -p "$out" bin
rm -f "$out"/*
go build -o bin/siskinsaddle ./cmd/siskinsaddle || exit 1
program=$PWD/bin/siskinsaddle
stand=http://127.0.0.1:$base
bad=0

say() { echo "$(date +%H:%M:%S) $*" | tee -a "$out/events"; }
fault_found() {
  say "WRONG: $*"
  bad=1
}

declare -A id state
stop_all() {
  for name in "${!id[@]}"; do
    kill -CONT "${id[$name]}" 2>/dev/null
    kill -9 "${id[$name]}" 2>/dev/null
  done
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$program" "$@" >>"$out/$name.log" 2>&1 &
  id[$name]=$!
}

settings() {
  sed -e "s/127\.0\.0\.1:81/127.0.0.1:$(((base - 300) / 100))/" \
    -e "s/127\.0\.0\.1:82/127.0.0.1:$(((base - 200) / 100))/" \
    -e "s/127\.0\.0\.1:83/127.0.0.1:$(((base - 100) / 100))/" \
    -e "s/127\.0\.0\.1:74/127.0.0.1:$((base / 100))/" "$1"
}
for n in 1 2 3 4 5 6 7; do
  settings "bench/sockets/host-$n.hujson" >"$out/host-$n.hujson"
done
sed -e "s/127\.0\.0\.1:81/127.0.0.1:$(((base - 300) / 100))/g" \
  -e "s/127\.0\.0\.1:74/127.0.0.1:$((base / 100))/g" \
  -e "s/\"DurationMilliseconds\": [0-9]*/\"DurationMilliseconds\": $load_ms/" \
  -e 's/"Repeats": [0-9]*/"Repeats": 3, "AbandonEvery": 7/' \
  -e 's/"OutputTokens": 300/"OutputTokens": 150/' bench/sockets/load.hujson >"$out/load.hujson"

host() {
  start "host-$1" serve --settings "$out/host-$1.hujson"
  state[$1]=up
}
caller_port() { echo $((base - 300 + $1)); }
status() { curl -s -m 1 "http://127.0.0.1:$((base - 200 + $1))/status"; }
metric() {
  local sum=0 value
  for value in $(curl -s -m 1 "http://127.0.0.1:$(caller_port "$1")/metrics" | grep "^$2[{ ]" | grep -o '[0-9-]*$'); do
    sum=$((sum + value))
  done
  echo $sum
}
fault() { curl -s -m 2 -X POST "$stand/faults/$1" -d "$2" -o /dev/null; }
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(caller_port "$1")/readyz")" = 200 ]; }

# The plan has one line per step, sorted by time: milliseconds, action, target.
RANDOM=$seed
pick() { local all=("$@"); echo "${all[RANDOM % ${#all[@]}]}"; }
declare -A busy
add() { echo "$1 $2" >>"$out/plan.raw"; }
free_host() {
  local n=$((RANDOM % 7 + 1)) out_now=0 other
  for other in 1 2 3 4 5 6 7; do
    [ "${busy[$other]:-0}" -gt "$1" ] && out_now=$((out_now + 1))
  done
  if [ "${busy[$n]:-0}" -gt "$1" ] || [ $out_now -ge 2 ]; then n=0; fi
  free=$n
}
plan_one() {
  local at=$1 end=$(($1 + 1500 + RANDOM % 3000)) kind=$((RANDOM % 21)) e p broken
  e=canvas-llm-$((RANDOM % 10 + 1))
  p=yard-app-$((RANDOM % 3 + 1))
  free_host "$at"
  case $kind in
  0) add "$at" "fault $e {\"Crash\":true}"; add "$end" "fault $e {\"Crash\":false}" ;;
  1) add "$at" "fault $e {\"SilentOpen\":true}" ;;
  2) add "$at" "fault $e {\"Slowdown\":4}"; add "$end" "fault $e {\"Slowdown\":1}" ;;
  3) add "$at" "fault $e {\"Leaving\":true}"; add "$end" "fault $e {\"Leaving\":false}" ;;
  4) add "$at" "fault $e {\"CrossAnswers\":true}"; add "$end" "fault $e {\"CrossAnswers\":false}" ;;
  5 | 6) add "$at" "fault $p {\"DropAt\":\"$(pick BeforeRequest DuringRequest AfterRequest DuringResponse AfterResponse)\",\"DropCount\":4}" ;;
  7) add "$at" "fault $p {\"SlowMilliseconds\":700,\"SlowAnswerMilliseconds\":700}"; add "$end" "fault $p {\"SlowMilliseconds\":0,\"SlowAnswerMilliseconds\":0}" ;;
  8) add "$at" "fault $p {\"SilentOpen\":true}"; add "$at" "fault $p {\"Crash\":true}"; add "$end" "fault $p {\"Crash\":false}" ;;
  9) add "$at" 'fault Platform {"Down":true}'; add "$end" 'fault Platform {"Down":false}' ;;
  10) add "$at" 'fault Platform {"Throttle":true}'; add "$end" 'fault Platform {"Throttle":false}' ;;
  11) add "$at" 'fault Platform {"LoseAnswersAfterWrite":6}' ;;
  12) add "$at" 'fault Platform {"LoseRequestsBeforeWrite":6}' ;;
  13) add "$at" 'fault Platform {"SlowMilliseconds":600}'; add "$end" 'fault Platform {"SlowMilliseconds":0}' ;;
  14) add "$at" 'fault Platform {"HostsDown":true}'; add "$end" 'fault Platform {"HostsDown":false}' ;;
  15) [ $free -gt 0 ] && add "$at" "kill $free" && add $((at + 3000)) "again $free" && busy[$free]=$((at + 6000)) ;;
  16) [ $free -gt 0 ] && add "$at" "pause $free" && add $((at + 4000)) "resume $free" && busy[$free]=$((at + 6000)) ;;
  17) [ $free -gt 0 ] && add "$at" "stop $free" && add $((at + 4000)) "again $free" && busy[$free]=$((at + 14000)) ;;
  18) add "$at" "push 1" ;;
  19) add "$at" "push 2" ;;
  20)
    broken=$(pick "$e" "$p" Platform)
    add "$at" "fault $broken {\"BreakAnswers\":\"$(pick ZeroStatus BlankInName ControlInName FoldedLine CutHeader)\"}"
    add "$end" "fault $broken {\"BreakAnswers\":\"\"}"
    ;;
  esac
}
for ((at = 3000; at < load_ms - 6000; at += 900)); do plan_one "$at"; done
sort -s -n -k1,1 "$out/plan.raw" >"$out/plan"
say "seed $seed: $(wc -l <"$out/plan") steps"

# Each push sets a limit to a value of its own, so that the history shows which
# pushes came into force.
pushes=0
push() {
  local of=$1 current i
  current=$("$program" manifest show --settings "$out/host-1.hujson" 2>/dev/null | sed -n 's/^in force: generation //p')
  for ((i = 0; i < of; i++)); do
    pushes=$((pushes + 1))
    sed "s/\"MaxBodyBytes\": [0-9]*/\"MaxBodyBytes\": $((4194304 + pushes))/" bench/sockets/kestrel.manifest.hujson >"$out/push-$pushes.hujson"
    "$program" manifest push --settings "$out/host-1.hujson" --base "${current:-0}" "$out/push-$pushes.hujson" >"$out/push-$pushes.answer" 2>"$out/push-$pushes.log" &
    id[push-$pushes]=$!
  done
}

# Checks that the generation of a host does not decrease while it runs, and that
# after a restart a ready host is not behind its previous generation.
declare -A seen seen_run
look() {
  local n=$1 answer generation run ready
  answer=$(status "$n" | tr -d ' ",') || return
  generation=$(sed -n 's/^Generation://p' <<<"$answer")
  run=$(sed -n 's/^Incarnation://p' <<<"$answer" | head -1)
  ready=$(sed -n 's/^Ready://p' <<<"$answer")
  [ -z "$generation" ] && return
  if [ "$generation" -lt "${seen[$n]:-0}" ] && { [ "$run" = "${seen_run[$n]:-}" ] || [ "$ready" = true ]; }; then
    fault_found "host $n fell from generation ${seen[$n]} to $generation (ready $ready)"
  fi
  if [ "$run" = "${seen_run[$n]:-}" ] || [ "$ready" = true ]; then
    seen[$n]=$generation
    seen_run[$n]=$run
  fi
}

# Reaps a host that has ended; fails if it still runs.
ended() {
  local n=$1 code
  kill -0 "${id[host-$n]}" 2>/dev/null && return 1
  wait "${id[host-$n]}"
  code=$?
  if [ "${state[$n]}" = stopping ]; then
    say "host $n stopped with $code after $((SECONDS - stop_began[n])) s"
    [ $code -eq 0 ] || fault_found "host $n stopped with $code"
  fi
  unset "id[host-$n]"
  state[$n]=down
}

declare -a stop_began wanted
declare -A killed
run_step() {
  local what=$1 whom=$2 text=${3:-}
  say "$what $whom $text"
  case $what in
  fault) fault "$whom" "$text" ;;
  push) push "$whom" ;;
  kill) kill -9 "${id[host-$whom]}"; state[$whom]=killed; killed[$whom]=1 ;;
  pause) kill -STOP "${id[host-$whom]}" ;;
  resume) kill -CONT "${id[host-$whom]}" ;;
  stop) stop_began[whom]=$SECONDS; state[$whom]=stopping; kill -TERM "${id[host-$whom]}" ;;
  again) wanted[whom]=1 ;;
  esac
}
restart_wanted() {
  local n
  for n in "${!wanted[@]}"; do
    if [ "${state[$n]}" != down ]; then ended "$n" 2>/dev/null || continue; fi
    host "$n"
    unset "wanted[$n]"
  done
}

start standin standin --deployment Kestrel --port "$base"
sleep 1
for n in 1 2 3 4 5 6 7; do host $n; done
sleep 2
"$program" manifest push --settings "$out/host-1.hujson" --wait bench/sockets/kestrel.manifest.hujson >"$out/first.push" 2>&1 || fault_found "the first push failed"
for ((i = 0; i < 100; i++)); do
  up=0
  for n in 1 2 3 4 5 6 7; do ready $n && up=$((up + 1)); done
  [ $up -eq 7 ] && break
  sleep 0.1
done
[ $up -eq 7 ] || fault_found "$up of 7 hosts are ready"
idle_line() {
  local n
  for n in 1 2 3 4 5 6 7; do
    echo -n "host-$n: goroutines $(metric $n siskinsaddle_goroutines) files $(ls "/proc/${id[host-$n]}/fd" | wc -l) open $(metric $n siskinsaddle_open_requests) running $(status $n | sed -n 's/.*"Running": \([0-9]*\).*/\1/p') pending $(status $n | sed -n 's/.*"PendingClaims": \([0-9]*\).*/\1/p'); "
  done
  echo
}
say "idle before: $(idle_line)"
declare -A at_first
for n in 1 2 3 4 5 6 7; do at_first[$n]=$(metric $n siskinsaddle_goroutines); done
"$program" load --settings "$out/load.hujson" --report "$out/load.json" >"$out/load.txt" 2>&1 &
id[load]=$!

now_ms() { echo $(($(date +%s%N) / 1000000)); }
began=$(now_ms)
n=0
while read -r at what whom text <&3; do
  while [ $(($(now_ms) - began)) -lt "$at" ]; do
    n=$((n % 7 + 1))
    [ "${state[$n]}" = up ] && look $n
    restart_wanted
    sleep 0.05
  done
  run_step "$what" "$whom" "$text"
done 3<"$out/plan"
while kill -0 "${id[load]}" 2>/dev/null && [ $(($(now_ms) - began)) -lt 80000 ]; do
  n=$((n % 7 + 1))
  [ "${state[$n]}" = up ] && look $n
  restart_wanted
  sleep 0.1
done
wait "${id[load]}" || fault_found "the load failed"
unset "id[load]"
cat "$out/load.txt" | tee -a "$out/events"

# Only a killed host may cut off streams, not one that was stopped or kept running.
for n in 1 2 3 4 5 6 7; do
  [ -n "${killed[$n]:-}" ] && continue
  for kind in CutOff NoAnswer; do
    cut=$(sed -n "/\"$kind\"/,/}/p" "$out/load.json" | sed -n "s/.*127\.0\.0\.1:$(caller_port $n)\": \([0-9]*\).*/\1/p")
    [ -n "$cut" ] && fault_found "host $n, which was not killed: $kind $cut"
  done
done

# All resources return to their idle level.
sleep $settle
restart_wanted
say "idle after: $(idle_line)"
for n in 1 2 3 4 5 6 7; do
  look $n
  ready $n || fault_found "host $n is not ready"
  at_last=$(metric $n siskinsaddle_goroutines)
  [ "$at_last" -le $((at_first[$n] + more_goroutines)) ] || fault_found "host $n has $at_last goroutines, ${at_first[$n]} at first"
  [ "$(metric $n siskinsaddle_open_requests)" = 0 ] || fault_found "host $n has open requests"
  status $n | grep -q '"Running": 0' || fault_found "host $n has grants in use"
  status $n | grep -q '"PendingClaims": 0' || fault_found "host $n has unsettled claims"
done
for n in 1 2 3 4 5 6 7 8 9 10; do
  running=$(curl -s -m 1 "http://127.0.0.1:$((base + 1 + n))/load")
  grep -q '"Running":0' <<<"$running" || fault_found "engine $n: $running"
done

# The result of every push matches the history, and all hosts serve under the last
# generation.
"$program" manifest history --settings "$out/host-1.hujson" >"$out/history" 2>&1
final=$("$program" manifest show --settings "$out/host-1.hujson" | sed -n 's/^in force: generation //p')
for n in 1 2 3 4 5 6 7; do
  [ "${seen[$n]}" = "$final" ] || fault_found "host $n is at generation ${seen[$n]}, not $final"
done
declare -A accepted
for generation in $(sed -n 's/^generation \([0-9]*\) Accepted.*/\1/p' "$out/history"); do
  number=$("$program" manifest show --body "$generation" --settings "$out/host-1.hujson" | sed -n 's/.*"MaxBodyBytes": \([0-9]*\).*/\1/p')
  accepted[$((number - 4194304))]=$generation
done
for ((i = 1; i <= pushes; i++)); do
  wait "${id[push-$i]}"
  unset "id[push-$i]"
  word=$(head -1 "$out/push-$i.answer")
  say "push $i: $word"
  case $word in
  Accepted*) [ -n "${accepted[$i]:-}" ] || fault_found "push $i was told Accepted and is not in the history" ;;
  NotAccepted*) [ -z "${accepted[$i]:-}" ] || fault_found "push $i was told NotAccepted and is generation ${accepted[$i]}" ;;
  Unknown*) ;;
  *) grep -q 'WRONG\|panic' "$out/push-$i.log" && fault_found "push $i failed" || say "push $i: $(tail -1 "$out/push-$i.log")" ;;
  esac
done

for n in 1 2 3 4 5 6 7; do
  kill -TERM "${id[host-$n]}"
  state[$n]=stopping
  stop_began[n]=$SECONDS
done
for n in 1 2 3 4 5 6 7; do
  for ((i = 0; i < 100; i++)); do
    ended $n && break
    sleep 0.1
  done
  [ "${state[$n]}" = down ] || fault_found "host $n does not stop"
done
kill -TERM "${id[standin]}"
wait "${id[standin]}"
unset "id[standin]"
grep -l 'panic\|fatal error' "$out"/*.log && fault_found "a process panicked"
[ $bad -eq 0 ] && say "seed $seed: all held in $SECONDS s" || say "seed $seed: NOT all held, $SECONDS s"
exit $bad
