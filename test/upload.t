# Guards against a relay that holds more memory than it may: bodies of callers
# and of other relays that arrive together.
MEMORY_MB=260
BODY_BYTES=67108864
. test/fleet.sh

FRONTS=$(seq -f front-%g 12)
for n in $FRONTS; do node "$n" front; done
node back-1 back
publish 00000001 "$(route up /up/ safe 12 1 back)" \
    "$(route small /small/ unsafe 12 0 back)" >/dev/null
for n in $FRONTS; do until_ok 10 served "$n" "w$n" GET /up/x; done

upload() { # NODE ID BYTES
    {
        printf 'POST /up/slow-200 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 10000\r\nconnection: close\r\ncontent-length: %d\r\n\r\n' "$2" "$3"
        head -c "$3" /dev/zero
    } | raw "$(ip_of "$1"):7401" 12 2>/dev/null | status_of
}

peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(cat "$DIR/relay-$1.pid")/status"; }

upload_all() { # NAME FRONTS BYTES: twelve bodies beside small requests
    local i pids=""
    echo "$1"
    for i in $(seq 12); do
        upload "front-$((1 + i % $2))" "$1-$i" "$3" >"$DIR/up-$1-$i" &
        pids="$pids $!"
    done
    for i in $(seq 8); do
        code front-1 "small-$1-$i" POST /small/x >"$DIR/small-$1-$i"
        sleep 0.1
    done
    # shellcheck disable=SC2086
    wait $pids
    echo "bodies without an answer: $((12 - $(cat "$DIR"/up-"$1"-* | grep -c '^[25]')))"
    echo "other requests without an answer: $((8 - $(cat "$DIR"/small-"$1"-* | grep -c '^[25]')))"
    for n in $FRONTS back-1; do
        [ "$(peak_kb $n)" -lt $((MEMORY_MB * 1024)) ] &&
            echo "$n: memory within its bound" || echo "$n: $(peak_kb $n) kB"
    done
    echo "$1: back-1 $(peak_kb back-1) kB, $(cat "$DIR"/up-"$1"-* | sort | uniq -c | tr -s ' \n' ' ')" >&2
}
upload_all large 6 16000000
# as many as links: each may be half received
upload_all larger 12 30000000
