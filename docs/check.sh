#!/usr/bin/env bash
# Runs every block marked "sh run" of the README, docs/ and bench/ against a host
# with the embedded defaults, in a folder of its own. Any command that fails
# ends it.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
work=$(mktemp -d)
go build -o "$work/siskinsaddle" ./cmd/siskinsaddle
"$work/siskinsaddle" serve --embedded >"$work/serve.log" 2>&1 &
host=$!
cleanup() {
  kill "$host" 2>/dev/null || true
  wait "$host" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

tries=0
until curl -sf http://127.0.0.1:8080/readyz >/dev/null; do
  tries=$((tries + 1))
  if [ "$tries" -gt 600 ] || ! kill -0 "$host" 2>/dev/null; then
    echo "the host is not ready"
    cat "$work/serve.log"
    exit 1
  fi
  sleep 0.1
done

# Prints the marked blocks of a page one after another.
blocks() {
  awk '/^```sh run$/ {on = 1; next} /^```/ {on = 0} on' "$1"
}

export PATH="$work:$PATH"
for page in README.md docs/*.md docs/design/*.md bench/README.md; do
  blocks "$page" >"$work/page.sh"
  [ -s "$work/page.sh" ] || continue
  mkdir -p "$work/run"
  ln -sfn "$root/bench" "$work/run/bench"
  (cd "$work/run" && bash -euo pipefail "$work/page.sh") >"$work/page.log" 2>&1 || {
    echo "FAIL $page"
    cat "$work/page.log"
    exit 1
  }
  echo "ok   $page"
done
