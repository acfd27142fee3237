# Guards against a configuration that is late because the connections to the
# store have gone silent: it is in force 3 s after that, at whatever moment of a
# read they did.
. test/fleet.sh

node front-1 front
node back-1 back
publish 00000001 "$(route r0 /r0/ safe 2 1 back)" >/dev/null
until_ok 10 served front-1 w1 GET /r0/x
until_ok 10 served back-1 w2 GET /r0/x
sleep 2
for i in 1 2 3; do
    store_mode mute
    sleep 0.5
    publish "0000000$((i + 1))" "$(route "r$i" "/r$i/" safe 2 1 back)"
    sleep 2.5
    echo "front-1: $(code front-1 "a$i" GET "/r$i/x"), back-1: $(code back-1 "b$i" GET "/r$i/x")"
    sleep 0.7
done
