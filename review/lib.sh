# lib.sh: a small deployment on loopback, for the scripts of the review: the
# project's relays by the command of the deploy file, the platform's store, and
# targets and clients. A script sets CASE (its folder) and sources this file.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
TROUBLE=${TROUBLE:-1}
BIN=out/review
DIR=$(mktemp -d) || exit 2
NET=127.$((20 + $$ % 200)).$((1 + $$ / 200 % 250))
STORE=$NET.250:8309
LOG=$CASE/record.txt
GRACE_S=6
N=0
: >"$LOG" || exit 2

stop_all() {
    local p
    for p in $(jobs -pr); do kill -9 "$p" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$DIR"
}
trap stop_all EXIT

note() { "$BIN/clients" note -o "$LOG" -i "$*"; }
give_up() { # WHY: the case couldn't run
    echo "could not run: $*" | tee -a "$LOG"
    exit 2
}

start() { # NAME COMMAND...: in the background; its id is in DIR/NAME.pid
    local name=$1
    shift
    "$@" >>"$DIR/$name.out" 2>>"$DIR/$name.err" &
    echo $! >"$DIR/$name.pid"
}
pid_of() { cat "$DIR/$1.pid"; }
alive() { kill -0 "$(pid_of "$1")" 2>/dev/null; }

ip_of() { awk -v n="$1" '$1 == n {print $2}' "$DIR/layout"; }

# A machine: its settings as platform/settings.json.tmpl renders them.
machine() { # NAME SERVICE [ZONE]
    local ip
    N=$((N + 1))
    ip=$NET.$N
    echo "$1 $ip $2" >>"$DIR/layout"
    cat >"$DIR/$1.json" <<END
{"name": "$1", "zone": "${3:-z1}", "service": "$2", "interface": "platform",
 "instance": "$ip:8301", "outbound": "$ip:8304", "inbound": "$ip:8300",
 "reports": "$ip:8306", "ready": "$ip:8302", "link": "$ip:7620",
 "metrics": "$ip:9464", "store": "$STORE", "report_s": 1.5,
 "drain_s": 2, "stop_s": $GRACE_S, "retry_ratio": 0.2, "retry_slack": 48,
 "retry_window_s": 10, "memory_mb": 260, "first_start": true}
END
}

relay() { # NAME: by the command of deploy/system.toml
    start "relay-$1" target/sprelay -c "$DIR/$1.json"
}

target() { # NAME [OPTIONS]: the target on that machine
    local ip service
    ip=$(ip_of "$1")
    service=$(awk -v n="$1" '$1 == n {print $3}' "$DIR/layout")
    start "target-$1" "$BIN/target" -l "$ip:8301" -i "i-$1" -s "$service" \
        -c "$ip:8306" -o "$LOG" "${@:2}"
}

raw() { # ADDR [SECONDS] < BYTES: sends the bytes, prints the answer
    exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    cat >&7
    timeout "${2:-5}" cat <&7
    exec 7<&- 7>&-
}
status_of() { sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p'; }

number() { # N BYTES: big-endian
    local i
    for ((i = $2 - 1; i >= 0; i--)); do
        printf "\\x$(printf %02x $(($1 >> (8 * i) & 255)))"
    done
}

append() { # TOPIC KEY VALUE
    local n=$((1 + ${#2} + ${#3}))
    {
        printf 'POST /log-append?topic=%s&part=0 HTTP/1.1\r\nHost: x\r\n' "$1"
        printf 'Connection: close\r\nContent-Length: %d\r\n\r\n' $((n + 4))
        number "$n" 4
        number "${#2}" 1
        printf '%s%s' "$2" "$3"
    } | raw "$STORE" 2>/dev/null | status_of
}

route() { # NAME PREFIX KIND TIMEOUT_S PRIORITY SERVICE MAX_ATTEMPTS
    printf '["%s","h.example","%s","%s",%s,0.5,%s,"%s",%s]' "$@"
}

publish() { # VERSION ROWS...: the operator's write; prints the store's status
    local version=$1 rows services
    shift
    rows=$(
        IFS=,
        echo "$*"
    )
    services=$(awk '!seen[$3]++ {printf "%s[\"%s\",\"/health\"]", s, $3; s = ","}' \
        "$DIR/layout")
    append keyed.op config "{\"version\":\"$version\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\",\"max_attempts\"],\"rows\":[$rows]},\"services\":{\"columns\":[\"name\",\"health_path\"],\"rows\":[$services]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}

ask() { # NAME ID METHOD PATH: the status of one request
    printf '%s %s HTTP/1.1\r\nHost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' \
        "$3" "$4" "$2" | raw "$(ip_of "$1"):8304" 3 2>/dev/null | status_of
}

until_ok() { # SECONDS COMMAND...: repeats it until it succeeds
    local i tenths=$(($1 * 10))
    shift
    for ((i = 0; i < tenths; i++)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}
serves() { [ "$(ask "$1" "warm-$RANDOM$RANDOM" GET "$2")" = 200 ]; }

clients() { # NAME MACHINE MODE [OPTIONS]: clients on that machine
    start "$1" "$BIN/clients" "$3" -a "$(ip_of "$2"):8304" -o "$LOG" "${@:4}"
}
wait_for() { wait "$(pid_of "$1")"; }

verdict() { # COUNT TEXT: ends the script
    note "verdict: $1 $2"
    echo "$1 $2"
    [ "$1" -eq 0 ]
    exit
}

for p in target/sprelay "$BIN/spstore" "$BIN/target" "$BIN/clients"; do
    [ -x "$p" ] || give_up "$p is missing: run the deploy file's build and review/build.sh"
done
: >"$DIR/layout"
if [ "${LOG_STORE:-0}" = 1 ]; then # reads are limited by max_kb
    start store "$BIN/store" -l "$STORE" -o "$LOG" -s "$DIR/silence"
else
    start store "$BIN/spstore" -l "$STORE"
fi
store_up() { [ "$(append keyed.review probe 1)" = 200 ]; }
until_ok 5 store_up || give_up "the store does not start"
