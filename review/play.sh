#!/usr/bin/env bash
# Plays one case: review/play.sh SCENARIO RECORD. Starts the stand-in of the platform, which
# asks for starts and signals of the system's processes and writes the record, and exits with its
# verdict: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. With TROUBLE=0 the
# stand-in plays the scenario without its disruption.
set -uo pipefail
scenario=$1
record=$2
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
declare -A pid=()
all=()

finish() {
  for p in "${all[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS"; cp "$dir"/*.log "$KEEP_LOGS"/; fi
  rm -rf "$dir"
}
trap finish EXIT

if [ ! -x target/spindled ] || [ ! -x target/review-standin ]; then
  echo 'build the system as deploy/system.toml says, then run review/build.sh' >&2
  exit 2
fi
target/spindled storage >"$dir/storage.log" 2>&1 &
all+=($!)
mkfifo "$dir/commands"
target/review-standin -dir "$dir" -data review/standin -record "$record" "$scenario" >"$dir/commands" &
all+=($!)
code=2
while read -r command a b; do
  case $command in
    start)
      COMFREYSPINDLE_NODE_FILE="$dir/$a.json" target/spindled edge >>"$dir/$a.log" 2>&1 &
      pid[$a]=$!
      all+=($!)
      ;;
    signal) kill -"$a" "${pid[$b]}" ;;
    verdict)
      code=$a
      echo "$scenario: $b"
      break
      ;;
  esac
done <"$dir/commands"
exit "$code"
