#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/bin. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../bin
go build -buildvcs=false -o ../bin/ ./cmd/...
