# Guards against a relay that holds more memory than it may: bodies of callers
# and of other relays that arrive together.
MEMORY_MB=260
BODY_BYTES=67108864
BODIES=12
BODY=16000000
. test/fleet.sh

FRONTS=$(seq -f front-%g 6)
for n in $FRONTS; do node "$n" front; done
node back-1 back
publish 00000001 "$(route up /up/ safe 12 1 back)" \
    "$(route small /small/ unsafe 12 0 back)" >/dev/null
for n in $FRONTS; do until_ok 10 served "$n" "w$n" GET /up/x; done

upload() { # NODE ID
    {
        printf 'POST /up/slow-200 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 10000\r\nconnection: close\r\ncontent-length: %d\r\n\r\n' "$2" $BODY
        head -c $BODY /dev/zero
    } | raw "$(ip_of "$1"):7401" 12 2>/dev/null | status_of
}
pids=""
for i in $(seq $BODIES); do
    upload "front-$((1 + i % 6))" "u$i" >"$DIR/up-$i" &
    pids="$pids $!"
done
for i in $(seq 8); do
    code front-1 "s$i" POST /small/x >"$DIR/small-$i"
    sleep 0.1
done
# shellcheck disable=SC2086
wait $pids
echo "bodies without an answer: $((BODIES - $(cat "$DIR"/up-* | grep -c '^[25]')))"
echo "other requests without an answer: $((8 - $(cat "$DIR"/small-* | grep -c '^[25]')))"
peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(cat "$DIR/relay-$1.pid")/status"; }
for n in $FRONTS back-1; do
    [ "$(peak_kb $n)" -lt $((MEMORY_MB * 1024)) ] &&
        echo "$n: memory within its bound" || echo "$n: $(peak_kb $n) kB"
done
