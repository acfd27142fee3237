#!/bin/bash
# slopes.sh OUT [N...]: control cost by the number of nodes. Runs N nodes without
# load and measures gossip bytes and messages per second, CPU time and memory of
# one node, the time until all nodes have a new version, and the time until all
# list a killed node as down.
set -u
OUT=$(realpath "$1")
shift
HERE=$(dirname "$(realpath "$0")")
[ $# -gt 0 ] || set -- 10 30 100

measure() { # N: prints the result line for N nodes
    local n=$1 i t0 first=svc-1-1
    DIR=$(mktemp -d)
    . "$HERE/mesh.sh"
    trap 'stop_all; rm -rf "$DIR"' EXIT
    : >"$DIR/layout"
    for i in $(seq "$n"); do
        node "svc-$((i % 5 + 1))-$i" "svc-$((i % 5 + 1))" "zone-$((i % 7))" 10
    done
    first=$(awk 'NR == 1 {print $1}' "$DIR/layout")
    {
        printf '{"format": 1, "name": "slopes", "classes": ["a"],'
        printf '"retries": {"per_request": 1, "ratio": 0.1}, "services": ['
        for i in 1 2 3 4 5; do
            printf '%s{"name": "svc-%d", "slots": 10, "connections": 9}' \
                "$([ "$i" = 1 ] || echo ,)" "$i"
        done
        printf '], "routes": [{"name": "r", "service": "svc-1",'
        printf '"method": "GET", "path": "/", "class": "a",'
        printf '"idempotent": true, "deadline_ms": 1000}]}\n'
    } >"$DIR/doc.json"
    t0=$(date +%s%3N)
    start_mesh "$DIR/doc.json" '[{"method": "GET", "path": "/",
        "work_ms": 1}]' >/dev/null || return 1
    local joined=$(($(date +%s%3N) - t0))
    sleep 12

    value() { # METRIC: its value at the first node
        ctl "$first" -n "$(addr "$first" admin)" status >/dev/null
        metrics "$first" | awk -v m="siskinpond_$1" '$1 == m {print $2}'
    }
    local a b ticks0 ticks1 p
    p=$(cat "$DIR/$first.pid")
    a=$(metrics "$first")
    ticks0=$(awk '{print $14 + $15}' "/proc/$p/stat")
    sleep 20
    ticks1=$(awk '{print $14 + $15}' "/proc/$p/stat")
    b=$(metrics "$first")
    local rss
    rss=$(awk '/^VmRSS/ {print $2}' "/proc/$p/status")

    t0=$(date +%s%3N)
    sed 's/"slopes"/"slopes-2"/' "$DIR/doc.json" >"$DIR/doc2.json"
    ctl "$first" -r again publish "$DIR/doc2.json" >/dev/null
    local last
    for i in $NODES; do
        until grep -q 'event=config .*version=2' "$DIR/$i.err"; do
            sleep 0.05
        done
    done
    last=$(sed -n 's/^at=\([0-9.]*\) .*event=config .*version=2 .*/\1/p' \
        "$DIR"/*.err | sort -n | tail -n 1)
    local force
    force=$(awk -v l="$last" -v t="$t0" 'BEGIN {printf "%d", l * 1000 - t}')

    local victim
    victim=$(awk 'END {print $1}' "$DIR/layout")
    t0=$(date +%s%3N)
    kill -9 "$(cat "$DIR/$victim.pid")"
    until [ "$(grep -l "member=$victim .*state=down" "$DIR"/*.err | wc -l)" \
        -ge $((n - 1)) ] || [ $(($(date +%s%3N) - t0)) -gt 40000 ]; do
        sleep 0.1
    done
    local down=$(($(date +%s%3N) - t0))
    awk -v n="$n" -v cpu=$((ticks1 - ticks0)) -v rss="$rss" \
        -v joined="$joined" -v force="$force" -v down="$down" '
        NR == FNR { a[$1] = $2; next }
        { b[$1] = $2 }
        function rate(m) {
            m = "siskinpond_" m
            return (b[m] - a[m]) / 20
        }
        END {
            printf "result nodes=%d bytes_in_s=%.0f bytes_out_s=%.0f", n,
                rate("peer_bytes_in_total"), rate("peer_bytes_out_total")
            printf " messages_out_s=%.1f core=%.4f rss_kb=%d",
                rate("peer_messages_out_total"), cpu / 100 / 20, rss
            printf " ready_ms=%d in_force_ms=%d down_ms=%d\n", joined, force,
                down
        }' <(echo "$a") <(echo "$b")
}

metrics() { # NODE: prints the metrics page
    local a
    a=$(addr "$1" admin)
    exec 8<>"/dev/tcp/${a%:*}/${a#*:}" || return 1
    printf 'GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' >&8
    printf 'authorization: Bearer %s\r\n\r\n' "$TOKEN" >&8
    sed '1,/^\r$/d' <&8
    exec 8<&-
}

for n in "$@"; do (measure "$n"); done
