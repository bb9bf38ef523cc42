#!/usr/bin/env bash
# Case 2: a job is never finished if its host, of which the other hosts have lost sight, is lost.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Writes what was
# sent, answered and run to record.txt beside this file. TROUBLE=0 does the same without
# the kill, the lost answer, the freeze and the loss of the host.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../play.sh" gone "$folder/record.txt"
