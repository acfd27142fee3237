# The three walks of docs/OPERATIONS.md: from the id of a failed request to
# its cause, by the logs of the processes alone.
. test/fleet.sh
SAFE=$(route safe /safe/ safe 2 1 back)
ONCE=$(route once /once/ unsafe 2 0 back)
SHORT=$(route short /short/ safe 0.5 0 back)
node front-1 front
node back-1 back
publish 00000001 "$SAFE" "$ONCE" "$SHORT" >/dev/null
until_ok 10 served front-1 warm GET /safe/warm

trace() { # ID: the lines of all processes, without what varies
    cat "$DIR"/relay-*.out | grep -F "id=$1 " | sort |
        sed -E 's/^at=[^ ]* level=[^ ]* prog=[^ ]* //; s/(ms|left_ms|wait_ms|queued|running|silent_ms)=-?[0-9]+/\1=N/g; s/share=[0-9.]+/share=S/'
}

echo "1. refused under load"
for i in $(seq 60); do code front-1 "load-$i" GET /safe/slow-300 >"$DIR/load-$i" & jobs+=" $!"; done
wait $jobs
id=$(cat "$DIR"/relay-front-1.out | sed -n 's/.*event=call-refused id=\(load-[0-9]*\) .*kind=late.*tried=1.*/\1/p' | head -1)
echo "the caller got: $(cat "$DIR/$id")"
trace "$id" | sed "s/$id/ID/"

echo "2. timed out, its instance hangs"
echo "the caller got: $(code front-1 hung GET /short/hang)"
sleep 0.3
trace hung

echo "3. lost in a kill, outcome unknown"
(code front-1 lost POST /once/slow-1000 >"$DIR/lost") &
caller=$!
sleep 0.4
kill -9 "$(cat "$DIR/relay-back-1.pid")"
wait "$caller"
echo "the caller got: $(cat "$DIR/lost")"
sleep 0.2
trace lost
cat "$DIR"/relay-front-1.out | grep -c 'event=link-lost peer=back-1'
