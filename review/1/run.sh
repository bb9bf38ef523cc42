#!/usr/bin/env bash
# Case 1: results that were read are gone after the host that took over its jobs while the
# store lost answers is restarted once more.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Writes what was
# sent, answered and run to record.txt beside this file. TROUBLE=0 does the same without
# the kills and the lost answers.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../play.sh" takeover "$folder/record.txt"
