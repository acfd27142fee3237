# 25 relays that start together in two zones: each knows all others, keeps
# links to a few of them, opens more to a service that it uses and learns of
# changes without the store.
FIRST_START=true
REPORT_S=60
. test/fleet.sh
BACKS=24

for ((i = 1; i <= BACKS; i++)); do
    ZONE=z$((i % 2 + 1))
    lay_out "back-$i" back
done
ZONE=z1
publish 00000001 "$(route safe /safe/ safe 2 1 back)" >/dev/null
node front-1 front
for ((i = 1; i <= BACKS; i++)); do relay "back-$i"; done

nodes() { echo front-1; seq -f back-%g "$1"; }
all_know() { # NODES COUNT: each of the first NODES backs, and the front
    local n
    for n in $(nodes "$1"); do
        [ "$(metric "$n" sp_members)" = "$2" ] || return 1
    done
}
within() { # LABEL VALUE LOW HIGH
    [ "$2" -ge "$3" ] && [ "$2" -le "$4" ] && echo "$1: yes" && return
    echo "$1: no, $2"
}
links() { metric front-1 sp_nodes_linked; }

until_ok 10 all_know $BACKS $((BACKS + 1)) && echo "all know each other"
echo "calls to the store to list the nodes:"
lists=0
for n in $(nodes $BACKS); do
    lists=$((lists + $(printf 'GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' |
        raw "$(ip_of "$n"):7407" | tr -d '\r' |
        sed -n 's/^sp_store_calls_total{reason="list"} //p')))
done
within "fewer than one a node" "$lists" 1 $((BACKS - 1))

sleep 3
within "few links to a service that is not used" "$(links)" 3 8
code front-1 a1 GET /safe/x >/dev/null
sleep 1
within "more once it is" "$(links)" 10 20

# at rest: a keep-alive of about 12 bytes a second on each link
before=$(metric front-1 sp_link_bytes_total)
sleep 3
within "bytes in 3 s at rest" $(($(metric front-1 sp_link_bytes_total) - before)) 100 3000

echo "the store is down and a node restarts:"
store_mode down
kill -9 "$(cat "$DIR/relay-back-3.pid")"
sleep 0.3
relay back-3
until_ok 10 all_know $BACKS $((BACKS + 1)) && echo "the restarted one knows all"
store_mode ok
lay_out back-25 back
BACKS=25
sed -i 's/"first_start": true/"first_start": false/' "$DIR/back-25.json"
relay back-25
until_ok 5 all_know $BACKS $((BACKS + 1)) && echo "all know the new one"

echo "relays that are gone are replaced in the subset:"
for i in 1 3 5 7 9 11; do kill -9 "$(cat "$DIR/relay-back-$i.pid")"; done
enough() { within x "$(links)" 10 20 | grep -q yes; }
until_ok 5 enough && echo replaced
