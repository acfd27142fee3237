# fleet.sh: functions that run relays, their instances and the store on
# loopback. Sourced by the tests of the programs; OUT and TMP are set.
DIR=$TMP
NET=127.$((20 + $$ % 200)).$((1 + $$ / 200 % 250))
STORE=$NET.250:7400
PIDS=""
N=0

run() { # NAME COMMAND...: starts it in the background, records its process id
    local name=$1
    shift
    "$@" >>"$DIR/$name.out" 2>>"$DIR/$name.err" &
    echo $! >"$DIR/$name.pid"
    echo $! >>"$DIR/pids"
    PIDS="$PIDS $!"
}

stop_all() {
    local p
    for p in $PIDS; do kill -9 "$p" 2>/dev/null; done
    wait 2>/dev/null
}
trap stop_all EXIT

ip_of() { awk -v n="$1" '$1 == n {print $2}' "$DIR/layout"; }

relay() { # NAME: starts it from its settings
    run "relay-$1" "$OUT/sprelay" -c "$DIR/$1.json"
}

instance() { # NAME SERVICE ID START_MS [OPTIONS]
    local ip name=$1 service=$2 id=$3 start=$4
    shift 4
    ip=$(ip_of "$name")
    run "inst-$name" "$OUT/spinst" -l "$ip:7406" -i "$id" -s "$service" \
        -z "${ZONE:-z1}" -c "$ip:7403" -n 8 -b "$start" "$@"
}

lay_out() { # NAME SERVICE: writes the settings of a node
    local ip name=$1 service=$2
    N=$((N + 1))
    ip=$NET.$N
    echo "$name $ip" >>"$DIR/layout"
    cat >"$DIR/$name.json" <<END
{"name": "$name", "zone": "${ZONE:-z1}", "service": "$service", "interface": "platform",
 "instance": "$ip:7406", "outbound": "$ip:7401", "reports": "$ip:7403",
 "ready": "$ip:7404", "link": "$ip:7405", "metrics": "$ip:7407",
 "store": "$STORE", "report_s": ${REPORT_S:-0.2}, "drain_s": 2, "stop_s": ${STOP_S:-4},
 "retry_ratio": 0.2, "retry_slack": 400, "retry_window_s": 10,
 "capacity": "${CAPACITY:-announced}",
 "memory_mb": ${MEMORY_MB:-256}, "first_start": ${FIRST_START:-false}}
END
}

node() { # NAME SERVICE [OPTIONS]: starts a relay and its instance
    local name=$1 service=$2
    shift 2
    lay_out "$name" "$service"
    relay "$name"
    instance "$name" "$service" "i-$name" 1000 "$@"
}

raw() { # ADDR [SECONDS] < BYTES: sends the bytes, prints the answer
    exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    cat >&7
    timeout "${2:-5}" cat <&7
    exec 7<&-
}

status_of() { sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p'; }

number() { # N BYTES: N as a big-endian number of that size
    local i
    for ((i = $2 - 1; i >= 0; i--)); do
        printf "\\x$(printf %02x $(($1 >> (8 * i) & 255)))"
    done
}

append() { # TOPIC KEY VALUE
    local n=$((1 + ${#2} + ${#3}))
    {
        printf 'POST /log-append?topic=%s&part=0 HTTP/1.1\r\nhost: x\r\n' "$1"
        printf 'connection: close\r\ncontent-length: %d\r\n\r\n' $((n + 4))
        number "$n" 4
        number "${#2}" 1
        printf '%s%s' "$2" "$3"
    } | raw "$STORE" | status_of
}

route() { # NAME PREFIX KIND TIMEOUT RANK SERVICE
    printf '["%s","h.example","%s","%s",%s,0.5,%s,"%s",2]' "$@"
}

public_route() { # like route; its requests need no key
    route "$@" | sed 's/]$/,true]/'
}

workspace() { # NAME KEYS RANK RATE BURST; KEYS is a JSON list, RANK may be null
    printf '["%s",%s,%s,%s,%s]' "$@"
}

publish() { # VERSION ROWS...; WORKSPACES: their rows, separated by commas
    local version=$1 rows keyed=""
    [ -z "${WORKSPACES:-}" ] ||
        keyed=",\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\"rows\":[$WORKSPACES]}"
    shift
    rows=$(IFS=,; echo "$*")
    append keyed.op config "{\"version\":\"$version\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\",\"max_attempts\",\"public\"],\"rows\":[$rows]},\"services\":{\"columns\":[\"name\",\"health_path\"],\"rows\":[[\"front\",\"/health\"],[\"back\",\"/health\"],[\"rare\",\"/health\"]]},\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":${BODY_BYTES:-100000},\"header_timeout_s\":1,\"idle_timeout_s\":${IDLE_S:-5}}$keyed}"
}

store_mode() {
    printf 'PUT /standin?mode=%s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' "$1" |
        raw "$STORE" >/dev/null
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

send() { # NODE ID METHOD PATH [HEADERS [BODY]]: prints header and body
    printf '%s %s HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 3000\r\n%bconnection: close\r\n\r\n%s' \
        "$3" "$4" "$2" "${5:-}" "${6:-}" | raw "$(ip_of "$1"):7401" 4
}

code() { send "$@" | status_of; }
ready() { printf 'GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' |
    raw "$(ip_of "$1"):7404" | status_of; }
metric() { # NODE NAME: its value, or the sum over its labels
    printf 'GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' |
        raw "$(ip_of "$1"):7407" | tr -d '\r' |
        awk -v name="$2" '{sub(/{.*}/, "", $1)}
            $1 == name {sum += $2} END {print sum + 0}'
}
runs() { cat "$DIR"/inst-*.out | grep -c "^run id=$1 "; }
served() { [ "$(code "$@")" = 200 ]; }
is_up() { [ -n "$(ready "$1")" ]; }

: >"$DIR/layout"
# shellcheck disable=SC2086
run store "$OUT/spstore" -l "$STORE" ${STORE_OPTS:-}
until_ok 5 store_mode ok
