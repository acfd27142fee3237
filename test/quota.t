# Quotas of workspaces over several relays in two zones: what all of them admit
# together, Retry-After, a relay that is alone, and a lowered quota.
. test/fleet.sh

SAFE=$(route safe /safe/ safe 2 1 back)
OPEN=$(public_route open /open/ safe 2 1 back)
KEY='Authorization: Bearer'
for i in 1 2 3; do node "a-$i" back; done
ZONE=z2
for i in 1 2; do node "b-$i" back; done
NODES="a-1 a-2 a-3 b-1 b-2"
# w1: 5 a second and 10 at once; w2: no limit
WORKSPACES="$(workspace w1 '["k1"]' null 5 10),$(workspace w2 '["k2"]' null 0 0)"
publish 00000001 "$SAFE" "$OPEN" >/dev/null
for n in $NODES; do until_ok 10 served "$n" "warm-$n" GET /open/x; done

members() { # NODE COUNT
    [ "$(metric "$1" sp_quota_members)" = "$2" ]
}
until_ok 10 members a-1 3 && until_ok 10 members b-1 2 &&
    echo "each zone reports to its first node"
all_linked() { [ "$(metric a-1 sp_members)" = 5 ]; }
until_ok 10 all_linked
sleep 6 # the bucket fills up

answers() { # ID KEY COUNT NODE GAP: requests one after the other
    local i
    for ((i = 0; i < $3; i++)); do
        printf 'GET /safe/x HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s-%d\r\nAuthorization: Bearer %s\r\n\r\n' "$1" "$i" "$2"
        sleep "$5"
    done
    sleep 0.5
}
flood() { # ID KEY COUNT GAP NODES...: at once, at several nodes
    local id=$1 key=$2 count=$3 gap=$4 n
    local waits=""
    shift 4
    for n in "$@"; do
        answers "$id-$n" "$key" "$count" "$n" "$gap" |
            raw "$(ip_of "$n"):7401" 20 | tr -d '\r' >"$DIR/$id-$n.got" &
        waits="$waits $!"
    done
    # shellcheck disable=SC2086
    wait $waits
}
answered() { # STATUS ID: at all nodes
    cat "$DIR/$2"-*.got | grep -c "^HTTP/1.1 $1 "
}
within() { # LABEL VALUE LOW HIGH
    [ "$2" -ge "$3" ] && [ "$2" -le "$4" ] && echo "$1: yes" && return
    echo "$1: no, $2"
}

echo "a workspace over its quota, at all nodes:"
# 5 nodes, 50 requests each, one in 0.1 s: 50 a second
started=$(date +%s%3N)
flood f1 k1 50 0.1 $NODES
took=$((($(date +%s%3N) - started + 999) / 1000))
total=$(cat "$DIR"/inst-*.out | grep -c "^run id=f1-")
# the page allows a tenth and 20 more in each 5 s
within "no more runs than are allowed" "$total" 1 $(((5 * took + 10) * 11 / 10 + 20))
within "most of the quota is used" "$total" $((5 * took / 2)) 1000
within "the others are refused" "$(answered 429 f1)" $((250 - total)) $((250 - total))
within "each refusal has Retry-After" "$(cat "$DIR"/f1-*.got | grep -c '^Retry-After: [0-9]')" "$(answered 429 f1)" "$(answered 429 f1)"
echo "none of the refused ran: $(answered 200 f1) answers for $total runs" | sed "s/: $total answers for $total runs/: yes/"
echo "different waits: $(cat "$DIR"/f1-*.got | grep '^Retry-After' | sort -u | wc -l | awk '{print ($1 > 20 ? "yes" : "no, " $1)}')"
sum() { # OUTCOME: of w1 at all nodes
    local n
    for n in $NODES; do
        printf 'GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' |
            raw "$(ip_of "$n"):7407" | tr -d '\r'
    done | awk -v m="sp_workspace_requests_total{workspace=\"w1\",outcome=\"$1\"}" \
        '$1 == m {s += $2} END {print s + 0}'
}
echo "metrics agree: admitted $(($(sum admitted) - total)) off, refused $(($(sum refused) - $(answered 429 f1))) off"
within "the log says which workspace" "$(cat "$DIR"/relay-*.out | grep -c 'event=call-refused .*kind=over-quota status=429 .*workspace=w1')" 1 250
within "the coordinators log the limit" "$(cat "$DIR"/relay-[ab]-1.out | grep -c 'event=quota-limit workspace=w1 fraction=0')" 1 100

echo "others are not touched:"
flood f2 k2 60 0.02 a-2 b-2
echo "no limit: $(answered 200 f2) of 120"
echo "public: $(code a-3 g1 GET /open/x)"

echo "the coordinator of a zone is killed:"
kill -9 "$(cat "$DIR/relay-a-1.pid")"
until_ok 10 members a-2 2 && echo "the next one takes over"
sleep 5
before=$(cat "$DIR"/inst-*.out | grep -c "^run id=")
started=$(date +%s%3N)
flood f3 k1 30 0.1 a-2 a-3 b-1 b-2
took=$((($(date +%s%3N) - started + 999) / 1000))
total=$(($(cat "$DIR"/inst-*.out | grep -c "^run id=") - before))
within "no more runs than are allowed" "$total" 1 $(((5 * took + 10) * 11 / 10 + 20))

echo "the quota is lowered, then dropped:"
WORKSPACES="$(workspace w1 '["k1"]' null 1 1),$(workspace w2 '["k2"]' null 0 0)"
publish 00000002 "$SAFE" "$OPEN" >/dev/null
has_version() {
    local n
    for n in a-2 a-3 b-1 b-2; do
        [ "$(metric "$n" sp_config_version)" = "$1" ] || return 1
    done
}
until_ok 10 has_version 2
sleep 1
started=$(date +%s%3N)
flood f4 k1 30 0.1 a-2 a-3 b-1 b-2
took=$((($(date +%s%3N) - started + 999) / 1000))
total=$(cat "$DIR"/inst-*.out | grep -c "^run id=f4-")
within "lowered" "$total" 0 $(((took + 1) * 11 / 10 + 20))
WORKSPACES="$(workspace w1 '["k1"]' null 0 0)"
publish 00000003 "$SAFE" "$OPEN" >/dev/null
until_ok 10 has_version 3
flood f5 k1 30 0.02 a-2 b-2
echo "dropped: $(answered 200 f5) of 60"
