# Guards against requests to an instance that leaves, after the drain time from
# the first acknowledged report of it, by a relay that has started since.
. test/fleet.sh

ONCE=$(route once /once/ unsafe 2 0 back)
report() { # NODE CALL BODY
    printf 'POST %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
        "$2" "${#3}" "$3" | raw "$(ip_of "$1"):7403" | status_of
}
say() { # NODE STATE SEQ [ADDRESS]
    report "$1" "/Instances.Heartbeat/i-$1" "$(printf '{"address":"%s","born":1000,"info":{"service":"back","slots":8},"status":{"state":"%s","seq":%s,"warmup_left_s":0}}' \
        "${4:-$(ip_of "$1"):7406}" "$2" "$3")"
}
kill_and_wait() { # NAME...: of programs; their addresses are free then
    local name
    for name in "$@"; do kill -9 "$(cat "$DIR/$name.pid")"; done
    for name in "$@"; do wait "$(cat "$DIR/$name.pid")" 2>/dev/null; done
}
restart() { # NODE...
    local name
    kill_and_wait "${@/#/relay-}"
    for name in "$@"; do relay "$name"; done
}
M=0
reached() { # NODE: of ten requests, how many its instance got
    local i before
    before=$(grep -c '^run id=' "$DIR/inst-$1.out")
    M=$((M + 1))
    for i in $(seq 10); do code front-1 "m$M-$i" POST /once/x >/dev/null; done
    echo $(($(grep -c '^run id=' "$DIR/inst-$1.out") - before))
}
up() { served front-1 "u$RANDOM" POST /once/x; }

export REPORT_S=60
node front-1 front
node back-1 back -r 60000 -H
publish 00000001 "$ONCE" >/dev/null
until_ok 10 up

echo "both relays are killed; the next report of the instance says the same:"
say back-1 draining 10
restart front-1 back-1
until_ok 5 is_up back-1
sleep 2
echo "$(say back-1 draining 11), requests that reach it: $(reached back-1)"
restart back-1
until_ok 5 is_up back-1
sleep 1
echo "once more: $(say back-1 draining 12), requests: $(reached back-1)"
kill_and_wait inst-back-1 relay-back-1

echo "the relay beside it is killed, and its status check says ready:"
node back-2 back -r 60000
until_ok 10 up
say back-2 ready 10
say back-2 draining 11
restart back-2
until_ok 5 grep -q 'event=instance-leaving.*said=before' "$DIR/relay-back-2.out"
sleep 2
echo "requests that reach it: $(reached back-2)"
echo "a late report, ready: $(say back-2 ready 10), requests: $(reached back-2)"
kill_and_wait inst-back-2 relay-back-2

echo "a relay that has just started learns first that it is gone:"
node back-3 back -r 60000 -H
until_ok 10 up
restart front-1 back-3
until_ok 5 is_up back-3
report back-3 /Instances.Deregister/i-back-3 ''
sleep 2
echo "a late report, ready: $(say back-3 ready 10), requests: $(reached back-3)"

echo "a leaving that is heard from its beginning, and another instance after it:"
node back-4 back -r 60000
until_ok 10 up
say back-4 ready 10
say back-4 draining 11
echo "requests in the drain time: $(reached back-4)"
sleep 2
echo "afterwards: $(reached back-4)"
kill_and_wait inst-back-4
instance back-4 back i-back-5 2000 -r 60000
until_ok 5 up && echo "the next one is used"
restart back-4
until_ok 5 up && echo "and so it is by a relay that hears of the one before"
echo "a report of an instance at another address: $(say back-4 draining 20 127.0.0.9:7406)"
