#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=0 go build -C review/harness -o ../../target/review-harness .
