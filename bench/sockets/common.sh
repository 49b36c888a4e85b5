# Sourced by the scripts that measure how costs grow with load or size. It builds the
# program into a temporary folder, which is removed when the script ends. All processes
# listen on loopback, on ports from FIRST_PORT up (20000 by default).

cd -P "$(dirname "${BASH_SOURCE[0]}")/../.."
out=$(mktemp -d)
program=$out/siskinsaddle
first_port=${FIRST_PORT:-20000}
standin_port=$first_port
platform=127.0.0.1:$((first_port + 1))
started=()

stop_all() {
  local id
  for id in "${started[@]}"; do
    kill "$id" 2>/dev/null || true
  done
  for id in "${started[@]}"; do
    wait "$id" 2>/dev/null || true
  done
  started=()
}

trap 'stop_all; rm -rf "$out"' EXIT
go build -o "$program" ./cmd/siskinsaddle

# Starts a process in the background; its id is in started[-1].
start() {
  local name=$1
  shift
  "$program" "$@" >"$out/$name.log" 2>&1 &
  started+=($!)
}

# Writes the settings of host NUMBER in failure domain DOMAIN.
host_settings() {
  local n=$1 domain=$2
  cat >"$out/host-$n.hujson" <<EOF
{
  "HostName": "host-$n",
  "FailureDomain": "$domain",
  "Callers": {"Address": "127.0.0.1:$((first_port + 100 + n))", "OperatorAddress": "127.0.0.1:$((first_port + 300 + n))"},
  "Links": {"Address": "127.0.0.1:$((first_port + 500 + n))", "Secret": "one-machine-only-secret"},
  "Platform": {"TableEndpoint": "http://$platform", "ObjectEndpoint": "http://$platform", "ListAddress": "$platform"},
  "Stop": {"BalancerMilliseconds": 100},
  "LogLevel": "Warn",
}
EOF
}

# Prints the sum of one metric over all hosts. The metric is given by the prefix of its
# lines, which may include labels.
metric() {
  local name=$1 hosts=$2 urls=() n
  for n in $(seq "$hosts"); do
    urls+=("http://127.0.0.1:$((first_port + 100 + n))/metrics")
  done
  curl -s "${urls[@]}" | awk -v name="$name" 'index($1, name) == 1 { sum += $NF } END { printf "%d\n", sum }'
}

# Prints one of the call counts of the platform's stand-in.
counted() {
  curl -s "http://$platform/counts" | tr -d '{}"' | tr ',' '\n' | awk -F: -v name="$1" '$1 == name { print $2 }'
}

# Prints the lowest generation that any host serves under.
generation() {
  local hosts=$1 urls=() n
  for n in $(seq "$hosts"); do
    urls+=("http://127.0.0.1:$((first_port + 300 + n))/status")
  done
  curl -s "${urls[@]}" | awk -F'[:,]' '
    /"Generation"/ { seen++; if (least == "" || $2 + 0 < least) least = $2 + 0 }
    END { print (seen == '"$hosts"' ? least : -1) }'
}

# Prints the total resident memory of the processes, in KB.
resident() {
  local id
  for id in "$@"; do
    awk '/^VmRSS/ { print $2 }' "/proc/$id/status"
  done | awk '{ sum += $1 } END { print sum }'
}

now_milliseconds() {
  date +%s%3N
}

# Waits until every host serves under a generation, and prints the milliseconds since
# the given time.
in_force_after() {
  local hosts=$1 wanted=$2 since=$3
  until [ "$(generation "$hosts")" -ge "$wanted" ]; do
    sleep 0.02
  done
  echo $(($(now_milliseconds) - since))
}

# Adds host NUMBER of failure domain DOMAIN to the platform's list of hosts.
enter_host() {
  local n=$1 domain=$2
  curl -s -o "$out/enter.log" -X PUT "http://$platform/hosts" \
    -d "{\"Name\": \"host-$n\", \"Kind\": \"Host\", \"Region\": \"prairie\", \"FailureDomain\": \"$domain\", \"Address\": \"127.0.0.1:$((first_port + 500 + n))\", \"State\": \"Live\"}"
}

# Writes the settings of SERVERS engines with large batches in one failure domain,
# and a manifest whose limits let one workspace use all of their slots.
one_domain() {
  local servers="" n
  for n in $(seq "$1"); do
    servers+="{\"Name\": \"llm-$n\", \"FailureDomain\": \"prairie-a\"}, "
  done
  cat >"$out/standin.hujson" <<EOF
{
  "Region": "prairie",
  "PlatformAddress": "$platform",
  "FaultsAddress": "127.0.0.1:$standin_port",
  "Services": [{
    "Name": "canvas-llm", "Kind": "Model", "ChecksFencing": true,
    "Models": [{"Name": "canvas-small", "Version": "1"}],
    "Batch": {"MaxBatch": 128},
    "Servers": [$servers],
  }],
}
EOF
  sed 's/"SlotsPerServer": 8/"SlotsPerServer": 120/; s/"MaxOpen": 256/"MaxOpen": 4096/' \
    bench/sockets/kestrel.manifest.hujson | grep -v '"prairie-[bc]"' >"$out/manifest.hujson"
}
