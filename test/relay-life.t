# Relays with the platform interface: configuration versions, store outages,
# leaving instances and planned stops.
. test/fleet.sh
SAFE=$(route safe /safe/ safe 2 1 back)
MORE=$(route more /more/ safe 2 1 back)

node front-1 front
node back-1 back
node back-2 back
publish 00000002 "$SAFE" >/dev/null
until_ok 10 served front-1 warm GET /safe/warm
until_ok 5 served back-1 warm GET /safe/warm

report() { # ADDR CALL BODY
    printf 'POST %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
        "$2" "${#3}" "$3" | raw "$1:7403" | status_of
}
heartbeat() { # ADDRESS SERVICE SLOTS STATE SEQ START
    printf '{"address":"%s","born":%s,"info":{"service":"%s","slots":%s},"status":{"state":"%s","seq":%s,"warmup_left_s":0}}' \
        "$1" "$6" "$2" "$3" "$4" "$5"
}

echo "an older version is ignored:"
publish 00000001 "$MORE" >/dev/null
sleep 0.3
echo "old: $(code front-1 a1 GET /safe/x), $(code front-1 a2 GET /more/x)"
echo "an invalid version leaves the previous one in force:"
append keyed.op config '{"version":"00000009","routes":17}' >/dev/null
sleep 0.3
code front-1 a3 GET /safe/x
echo "a newer one:"
publish 00000003 "$SAFE" "$MORE" >/dev/null
until_ok 5 served front-1 more GET /more/x && echo in force

echo "store down: requests are served, a restarted node gets its state from peers"
store_mode down
code front-1 b1 GET /safe/x
kill -9 "$(cat "$DIR/relay-front-1.pid")"
sleep 0.2
relay front-1
until_ok 10 served front-1 again GET /more/x && echo served
store_mode ok

echo "a restarted node asks its instance, which reports once a minute:"
REPORT_S=60 node rare-1 rare -r 60000
publish 00000004 "$SAFE" "$MORE" "$(route rare /rare/ safe 2 1 rare)" \
    >/dev/null
until_ok 10 served front-1 rare GET /rare/x
kill -9 "$(cat "$DIR/relay-rare-1.pid")"
sleep 0.2
relay rare-1
until_ok 10 served front-1 rare GET /rare/x && echo served

echo "two nodes follow the store; when both are killed, another takes over:"
last_store_event() { # NODE: left or followed, since its last start
    awk '/event=started/ {x = ""}
        match($0, /event=store-(left|followed)/) {
            x = substr($0, RSTART + 12, RLENGTH - 12)
        }
        END {print x}' "$DIR/relay-$1.out"
}
has_left() { [ "$(last_store_event front-1)" = left ]; }
follows() { [ "$(last_store_event front-1)" = followed ]; }
until_ok 5 has_left && echo "before: left to others"
for n in back-1 back-2; do
    kill -9 "$(cat "$DIR/relay-$n.pid")"
done
until_ok 5 follows && echo "after: followed"
publish 00000005 "$SAFE" "$MORE" "$(route new /new/ safe 2 1 front)" >/dev/null
until_ok 5 served front-1 new GET /new/x && echo in force
relay back-1
relay back-2
until_ok 10 served back-1 new GET /new/x
until_ok 10 served back-2 warm GET /safe/warm

ip=$(ip_of back-1)
echo "invalid reports are rejected:"
report "$ip" /Instances.Heartbeat/i-x 'not json'
report "$ip" /Instances.Heartbeat/i-x "$(heartbeat "$ip:7406" back 8 odd 1 2000)"
echo "a report of another service is acknowledged and ignored:"
report "$ip" /Instances.Heartbeat/i-x "$(heartbeat "$ip:7406" other 8 ready 1 9000)"
echo "a report of an earlier start of the instance is acknowledged and ignored:"
report "$ip" /Instances.Heartbeat/i-back-1 "$(heartbeat "$ip:7406" back 8 draining 900000 5)"
sleep 0.3
printf 'still used: '
for i in $(seq 20); do code front-1 "s$i" GET /safe/x; done | sort | uniq -c | tr -s ' '

echo "a leaving instance gets no more requests after 0.3 s, none are refused:"
kill "$(cat "$DIR/inst-back-2.pid")"
sleep 0.3
for i in $(seq 20); do code front-1 "l$i" GET /safe/x; done | sort | uniq -c | tr -s ' '

echo "a stop finishes the requests in progress:"
(code front-1 t1 GET /safe/slow-800 >"$DIR/slow") &
slow=$!
sleep 0.3
kill "$(cat "$DIR/relay-front-1.pid")"
sleep 0.2
echo "not ready: $(ready front-1), serves: $(code front-1 t2 GET /safe/x)"
wait "$slow"
echo "in progress: $(cat "$DIR/slow")"
until_ok 8 grep -q event=stopped "$DIR/relay-front-1.out" && echo stopped
