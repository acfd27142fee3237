#!/bin/bash
# latency.sh OUT [RATE [SECONDS]]: measures the latency that two nodes on the
# path add to a call. The same calls go to an instance directly and through the
# outbound and inbound nodes, at the same time. Also measures memory and CPU time
# of a node when idle and under this load.
set -u
OUT=$(realpath "$1")
RATE=${2:-500}
SECONDS_=${3:-20}
HERE=$(dirname "$(realpath "$0")")
DIR=$(mktemp -d)
. "$HERE/mesh.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

: >"$DIR/layout"
node sales-1 sales qld-1 180
node lots-1 lots qld-1 25
routes='[{"method": "GET", "path": "/lots/detail", "work_ms": 0,
  "dist": "const", "bytes": 500}]'
start_mesh "$HERE/../examples/resale-mesh.json" "$routes" >/dev/null || exit 1

rss() { awk '/^VmRSS/ {print $2}' "/proc/$(cat "$DIR/$1.pid")/status"; }
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$DIR/$1.pid")/stat"; }

rest=$(rss lots-1)
t0=$(ticks lots-1)
sleep 5
t1=$(ticks lots-1)
mix() { # NAME CONTACT: prints an entry of the load mix
    printf '{"name": "%s", "class": "browse", "method": "GET",' "$1"
    printf ' "path": "/lots/detail", "weight": 1, "contacts": ["%s"]}' "$2"
}
cat >"$DIR/load.json" <<END
{"mix": [$(mix direct "$(addr lots-1 instance)"),
         $(mix nodes "$(addr sales-1 outbound)")],
 "steps": [{"seconds": $SECONDS_, "rate": $((RATE * 2))}],
 "retries": 0, "timeout_ms": 2000}
END
t2=$(ticks lots-1)
"$OUT/spload" -c "$DIR/load.json" >"$DIR/report"
t3=$(ticks lots-1)
load=$(rss lots-1)
grep ^mix= "$DIR/report"
awk -v rest="$rest" -v load="$load" -v idle=$((t1 - t0)) \
    -v busy=$((t3 - t2)) -v secs="$SECONDS_" -v rate="$RATE" '
    function val(name, i, kv) {
        for (i = 1; i <= NF; i++) {
            split($i, kv, "=")
            if (kv[1] == name) return kv[2]
        }
    }
    /^mix=direct/ { d50 = val("p50_ms"); d99 = val("p99_ms") }
    /^mix=nodes/ { n50 = val("p50_ms"); n99 = val("p99_ms")
                   whole = val("share") }
    END {
        printf "result latency rate=%d added_p50_ms=%.2f", rate, n50 - d50
        printf " added_p99_ms=%.2f goal_p99_ms=0.48 whole=%s", n99 - d99,
            whole
        printf " rss_rest_kb=%d rss_load_kb=%d goal_kb=65536", rest, load
        printf " idle_core=%.4f us_per_call=%.0f\n", idle / 100 / 5,
            busy * 10000 / (secs * rate)
    }' "$DIR/report"
