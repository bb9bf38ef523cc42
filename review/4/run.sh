#!/usr/bin/env bash
# Case 4: items of a job whose end was acknowledged go on running at a host that the other hosts
# have lost sight of.
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" ended
