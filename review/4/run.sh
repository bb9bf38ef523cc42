#!/usr/bin/env bash
# Case 4: items of a job whose end was acknowledged go on running at a host that the other hosts
# have lost sight of.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Writes what was
# sent, answered and run to record.txt beside this file. TROUBLE=0 does the same without
# the kill, the lost answer and the freeze.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../play.sh" ended "$folder/record.txt"
