# faults.sh: a random test of the real programs under injected faults. OUT and
# TMP are set; SEED and SECONDS_LONG come from the environment. Callers send
# requests while processes are killed, paused, stopped and restarted and the
# store fails, one fault after the other and several at a time. Then the answers
# of the callers are checked against the runs that the instances logged, and
# every front node must serve again. Prints a line for each violation.
. test/fleet.sh
stop_all() { # also what subshells have started
    local p
    while read -r p; do
        case $(cat "/proc/$p/comm" 2>/dev/null) in
        sp*) kill -9 "$p" 2>/dev/null ;; # the number was not reused by another program
        esac
    done <"$DIR/pids"
    wait 2>/dev/null
}
RANDOM=$SEED
DURATION=${SECONDS_LONG:-8}
FRONTS="front-1 front-2"
BACKS="back-1 back-2 back-3"
VERSION=1
START_MS=1000

next_version() {
    VERSION=$((VERSION + 1))
    publish "$(printf %08x $VERSION)" "$(route safe /safe/ safe 2 1 back)" \
        "$(route once /once/ unsafe 2 0 back)" >/dev/null
}

pick() { # WORD...: a random one of them
    shift $((RANDOM % $#))
    echo "$1"
}

pid_of() { cat "$DIR/$1.pid"; }
sleep_briefly() { sleep "$((RANDOM % 2)).$((RANDOM % 10))"; }

caller() { # N: sends requests until the end, records the answers
    local i id what method path answer
    RANDOM=$((SEED * 100 + $1))
    for ((i = 0; ; i++)); do
        [ -e "$DIR/stop" ] && return
        id=c$1-$i
        what=$(pick safe once)
        method=GET
        [ $what = once ] && method=POST
        path=/$what/$id$(pick "" "" "" /slow-60 /refuse /reset /late /extra)
        answer=$(send "$(pick $FRONTS)" "$id" $method "$path" 2>/dev/null |
            tr -d '\r')
        echo "$id $what $method $path $(status_of <<<"$answer") $(tail -1 <<<"$answer")" \
            >>"$DIR/answers.$1"
    done
}

restart_instance() { # NAME: with a new id and start time, at the same address
    START_MS=$((START_MS + 1))
    instance "$1" back "i-$1-$START_MS" $START_MS
}

inject_fault() { # one random fault and its repair
    local n
    case $((RANDOM % 9)) in
    0 | 1) # a relay is killed
        n=$(pick $FRONTS $BACKS)
        kill -9 "$(pid_of "relay-$n")" 2>/dev/null
        sleep_briefly
        relay "$n"
        ;;
    2) # a planned stop of a relay
        n=$(pick $FRONTS $BACKS)
        kill "$(pid_of "relay-$n")" 2>/dev/null
        sleep 5 # stop_s is 4
        relay "$n"
        ;;
    3 | 4) # a process is paused
        n=$(pick relay-front-1 relay-back-1 relay-back-2 inst-back-3)
        kill -STOP "$(pid_of "$n")" 2>/dev/null
        sleep_briefly
        kill -CONT "$(pid_of "$n")" 2>/dev/null
        ;;
    5) # an instance is killed
        n=$(pick $BACKS)
        kill -9 "$(pid_of "inst-$n")" 2>/dev/null
        sleep_briefly
        restart_instance "$n"
        ;;
    6) # an instance leaves and is replaced
        n=$(pick $BACKS)
        kill "$(pid_of "inst-$n")" 2>/dev/null
        sleep 1.5
        restart_instance "$n"
        ;;
    7)
        store_mode "$(pick down silent lost)"
        sleep_briefly
        store_mode ok
        ;;
    8)
        next_version
        kill -HUP "$(pid_of "relay-$(pick $FRONTS $BACKS)")" 2>/dev/null
        ;;
    esac
}

inject_faults() { # N: one fault after the other; several of these run at once
    RANDOM=$((SEED * 1000 + $1))
    until [ -e "$DIR/stop" ]; do inject_fault; done
}

check() { # compares the callers' answers with the instances' runs
    cat "$DIR"/inst-*.out | sed -n 's/^run id=\([^ ]*\) .*/\1/p' | sort |
        uniq -c | awk '{print $2, $1}' >"$DIR/runs"
    cat "$DIR"/answers.* | awk -v runs="$DIR/runs" '
        BEGIN {while ((getline l <runs) > 0) {split(l, a); n[a[1]] = a[2]}}
        $2 == "once" && n[$1] > 1 {print "unsafe request ran " n[$1] " times: " $0}
        ($5 == 503 || $5 == 429) && n[$1] > 0 {print "refused but ran: " $0}
        $5 == 200 && !n[$1] {print "answered 200 but never ran: " $0}
        $5 == 200 && ($7 != $3 || $8 != $4) {print "answer of another request: " $0}'
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
injectors=""
for i in 1 2; do
    inject_faults $i &
    injectors+=" $!"
done
sleep "$DURATION"
touch "$DIR/stop"
wait $callers $injectors
store_mode ok
check
for n in $FRONTS; do
    until_ok 15 served "$n" "end-$n" GET /safe/end || echo "$n does not serve after the faults"
done
echo "answers: $(cat "$DIR"/answers.* | awk '{print $5}' | sort | uniq -c |
    awk '{printf "%s%s of %s", s, $1, $2 ? $2 : "none"; s = ", "}')" >&2
