#!/usr/bin/env bash
# Case 3: streams that are resumed after all processes were killed hold events of two software
# versions.
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" versions
