#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=review/4
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
[ -x "${command%% *}" ] && [ -x review/bin/frozen ] || exit 2
TROUBLE=${TROUBLE:-1} exec review/bin/frozen "$folder/record.txt" "$command"
