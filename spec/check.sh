#!/usr/bin/env bash
# Checks every model in this folder with spin.
# In a file NAME.pml an exhaustive search must find every assertion to hold.
# In a file NAME.broken-WHY.pml the search must find a violated assertion.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Searches one model exhaustively and prints the result: Holds, Violated,
# Incomplete if the search did not finish, or Broken if the model itself is
# faulty (it does not compile, or a process deadlocks).
check() {
  local model=$1 folder log
  folder=$work/$(basename "$model" .pml)
  log=$folder/pan.log
  mkdir -p "$folder"
  cp ./*.pml ./*.inc "$folder" 2>/dev/null || true
  if ! (
    cd "$folder"
    spin -a "$model" >spin.log &&
      gcc -O1 -w -DSAFETY -DMEMLIM=4096 -DVECTORSZ=4096 -o pan pan.c &&
      ./pan -m1000000 >pan.log
  ); then
    echo Broken
  elif grep -q 'assertion violated' "$log"; then
    echo Violated
  elif grep -qE 'max search depth too small|out of memory|search aborted|Search not completed' "$log"; then
    echo Incomplete
  elif grep -q 'errors: 0$' "$log"; then
    echo Holds
  else
    echo Broken
  fi
}

# Checks one model and prints one line, which starts with FAIL on a failure.
report() {
  local model=$1 want=Holds found
  case "$model" in
    *.broken-*.pml) want=Violated ;;
  esac
  found=$(check "$model")
  if [ "$found" = "$want" ]; then
    echo "ok   $model: $found"
  else
    echo "FAIL $model: $found, wanted $want"
  fi
}

# Two at a time: compiling takes most of the time, the search most of the memory.
for model in *.pml; do
  [ -e "$model" ] || continue
  while [ "$(jobs -rp | wc -l)" -ge 2 ]; do
    wait -n
  done
  report "$model" >"$work/$model.line" &
done
wait
cat "$work"/*.line
good=$(cat "$work"/*.line | grep -c '^ok ')
[ "$good" = "$(find . -name '*.pml' | wc -l)" ]
