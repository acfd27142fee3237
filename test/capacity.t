# Relays that learn the capacity of their instances: a request that is never
# answered, while later ones are.
. test/fleet.sh
CAPACITY=learned
SAFE=$(route safe /safe/ safe 2 1 back)
ONCE=$(route once /once/ unsafe 2 0 rare)

flood() { # ID METHOD PATH: 200 requests, at most 6 at once
    local i
    for i in $(seq 200); do
        printf '%s %s HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s.%s\r\n' "$2" "$3" "$1" "$i"
        [ "$i" = 200 ] && printf 'connection: close\r\n'
        printf '\r\n'
        [ $((i % 6)) = 0 ] && sleep 0.01
    done | raw "$(ip_of front-1):7401" | grep -c '^HTTP/1.1 200'
}

overdue() { # ID: how its overdue runs went on
    cat "$DIR"/relay-*.out | sed -n "s/.*event=run-overdue id=$1 .* \(again=.\) .*/\1/p"
}

hang() { # ID METHOD PATH ROUTE: while others on its route are answered
    local got
    code front-1 "$1" "$2" "$3/hang" >"$DIR/$1.code" &
    got=$!
    until_ok 1 has_overdue "$1" "$2" "$3/x"
    echo "at once: $(overdue "$1"), room taken: $(taken)"
    wait $got
    echo "at the end: $(cat "$DIR/$1.code"), runs $(runs "$1")"
}

has_overdue() { # ID METHOD PATH: after more requests
    flood "$1.later" "$2" "$3" >/dev/null
    [ -n "$(overdue "$1")" ]
}

taken() { # requests that the relays count as running
    local n sum=0
    for n in back-1 back-2 rare-1; do
        sum=$((sum + $(metric $n sp_instance_running)))
    done
    echo $sum
}

node front-1 front
until_ok 5 is_up front-1
publish 00000001 "$SAFE" "$ONCE" >/dev/null
node back-1 back
node back-2 back
node rare-1 rare
until_ok 10 served front-1 warm GET /safe/warm
until_ok 10 served front-1 warm2 POST /once/warm
linked() { [ "$(metric front-1 sp_nodes_linked)" -ge 3 ]; }
until_ok 10 linked # to all instances
reported() { [ "$(metric "$1" sp_instance_capacity)" -ge 2 ]; }
until_ok 5 reported back-1 # their slots, not only by status checks
until_ok 5 reported back-2
until_ok 5 reported rare-1
echo "learned: $(metric back-1 sp_instance_capacity)"
echo "answered: $(flood warm GET /safe/x) $(flood warm3 POST /once/x)"
echo "idempotent: given up, and sent to the other instance, which hangs too:"
hang h1 GET /safe
echo "not idempotent: takes no room, and waits:"
hang h2 POST /once
echo "learned: $(metric back-1 sp_instance_capacity) $(metric rare-1 sp_instance_capacity)"
