#!/bin/bash
# Both targets of a service turn a part of the requests away, and one of them
# sends a few of its answers a second time, where the next answer on the
# connection is due.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

SHED=0.55
EXTRA=0.03
EXTRA_S=5
SHED_S=6
TIMES=11

machine front catalog
machine orders-1 orders
machine orders-2 orders
for m in front orders-1 orders-2; do relay $m; done
target front -n 60
target orders-1 -n 77 -S $SHED -X $EXTRA -f "$DIR" -r "${SEED:-$$}"
target orders-2 -n 77 -S $SHED -f "$DIR" -r "$((${SEED:-$$} + 1))"
publish 00000001 "$(route order-submit /order/ unsafe 6 0 orders 1)" >/dev/null
until_ok 20 serves front /order/w-1/x || give_up "no order is served"
sleep 3

clients c front calls -m POST -p /order/w-20/ -n 120 -g 20 -t $((TIMES * 8)) -d 6000 -i c$$
for ((k = 0; k < TIMES; k++)); do
    if [ "$TROUBLE" = 1 ]; then
        note "trouble: shed $SHED for $SHED_S s, extra answers $EXTRA for $EXTRA_S s"
        touch "$DIR/shed" "$DIR/extra"
    fi
    sleep $EXTRA_S
    rm -f "$DIR/extra"
    sleep $((SHED_S - EXTRA_S))
    rm -f "$DIR/shed"
    sleep $((8 - SHED_S))
done
wait_for c

# TWICE: a request that isn't idempotent ran more than once. REFUSED: it was
# answered 429 or 503 and has run.
awk '$2 == "run" {runs[$3]++}
    $2 == "answer" {status[$3] = $4}
    END {
        for (id in runs) {
            if (runs[id] > 1) print "TWICE " id " ran " runs[id] " times, answered " status[id]
            else if (status[id] == 503 || status[id] == 429) print "REFUSED " id " ran, answered " status[id]
        }
    }' "$LOG" >"$DIR/broken"
cat "$DIR/broken" >>"$LOG"
verdict "$(wc -l <"$DIR/broken")" "unsafe requests ran twice or were refused and ran (TWICE, REFUSED)"
