#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10. It runs after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review-2/standin2 ./review/standin2
