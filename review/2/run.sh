#!/usr/bin/env bash
# A planner on the platform gets one spoilt report; later, servers drain. TROUBLE=0 leaves the spoilt report out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -x bin/lichenpick ] && [ -x bin/review-standin ] || { echo "build first: deploy file, then review/build.sh"; exit 2; }
folder=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
record="$here/record.txt"
: >"$record"
spoil=${SPOIL:-1}
[ "${TROUBLE:-1}" = 0 ] && spoil=0
mapfile -t port < <(bin/review-standin ports 2)
[ "${#port[@]}" = 2 ] || exit 2
planner=127.0.0.1:${port[0]}
discovery=127.0.0.1:${port[1]}
bin/review-standin platform-config "$planner" "$discovery" >"$folder/config.json" || exit 2
EDGE_CONFIG="$folder/config.json" bin/lichenpick serve >"$folder/planner.log" 2>&1 &
pids+=($!)
bin/review-standin platform -record "$record" -planner "$planner" -discovery "$discovery" \
  -spoil "$spoil" -spoilt-field "${FIELD:-over=1e-310}" -seed "${SEED:-1}" &
pids+=($!)
wait $!
result=$?
echo "panics that the planner logged: $(grep -c 'panic recovered' "$folder/planner.log")" | tee -a "$record"
cut -c 1-400 "$folder/planner.log" | sed 's/^/planner: /' >>"$record"
exit $result
