# Guards against a planned stop that cuts something off: calls of a running
# request, also on a connection that was opened just before, requests that wait
# in another relay's queue, answers that a client reads slowly.
STOP_S=6
. test/fleet.sh

node front-1 front
node front-2 front
node back-1 back
node leaf-1 rare
node big-1 back
kill -9 "$(cat "$DIR/inst-big-1.pid")" # it only serves clients
publish 00000001 "$(route order /order/ unsafe 12 0 back)" \
    "$(route leaf /leaf/ safe 12 1 rare)" \
    "$(route big /big/ safe 12 1 back)" >/dev/null
until_ok 10 served front-1 w1 GET /order/x
until_ok 10 served back-1 w2 GET /leaf/x
until_ok 10 served big-1 w3 GET /big/x

send_for() { # NODE ID METHOD PATH MS: with that time until its deadline
    printf '%s %s HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: %s\r\nconnection: close\r\n\r\n' \
        "$3" "$4" "$2" "$5" | raw "$(ip_of "$1"):7401" 14 2>/dev/null
}
status() { local s; s=$(send_for "$@" | status_of); echo "${s:-cut off}"; }

echo "a client reads an answer of 16 MB in 3 s:"
read_slowly() {
    exec 7<>"/dev/tcp/$(ip_of big-1)/7401"
    printf 'GET /big/size-16000 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: s1\r\nSiskinpond-Deadline-Ms: 12000\r\n\r\n' >&7
    for i in 1 2 3; do sleep 1; head -c 4000000 <&7; done
    timeout 5 cat <&7
    exec 7<&-
}
kill "$(cat "$DIR/relay-big-1.pid")"
sleep 0.5
read_slowly | wc -c >"$DIR/slow"
echo "whole: $([ "$(cat "$DIR/slow")" -gt 16384000 ] && echo yes || cat "$DIR/slow")"

echo "calls of requests that run beside the stopping relay:"
send_for front-1 o1 POST /order/slow-5000 9000 >"$DIR/older" &
pids=$!
sleep 0.5
kill "$(cat "$DIR/relay-back-1.pid")"
sleep 2.8
send_for front-1 p1 POST /order/slow-2000 6000 >"$DIR/order" &
pids="$pids $!"
sleep 1.5 # 4.3 s after the signal
status back-1 p1.1 GET /leaf/slow-1200 6000 >"$DIR/call" &
pids="$pids $!"
send_for back-1 o1.1 GET /leaf/slow-4000 6000 >"$DIR/long" &
pids="$pids $!"
late_call() { # the request follows 0.1 s after the connection
    exec 7<>"/dev/tcp/$(ip_of back-1)/7401"
    sleep 0.1
    printf 'GET /leaf/x HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p1.2\r\nSiskinpond-Deadline-Ms: 3000\r\nconnection: close\r\n\r\n' >&7
    timeout 3 cat <&7 | status_of
}
echo "a connection opened during the stop: $(late_call 2>/dev/null)"
# shellcheck disable=SC2086
wait $pids
echo "the requests: $(status_of <"$DIR/older"), $(status_of <"$DIR/order")"
echo "its call: $(cat "$DIR/call")"
echo "one that takes longer than the node lives, ended by its target:" \
    "$(status_of <"$DIR/long"), signed $(grep -c Signature "$DIR/long")"
wait "$(cat "$DIR/relay-back-1.pid")" 2>/dev/null
relay back-1
until_ok 10 served front-2 w4 GET /order/x

echo "requests that wait in another relay's queue:"
pids=""
for i in $(seq 18); do # 7 of them run at a time
    status front-2 "q$i" POST /order/slow-2600 12000 >"$DIR/queued-$i" &
    pids="$pids $!"
done
sleep 0.2
kill "$(cat "$DIR/relay-front-2.pid")"
# shellcheck disable=SC2086
wait $pids
cat "$DIR"/queued-* | sort | uniq -c | tr -s ' '
ran=0
for i in $(seq 18); do
    [ "$(cat "$DIR/queued-$i")" = 503 ] && ran=$((ran + $(runs "q$i")))
done
echo "refused, but run: $ran"
