#!/bin/bash
# The connections to the store go silent, and the configuration changes a few
# times before the relays notice it. Once they have, they read what they missed
# in one call, which brings at most 1 MB, and take up where the log ends.
CASE=$(cd "$(dirname "$0")" && pwd)
LOG_STORE=1
. "${REVIEW:-$CASE/..}/lib.sh"

ROUTES=1400  # big_config, 350 routes each time, four times
CHANGES=12   # one each 0.33 s for 4 s
PAUSE_S=0.31 # and the time that a change itself takes here
SETTLE_S=20  # config_apply_s is 2, contact_s 3
ASKED=20     # requests on each route and machine, afterwards

for z in z1 z2; do
    machine "front-$z" front "$z"
    machine "orders-$z" orders "$z"
done
machines="front-z1 orders-z1 front-z2 orders-z2"

# A configuration in the columns of PROTOCOL.md: the idle routes and ROWS.
config() { # VERSION ROWS
    awk -v version="$1" -v rows="$2" -v n="$ROUTES" 'BEGIN {
        printf "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[%s", version, rows
        for (i = 0; i < n; i++)
            printf ",[\"r-idle%04d\",\"h.example\",\"/idle%04d/\",\"safe\",6,1.5,2,null,2,\"orders\"]", i, i
        printf "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"front\",\"/health\",500,\"h1\",false],[\"orders\",\"/health\",520,\"h1\",false]]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
    }'
}
row() { printf '["r-%s","h.example","/%s/","safe",6,1.5,2,null,2,"orders"]' "$1" "$1"; }
both() { ask "$1" "ready-$1-$RANDOM" GET /old/ready; }
ready() { [ "$(both "$1")" = 200 ]; }

for i in $(seq 0 $CHANGES); do
    if [ "$i" -lt $CHANGES ]; then rows="$(row old),$(row "step$i")"; else rows=$(row new); fi
    config "$(printf %08x $((7 + 3 * i)))" "$rows" >"$DIR/config.$i"
done
note "one configuration has $(stat -c %s "$DIR/config.0") bytes"
[ "$(append keyed.op config "$(cat "$DIR/config.0")")" = 200 ] || give_up "the first configuration"
for m in $machines; do
    target "$m" -n 16 -q 16
    relay "$m"
done
for m in $machines; do
    until_ok 20 ready "$m" || give_up "$m doesn't serve"
done
sleep 4 # the traffic starts 8 s after the machines

[ "$TROUBLE" = 0 ] || touch "$DIR/silence"
sleep 0.2
for i in $(seq 1 $CHANGES); do
    status=$(append keyed.op config "$(cat "$DIR/config.$i")")
    note "version $(printf %08x $((7 + 3 * i))) acknowledged: $status"
    [ "$status" = 200 ] || give_up "change $i"
    sleep $PAUSE_S
done
note "the last version drops /old/ and adds /new/"
sleep $SETTLE_S

stale=0
for m in $machines; do
    alive "relay-$m" || give_up "the relay of $m has ended"
    for i in $(seq 1 $ASKED); do
        for r in old new; do
            status=$(ask "$m" "$r-$m-$i" GET "/$r/$i")
            note "asked $m for /$r/: $status"
            case $r$status in
            old404 | new200) ;;
            old200 | new404) stale=$((stale + 1)) ;;
            *) note "neither: $r-$m-$i $status" ;;
            esac
        done
    done
    note "$m: $(grep -ho 'msg=config .*\|config version.*' "$DIR/relay-$m.out" | tail -1)"
done
note "$(grep -c ' run old-' "$LOG") requests have run on the dropped route"
verdict "$stale" "requests handled as only an older version allows, $SETTLE_S s after the ack"
