#!/usr/bin/env bash
# Checks every model in this folder with spin.
# In a file NAME.pml every assertion must hold, exhaustively.
# In a file NAME.broken-WHY.pml an assertion must be found to fail.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Runs one model exhaustively and prints what came of it: Holds, Violated,
# Incomplete where the search did not end, or Broken where the model itself is
# faulty (it does not compile, or a process is stuck).
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

# Checks one model and prints a line; the line of a failure begins with FAIL.
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

# Two at a time: compiling takes most of the time, searching most of the memory.
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
