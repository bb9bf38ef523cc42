#!/usr/bin/env bash
# Case 3: streams that are resumed after all processes were killed hold events of two software
# versions.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Writes what was
# sent, answered and run to record.txt beside this file. TROUBLE=0 does the same without
# the kill.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../play.sh" versions "$folder/record.txt"
