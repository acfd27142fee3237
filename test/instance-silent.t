# Guards against requests that are lost on connections to the instance that have
# gone silent: 3 s after that, requests are answered, whether others were sent
# meanwhile or not.
. test/fleet.sh

node front-1 front
node back-1 back
publish 00000001 "$(route safe /safe/ safe 2 1 back)" \
    "$(route short /short/ safe 0.3 0.2 back)" >/dev/null
until_ok 10 served front-1 warm GET /safe/warm
mute() { # NAME: opens connections, then silences them
    local i pids=""
    for i in 1 2 3 4; do
        code front-1 "$1-$i" GET /safe/slow-300 >/dev/null &
        pids="$pids $!"
    done
    # shellcheck disable=SC2086
    wait $pids
    kill -USR1 "$(cat "$DIR/inst-back-1.pid")"
}
answers() { # NAME: sends four requests and counts the answers by status
    local i
    for i in 1 2 3 4; do code front-1 "$1-$i" GET /safe/x; done |
        sort | uniq -c | tr -s ' '
}

echo "without requests"
mute quiet
sleep 3 # contact_s
answers quiet-after

echo "with requests"
mute busy
end=$(($(date +%s%N) / 1000000 + 3000))
i=0
while [ $(($(date +%s%N) / 1000000)) -lt $end ]; do
    code front-1 "lost-$((i += 1))" GET /short/x >/dev/null
    sleep 0.2
done
answers busy-after
