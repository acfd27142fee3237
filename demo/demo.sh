#!/bin/bash
# demo.sh [OUT]: runs the Resale Mesh on this machine and sends calls to it for
# 8 s.
set -u
OUT=$(realpath "${1:-out}")
HERE=$(dirname "$(realpath "$0")")
DIR=$(mktemp -d)
. "$HERE/mesh.sh"
. "$HERE/resale.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

: >"$DIR/layout"
resale_layout
echo "demo: starting 17 nodes, their instances and the log"
start_mesh "$HERE/../examples/resale-mesh.json" "$(resale_routes 10)" || {
    tail -qn 1 "$DIR"/*.err >&2
    exit 1
}
cat >"$DIR/load.json" <<END
{"mix": $(resale_mix), "steps": [{"seconds": 8, "rate": 200}],
 "retries": 2, "timeout_ms": 3000, "control": "$CONTROL"}
END
echo "demo: sending calls up to four services deep"
"$OUT/spload" -c "$DIR/load.json" >"$DIR/report"
status=$?
cat "$DIR/report"
echo "demo: the instances counted: $(get "$CONTROL" /counts | tail -n 1)"
echo "demo: stopping"
kinds=$(sed -n 's/^refused kind=\([^ ]*\) count=/\1:/p' "$DIR/report" |
    paste -sd, -)
stop_all
sed -n 's/^sent=\([0-9]*\) ended=[0-9]* whole=\([0-9]*\) refused=\([0-9]*\) \(.*\) double.*/demo: sent=\1 whole=\2 refused=\3 ('"${kinds:-none}"') \4/p' \
    "$DIR/report"
exit $status
