# Guards against links that a relay closes because it stood still itself: the
# requests on them were given up although their instances were at work.
. test/fleet.sh

node front-1 front
node back-1 back
publish 00000001 "$(route long /long/ unsafe 12 0 back)" >/dev/null
until_ok 10 served front-1 w1 GET /long/x
relays() { for n in front-1 back-1; do kill -"$1" "$(cat "$DIR/relay-$n.pid")"; done; }

before=$(metric front-1 sp_links_lost_total)
(printf 'POST /long/slow-4000 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p1\r\nSiskinpond-Deadline-Ms: 9000\r\nconnection: close\r\n\r\n' |
    raw "$(ip_of front-1):7401" 9 | status_of >"$DIR/answer") &
request=$!
sleep 0.5
relays STOP
sleep 2.5
relays CONT
wait "$request"
echo "the request: $(cat "$DIR/answer"), runs $(runs p1)"
echo "links lost: $(($(metric front-1 sp_links_lost_total) - before))"
grep -c 'event=stood-still' "$DIR/relay-front-1.out"
