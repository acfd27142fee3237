#!/bin/bash
# A node is stopped while the target beside it goes on. A request that the target
# runs makes a call of its own late in the node's grace time.
CASE=$(cd "$(dirname "$0")" && pwd)
. "${REVIEW:-$CASE/..}/lib.sh"

REQUESTS=10
BUDGET_MS=6000 # order-submit of the site file
AFTER_S=2.9    # the orders are sent this long after the SIGTERM
WORK_MS=1400   # of an order before its call, which is made after 4.4 s
CALL_MS=1150   # what the call takes: it would end after 5.6 s

machine front1 front
machine orders1 orders
machine check1 check
machines="front1 orders1 check1"
publish 00000011 "$(route r-order /order/ unsafe 6 0 orders 2)" \
    "$(route r-leaf /leaf/ safe 3 1 check 2)" >/dev/null
for m in $machines; do
    target "$m" -n 31 -q 93 -O "$(ip_of "$m"):8304"
    relay "$m"
done
for m in $machines; do
    until_ok 20 serves "$m" /order/w-1/ || give_up "$m doesn't serve"
    until_ok 20 serves "$m" /leaf/w-1/ || give_up "$m doesn't serve"
done
sleep 4 # contact_s is 3
if [ "$TROUBLE" != 0 ]; then
    note "SIGTERM to the relay of orders1"
    kill -TERM "$(pid_of relay-orders1)"
fi
sleep $AFTER_S
clients orders front1 calls -i order -m POST -n $REQUESTS -c 1 -t 10 \
    -p "/order/n-1/w-$WORK_MS/m-$CALL_MS/" -d $BUDGET_MS
wait_for orders
sleep 1
note "the relay of orders1: $(grep -ho 'event=stopped.*' "$DIR/relay-orders1.out")"
cut=$(grep -c ' called .* cut off' "$LOG")
note "calls: $(grep -c ' calls ' "$LOG") made, $cut cut off;" \
    "answers to the clients: $(awk '/ answer order-/ {n[$4]++} END {for (s in n) printf "%s %s, ", n[s], s}' "$LOG")"
verdict "$cut" "calls that were passed on to a target and cut off"
