# The three examples of docs/OPERATIONS.md: from the id of a failed request to
# its cause, using only the logs of the processes.
. test/fleet.sh
SAFE=$(route safe /safe/ safe 2 1 back)
ONCE=$(route once /once/ unsafe 2 0 back)
SHORT=$(route short /short/ safe 0.5 0 back)
node front-1 front
node back-1 back
publish 00000001 "$SAFE" "$ONCE" "$SHORT" >/dev/null
until_ok 10 served front-1 warm GET /safe/warm

trace() { # ID: the log lines of all processes, varying values masked
    cat "$DIR"/relay-*.out | grep -F "id=$1 " | sort |
        sed -E 's/^at=[^ ]* level=[^ ]* prog=[^ ]* //; s/(ms|left_ms|wait_ms|queued|running|silent_ms)=-?[0-9]+/\1=N/g; s/share=[0-9.]+/share=S/'
}

# Processes write their buffered lines every few milliseconds, each at its own time.
logged() { # NODE EVENT ID: waits until the node has written this line
    until_ok 5 grep -q "event=$2 id=$3 " "$DIR/relay-$1.out"
}

explain() { # ID: the output of spctl explain, varying values masked
    "$OUT/spctl" explain "$1" "$DIR"/relay-*.out |
        sed -nE "s/^$1:/ID:/; s/[0-9]+ (ms|ran|waited)/N \\1/g; s/tried: [0-9]+/tried: N/; s/share of [0-9.]+/share of S/; s/^ +[+-][0-9.]+ s/-/; /name=|came to believe/!p"
}

echo "1. refused under load"
send_many() { # NAME N: sends N slow requests at once and waits for them
    local i jobs=""
    for i in $(seq "$2"); do
        code front-1 "$1-$i" GET /safe/slow-300 >"$DIR/$1-$i" &
        jobs+=" $!"
    done
    wait $jobs
}
# two rounds, so that the node has measured how long a run takes
send_many warmup 7
send_many warmup 7
find_shed_id() { # id of a request that an instance refused for lack of room
    sed -n 's/.*event=call-refused id=\(load-[0-9-]*\) .*kind=shed.*tried=1.*/\1/p' \
        "$DIR/relay-front-1.out" | head -1
}
# 70 at once: the refusals stay below the log's limit of lines per second
for round in 1 2 3 4 5; do
    send_many "load-$round" 70
    id=$(find_shed_id)
    [ -n "$id" ] && break
    sleep 1
done
echo "the caller got: $(cat "$DIR/$id")"
logged back-1 run-refused "$id"
trace "$id" | sed "s/$id/ID/"
explain "$id"

echo "2. timed out because the instance hangs"
echo "the caller got: $(code front-1 hung GET /short/hang)"
logged back-1 run-dropped hung
logged front-1 call-refused hung
trace hung
explain hung

echo "3. lost when a relay was killed, outcome unknown"
(code front-1 lost POST /once/slow-1000 >"$DIR/lost") &
caller=$!
until_ok 5 grep -q '^run id=lost ' "$DIR/inst-back-1.out"
kill -9 "$(cat "$DIR/relay-back-1.pid")"
wait "$caller"
echo "the caller got: $(cat "$DIR/lost")"
logged front-1 call-refused lost
trace lost
explain lost
"$OUT/spctl" explain lost "$DIR"/relay-*.out |
    grep -q 'event=link-lost peer=back-1' && echo "the lost link is shown"
cat "$DIR"/relay-front-1.out | grep -c 'event=link-lost peer=back-1'
echo "4. spctl trace, bad input"
"$OUT/spctl" trace lost "$DIR"/relay-*.out | wc -l
"$OUT/spctl" explain never "$DIR"/relay-*.out | sed -E 's/[0-9]+ lines/N lines/'
"$OUT/spctl" explain lost "$DIR/none" 2>&1 | sed "s|$DIR|DIR|"
"$OUT/spctl" explain lost 2>&1
echo "status $?"

echo "4. timed out while it was queued"
cat >"$DIR/queued.log" <<'END'
at=100.500000 level=info prog=sprelay name=front-1 event=call-refused id=q1 route=short service=back kind=timeout status=504 ms=500 left_ms=0 tried=1 reached=0 rank=0 share=1.00 config=1
at=100.501000 level=info prog=sprelay name=back-1 event=run-unqueued id=q1 route=short rank=0 ms=480 running=7 queued=1
END
"$OUT/spctl" explain q1 "$DIR/queued.log"

echo "5. refused by an instance that ran it"
relay back-1
until_ok 10 served front-1 back-again GET /safe/back-again
echo "the caller got: $(code front-1 unstated POST /once/unstated-503)"
logged back-1 refusal-unstated unstated
logged front-1 call-refused unstated
trace unstated | sed -E 's/conn=[0-9]+/conn=N/'
explain unstated
