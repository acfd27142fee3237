# faults.sh: a seeded soak of the real programs under faults from outside.
# OUT, TMP set; SEED and SECONDS_LONG from the environment. Callers ask while
# processes are killed, paused, stopped and restarted and the store fails, in
# series and overlapping. Then the promises are checked from what callers and
# instances saw, and that all is served again. Prints a line a broken promise.
. test/fleet.sh
stop_all() { # what subshells have started, too
    local p
    while read -r p; do
        case $(cat "/proc/$p/comm" 2>/dev/null) in
        sp*) kill -9 "$p" 2>/dev/null ;; # no other has taken its number
        esac
    done <"$DIR/pids"
    wait 2>/dev/null
}
RANDOM=$SEED
LONG=${SECONDS_LONG:-8}
FRONTS="front-1 front-2"
BACKS="back-1 back-2 back-3"
VERSION=1
BORN=1000

next_version() {
    VERSION=$((VERSION + 1))
    publish "$(printf %08x $VERSION)" "$(route safe /safe/ safe 2 1 back)" \
        "$(route once /once/ unsafe 2 0 back)" >/dev/null
}

pick() { # WORD...: one of them
    shift $((RANDOM % $#))
    echo "$1"
}

pid_of() { cat "$DIR/$1.pid"; }
short() { sleep "$((RANDOM % 2)).$((RANDOM % 10))"; }

caller() { # N: asks until the end, notes what it was told
    local i id what method path answer
    RANDOM=$((SEED * 100 + $1))
    for ((i = 0; ; i++)); do
        [ -e "$DIR/over" ] && return
        id=c$1-$i
        what=$(pick safe once)
        method=GET
        [ $what = once ] && method=POST
        path=/$what/$id$(pick "" "" "" /slow-60 /refuse /reset /late /extra)
        answer=$(send "$(pick $FRONTS)" "$id" $method "$path" 2>/dev/null |
            tr -d '\r')
        echo "$id $what $method $path $(status_of <<<"$answer") $(tail -1 <<<"$answer")" \
            >>"$DIR/told.$1"
    done
}

renew_instance() { # NAME: another lifetime at the same address
    BORN=$((BORN + 1))
    instance "$1" back "i-$1-$BORN" $BORN
}

trouble() { # one fault, with its end
    local n
    case $((RANDOM % 9)) in
    0 | 1) # a relay is killed
        n=$(pick $FRONTS $BACKS)
        kill -9 "$(pid_of "relay-$n")" 2>/dev/null
        short
        relay "$n"
        ;;
    2) # a planned stop
        n=$(pick $FRONTS $BACKS)
        kill "$(pid_of "relay-$n")" 2>/dev/null
        sleep 5 # its bound is 4 s
        relay "$n"
        ;;
    3 | 4) # a process stands still
        n=$(pick relay-front-1 relay-back-1 relay-back-2 inst-back-3)
        kill -STOP "$(pid_of "$n")" 2>/dev/null
        short
        kill -CONT "$(pid_of "$n")" 2>/dev/null
        ;;
    5) # an instance dies
        n=$(pick $BACKS)
        kill -9 "$(pid_of "inst-$n")" 2>/dev/null
        short
        renew_instance "$n"
        ;;
    6) # an instance leaves and another comes
        n=$(pick $BACKS)
        kill "$(pid_of "inst-$n")" 2>/dev/null
        sleep 1.5
        renew_instance "$n"
        ;;
    7)
        store_mode "$(pick down silent lost)"
        short
        store_mode ok
        ;;
    8)
        next_version
        kill -HUP "$(pid_of "relay-$(pick $FRONTS $BACKS)")" 2>/dev/null
        ;;
    esac
}

troubles() { # N: one after the other, beside those of others
    RANDOM=$((SEED * 1000 + $1))
    until [ -e "$DIR/over" ]; do trouble; done
}

check() { # what callers were told against what instances ran
    cat "$DIR"/inst-*.out | sed -n 's/^run id=\([^ ]*\) .*/\1/p' | sort |
        uniq -c | awk '{print $2, $1}' >"$DIR/runs"
    cat "$DIR"/told.* | awk -v runs="$DIR/runs" '
        BEGIN {while ((getline l <runs) > 0) {split(l, a); n[a[1]] = a[2]}}
        $2 == "once" && n[$1] > 1 {print "ran " n[$1] " times: " $0}
        ($5 == 503 || $5 == 429) && n[$1] > 0 {print "had run: " $0}
        $5 == 200 && !n[$1] {print "never ran: " $0}
        $5 == 200 && ($7 != $3 || $8 != $4) {print "not its answer: " $0}'
}

for n in $FRONTS; do node "$n" front; done
for n in $BACKS; do node "$n" back; done
next_version
for n in $FRONTS; do until_ok 10 served "$n" warm GET /safe/warm; done
callers=""
for i in 1 2 3 4; do
    caller $i &
    callers+=" $!"
done
makers=""
for i in 1 2; do
    troubles $i &
    makers+=" $!"
done
sleep "$LONG"
touch "$DIR/over"
wait $callers $makers
store_mode ok
check
for n in $FRONTS; do
    until_ok 15 served "$n" "end-$n" GET /safe/end || echo "$n does not serve"
done
echo "told: $(cat "$DIR"/told.* | awk '{print $5}' | sort | uniq -c |
    awk '{printf "%s%s of %s", s, $1, $2 ? $2 : "none"; s = ", "}')" >&2
