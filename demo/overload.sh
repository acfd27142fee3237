#!/bin/bash
# overload.sh OUT MESH POLICY [SEED]: reduces the last service of the call chain
# to a quarter of its capacity for 20 s while the load doubles and callers retry
# up to 3 times. Prints the report of spload and a line "result ...". With SERIES
# set, spload writes its time series there; with EVENTS set, the logs of all
# processes go there.
set -u
OUT=$(realpath "$1")
MESH=$2
POLICY=$3
SEED=${4:-1}
HERE=$(dirname "$(realpath "$0")")
DIR=$(mktemp -d)
. "$HERE/mesh.sh"
. "$HERE/$MESH.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

WORK_MS=100 # run time of a request at the last service
RATE=400
: >"$DIR/layout"
"${MESH}_layout"
case $MESH in
resale) deep=lots first="confirm|refund" deep_mix="confirm|refund|page" ;;
valve) deep=configurator first="order" deep_mix="order|quote|lookup" ;;
esac
# requests per second that the last service can still answer
capacity=$(awk -v s=$deep -v w=$WORK_MS '$2 == s {n += $4}
    END {print n * 1000 / w / 4}' "$DIR/layout")
sed "s/\"format\": 1,/\"format\": 1, \"policy\": \"$POLICY\",/" \
    "$HERE/../examples/$MESH-mesh.json" >"$DIR/doc.json"
start_mesh "$DIR/doc.json" "$("${MESH}_routes" $WORK_MS)" >/dev/null || exit 1
cat >"$DIR/load.json" <<END
{"mix": $("${MESH}_mix"), "seed": $SEED, "retries": 3, "wait_ms": 50,
 "timeout_ms": 3000, "control": "$CONTROL", "trigger_end_ms": 25000,
 "steps": [{"seconds": 5, "rate": $RATE},
           {"seconds": 20, "rate": $((RATE * 2))},
           {"seconds": 15, "rate": $RATE}],
 "events": [
  {"at_ms": 5000, "addr": "$CONTROL", "path": "/set",
   "body": {"service": "$deep", "slow": 4}},
  {"at_ms": 25000, "addr": "$CONTROL", "path": "/set",
   "body": {"service": "$deep", "slow": 1}}],
 "phases": [{"name": "before", "from_ms": 1000, "to_ms": 5000},
            {"name": "overload", "from_ms": 8000, "to_ms": 24000},
            {"name": "after", "from_ms": 27000, "to_ms": 39000}]}
END
"$OUT/spload" -c "$DIR/load.json" ${SERIES:+-s "$SERIES"} >"$DIR/report"
cat "$DIR/report"
[ -n "${EVENTS:-}" ] && cat "$DIR"/*.err >"$EVENTS"
awk -v cap="$capacity" -v first="^mix=($first)\$" -v deep="^mix=($deep_mix)\$" \
    -v mesh="$MESH" -v policy="$POLICY" -v seed="$SEED" '
    function val(name, i, kv) {
        for (i = 1; i <= NF; i++) {
            split($i, kv, "=")
            if (kv[1] == name) return kv[2]
        }
    }
    /^phase=overload/ {
        if ($2 ~ first) { fs += val("sent"); fw += val("whole") }
        if ($2 ~ deep) g += val("goodput")
    }
    /^phase=before/ { bs += val("sent"); bw += val("whole") }
    /^phase=after/ { as += val("sent"); aw += val("whole") }
    /^recovery_ms/ { rec = val("recovery_ms") }
    /^phase_work=overload/ { waste = val("wasted") }
    /^sent=/ { dbl = val("double_runs"); fnr = val("false_not_run") }
    END {
        printf "result mesh=%s policy=%s seed=%s goodput_share=%.3f", mesh,
            policy, seed, g / cap
        printf " critical=%.4f before=%.4f after=%.4f recovery_ms=%s",
            fw / fs, bw / bs, aw / as, rec
        printf " wasted=%.4f double_runs=%s false_not_run=%s\n", waste, dbl,
            fnr
    }' "$DIR/report"
