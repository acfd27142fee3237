# Guards against requests that are lost on connections to the instance that have
# gone silent: 3 s after that, requests are answered.
. test/fleet.sh

node front-1 front
node back-1 back
publish 00000001 "$(route safe /safe/ safe 2 1 back)" >/dev/null
until_ok 10 served front-1 warm GET /safe/warm
pids=""
for i in 1 2 3 4; do # open connections
    code front-1 "o$i" GET /safe/slow-300 >/dev/null &
    pids="$pids $!"
done
# shellcheck disable=SC2086
wait $pids
kill -USR1 "$(cat "$DIR/inst-back-1.pid")"
sleep 3 # contact_s
for i in 1 2 3 4; do code front-1 "a$i" GET /safe/x; done | sort | uniq -c | tr -s ' '
