#!/usr/bin/env bash
# Checks every model in this folder with spin.
# A file NAME.pml must hold; a file NAME.broken-WHY.pml must be caught.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Runs one model exhaustively and prints the number of errors that pan found.
errors_in() {
  local model=$1 folder
  folder=$work/$(basename "$model" .pml)
  mkdir -p "$folder"
  cp ./*.pml ./*.inc "$folder" 2>/dev/null || true
  (
    cd "$folder"
    spin -a "$model" >spin.log
    gcc -O2 -w -DSAFETY -DMEMLIM=4096 -DVECTORSZ=4096 -o pan pan.c
    ./pan -m1000000 >pan.log
  )
  if grep -qE 'max search depth too small|out of memory|search aborted|Search not completed' "$folder/pan.log" && ! grep -qE 'errors: [1-9]' "$folder/pan.log"; then
    echo incomplete
    return
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.log" | head -1
}

failed=0
for model in *.pml; do
  [ -e "$model" ] || continue
  found=$(errors_in "$model")
  case "$model" in
    *.broken-*.pml) if [ "$found" = 0 ] || [ "$found" = incomplete ]; then echo "FAIL $model: the check did not catch it ($found)"; failed=1; else echo "ok   $model: caught"; fi ;;
    *) if [ "$found" = 0 ]; then echo "ok   $model: no errors"; else echo "FAIL $model: errors: $found"; failed=1; fi ;;
  esac
done
exit $failed
