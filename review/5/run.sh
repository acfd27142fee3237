#!/bin/bash
# A machine gets SIGTERM. In the time in which it still takes work, 32 requests
# come for a service with eight free slots: eight run, the others wait in the
# queue beside the target.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

WORK_MS=1150
BUDGET_MS=6000

machine front catalog z1
machine orders-1 orders z2
for m in front orders-1; do relay $m; done
target front -n 60
target orders-1 -n 9 # the relay uses 95 in 100 of them
publish 00000001 "$(route order-submit /order/ unsafe 6 0 orders 2)" >/dev/null
until_ok 20 serves front /order/w-1/x || give_up "no order is served"
sleep 3

if [ "$TROUBLE" = 1 ]; then
    note "trouble: SIGTERM to the relay of front"
    kill -TERM "$(pid_of relay-front)"
fi
sleep 2.75
clients c front calls -m POST -p /order/w-$WORK_MS/ -n 32 -t 1 -d $BUDGET_MS -i order
if [ "$TROUBLE" = 1 ]; then # the platform kills after grace_s
    sleep 3.3
    alive relay-front && note "SIGKILL to the relay of front" &&
        kill -9 "$(pid_of relay-front)"
fi
wait_for c

# LOST: a SIGTERM of the machine, a whole request was read, and the connection
# ends without an answer later than loss_slack_s after its last byte was sent.
# Not counted: the target was at work on it in the last sixth of grace_s.
lost=$(awk '$2 == "run" {ran[$3] = 1}
    $2 == "closed" && $3 ~ /^order/ && !ran[$3] && $4 > 200 {n++}
    END {print n + 0}' "$LOG")
verdict "$lost" "requests read, never run and never answered (LOST)"
