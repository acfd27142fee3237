#!/bin/bash
# Twelve clients on six machines send a large body each at the same time, to a
# service with one target. Meanwhile eight clients on the machine of that target
# have requests run by another, sound target.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

BODY_BYTES=16000000
MEMORY_KB=266240 # memory_mb 260

FRONTS="front-1 front-2 front-3 front-4 front-5 front-6"
MACHINES="$FRONTS quoting-1 orders-1"
for m in $MACHINES; do machine "$m" "$(sed "s/front-./catalog/; s/-1$//" <<<"$m")"; done
for m in $MACHINES; do relay "$m"; done
for m in $MACHINES; do target "$m" -n 60; done
publish 00000001 "$(route quote-issue /quote/ unsafe 6 0 quoting 2)" \
    "$(route order-submit /order/ unsafe 6 0 orders 2)" >/dev/null
for m in $FRONTS; do
    until_ok 20 serves $m /quote/w-1/x || give_up "no body is taken at $m"
done
until_ok 20 serves quoting-1 /order/w-1/x || give_up "no order is served"
sleep 3

# The platform kills a process that exceeds memory_mb.
peak_kb() { awk '/^VmHWM/ {print $2}' "/proc/$(pid_of "relay-$1")/status" 2>/dev/null; }
limit_memory() {
    local m kb
    while :; do
        for m in $MACHINES; do
            kb=$(peak_kb "$m")
            if [ "${kb:-0}" -gt $MEMORY_KB ]; then
                note "the relay of $m has used $kb KB: SIGKILL"
                kill -9 "$(pid_of "relay-$m")"
                return
            fi
        done
        sleep 0.01
    done
}
limit_memory &

upload() { # N
    clients "up-$1" "front-$((($1 - 1) % 6 + 1))" calls -m POST -p /quote/w-260/ -b $BODY_BYTES \
        -d 6000 -c 1 -i "up-$1"
}
clients steady quoting-1 calls -m POST -p /order/w-400/ -n 8 -t 9 -d 6000 -i steady
sleep 2
for k in 1 2 3 4 5 6 7 8 9 10 11 12; do
    upload $k
    [ "$TROUBLE" = 1 ] || wait_for up-$k # one after the other
done
for k in 1 2 3 4 5 6 7 8 9 10 11 12; do wait_for up-$k; done
wait_for steady
for m in $MACHINES; do note "peak of $m: $(peak_kb "$m") KB"; done

# LOST: a request from a kept connection was passed on to a sound target and
# the connection closed without an answer, more than three times.
lost=$(awk '$2 == "run" {ran[$3] = 1}
    $2 == "closed" && $3 ~ /^steady/ && ran[$3] {n++}
    END {print (n > 3 ? n : 0)}' "$LOG")
verdict "$lost" "requests of other clients lost at a sound target (LOST)"
