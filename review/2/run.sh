#!/usr/bin/env bash
# Case 2: a job is never finished if its host, of which the other hosts have lost sight, is lost.
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" gone
