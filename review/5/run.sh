#!/bin/bash
# A machine gets SIGTERM while two of its clients wait for large answers, which
# they read slowly.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

ANSWER_KB=16384
BYTES_PER_MS=4500 # 36 Mbit/s
BUDGET_MS=5000

machine front quotes
machine fabfiles-1 fabfiles
machine fabfiles-2 fabfiles
for m in front fabfiles-1 fabfiles-2; do relay $m; done
target front -n 60
target fabfiles-1 -n 270
target fabfiles-2 -n 270
publish 00000001 "$(route fab-download /fab/ download 5 2 fabfiles 2)" >/dev/null
until_ok 20 serves front /fab/w-1/k-1/x || give_up "no file is served"
sleep 3

for k in 1 2; do
    clients c$k front calls -p /fab/w-300/k-$ANSWER_KB/ -n 1 -t 1 -d $BUDGET_MS \
        -R $BYTES_PER_MS -k 65536 -i fab-$k
done
sleep 0.15
if [ "$TROUBLE" = 1 ]; then
    note "trouble: SIGTERM to the relay of front"
    kill -TERM "$(pid_of relay-front)"
fi
for k in 1 2; do wait_for c$k; done

# LOST: around planned work, a request that was passed on to a target and whose
# connection ends without a complete answer before its time budget.
lost=$(awk '$2 == "run" {ran[$3] = 1}
    ($2 == "closed" || ($2 == "answer" && $5 == "cut")) && ran[$3] {n++}
    END {print n + 0}' "$LOG")
verdict "$lost" "requests passed on to a target and cut during the stop (LOST)"
