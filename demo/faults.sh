#!/bin/bash
# faults.sh OUT: runs the Resale Mesh under load while nodes are killed, paused
# and resumed, the log is down or loses answers, a zone is partitioned, and
# instances are drained and replaced. The stand-ins count the runs; no
# non-idempotent call may run twice. Takes less than 2 minutes.
set -u
OUT=$(realpath "${1:-out}")
HERE=$(dirname "$(realpath "$0")")
DIR=$(mktemp -d)
. "$HERE/mesh.sh"
. "$HERE/resale.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

: >"$DIR/layout"
resale_layout
start_mesh "$HERE/../examples/resale-mesh.json" "$(resale_routes 10)" || exit 1
cat >"$DIR/load.json" <<END
{"mix": $(resale_mix), "steps": [{"seconds": 52, "rate": 150}],
 "retries": 3, "wait_ms": 100, "timeout_ms": 3000, "control": "$CONTROL"}
END
"$OUT/spload" -c "$DIR/load.json" >"$DIR/report" 2>"$DIR/load.err" &
load=$!
failed=0

say() { echo "faults: $(date +%T) $*"; }
pid() { cat "$DIR/$1.pid"; }
signal() { kill "-$1" "$(pid "$2")"; }

check() { # TEXT STATUS
    if [ "$2" -eq 0 ]; then say "ok: $1"; else
        say "FAILED: $1"
        failed=1
    fi
}

now_ms() { date +%s%3N; }

# in_force VERSION NODES...: waits up to 8 s until each node has the version,
# adds the times in ms to $took
in_force() {
    local v=$1 t0 n
    shift
    t0=$(now_ms)
    for n in "$@"; do
        until ctl "$n" status 2>/dev/null | grep -q "\"version\": $v,"; do
            [ $(($(now_ms) - t0)) -lt 8000 ] || return 1
            sleep 0.05
        done
        took="$took $(($(now_ms) - t0))"
    done
}

publish() { # REPLACES: publishes the document under another name
    sed "s/\"name\": \"resale-mesh\"/\"name\": \"resale-mesh-$1\"/" \
        "$HERE/../examples/resale-mesh.json" >"$DIR/doc-$1.json"
    ctl catalogue-1 -r "round $1" -v "$1" publish "$DIR/doc-$1.json" \
        >"$DIR/publish.out" 2>&1
}

drop() { # NODE on|off PEERS...: drops what the node sends to these peers
    local n=$1 on=false list="" p
    [ "$2" = on ] && on=true
    shift 2
    for p in "$@"; do list="$list${list:+,}\"$(addr "$p" peer)\""; done
    post "$n" /v1/faults/drop "{\"on\": $on, \"peers\": [$list]}"
}

post() { # NODE PATH BODY: posts to the admin listener
    local a host port
    a=$(addr "$1" admin)
    host=${a%:*}
    port=${a#*:}
    exec 8<>"/dev/tcp/$host/$port" || return 1
    printf 'POST %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' "$2" >&8
    printf 'authorization: Bearer %s\r\n' "$TOKEN" >&8
    printf 'content-length: %s\r\n\r\n%s' "${#3}" "$3" >&8
    cat <&8 >/dev/null
    exec 8<&-
}

last_run() { # INSTANCE: ms since a run last started there
    get "$CONTROL" /counts | sed -n "s/^instance=$1 .*last_run_ms=//p"
}

sleep 2
say "kill -9 sales-1, refunds-2"
signal KILL sales-1
signal KILL refunds-2
sleep 3
say "start them again"
start_node sales-1
start_node refunds-2
say "pause lots-1 and sales-2 for 6 s, longer than any lease"
signal STOP lots-1
signal STOP sales-2
sleep 6
signal CONT lots-1
signal CONT sales-2

took=""
publish 1
# shellcheck disable=SC2086
in_force 2 $NODES
check "version 2 in force everywhere within 8 s: ms$took" $?
say "the log loses every reply"
post_standin "$LOG" /faults '{"lose": 1}'
publish 2
grep -q accepted "$DIR/publish.out"
check "a publish whose reply was lost is confirmed by reading the log" $?
post_standin "$LOG" /faults '{"lose": 0}'

say "the log is down for 8 s"
post_standin "$LOG" /faults '{"down": true}'
sleep 8
post_standin "$LOG" /faults '{"down": false}'

say "zone qld-4 is partitioned from the others for 8 s"
far="sales-4 refunds-4 lots-4 catalogue-4"
near=$(awk '$3 != "qld-4" {print $1}' "$DIR/layout")
# shellcheck disable=SC2086
for n in $far; do drop "$n" on $near; done
# shellcheck disable=SC2086
for n in $near; do drop "$n" on $far; done
sleep 8
# shellcheck disable=SC2086
for n in $far; do drop "$n" off $near; done
# shellcheck disable=SC2086
for n in $near; do drop "$n" off $far; done

say "drain lots-2; no run may start there after 3 s"
post lots-2 /v1/drain ""
sleep 5
idle=$(last_run lots-2)
[ "$idle" -ge 1800 ]
check "last run of lots-2 was $idle ms ago" $?
post lots-2 /v1/undrain ""

say "planned stop of catalogue-3, then a replacement under another name"
signal TERM catalogue-3
wait "$(pid catalogue-3)"
grep -q 'event=stopped how=drained' "$DIR/catalogue-3.err"
check "the stop finished all requests: $(sed -n 's/.*event=stopped //p' \
    "$DIR/catalogue-3.err")" $?
sed 's/"name": "catalogue-3"/"name": "catalogue-3b"/' \
    "$DIR/catalogue-3.json" >"$DIR/catalogue-3b.json"
start_node catalogue-3b
sleep 4
ctl sales-3 members | grep -A5 '"catalogue-3"' | grep -q '"state": "up"'
[ $? -ne 0 ]
check "sales-3 no longer lists catalogue-3 as up" $?
ctl sales-3 members | grep -q '"catalogue-3b"'
check "sales-3 lists the replacement" $?

took=""
publish 3
# shellcheck disable=SC2046
in_force 4 $(awk '$1 != "catalogue-3" {print $1}' "$DIR/layout")
check "version 4 in force everywhere within 8 s: ms$took" $?

wait $load
check "load tool: no mismatched or truncated answer, no duplicate run, no false not-run" $?
grep -E '^(mix|refused|sent)' "$DIR/report"
cat "$DIR/load.err"
doubles=$(get "$CONTROL" /counts | sed -n 's/^doubles=\([0-9]*\).*/\1/p')
[ "$doubles" = 0 ]
check "instances counted $doubles duplicate runs" $?
exit $failed
