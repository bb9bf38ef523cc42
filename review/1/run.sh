#!/usr/bin/env bash
# Case 1: results that were read are gone after the host that took over its jobs while the
# store lost answers is restarted once more.
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" takeover
