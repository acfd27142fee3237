# mesh.sh: functions that configure and run a mesh of nodes and stand-ins on
# loopback. Sourced by the other scripts here and by tests; OUT and DIR are set.
#
# Each node and its instance have an address of their own in 127.0.0.0/8; the
# ports are the same for all.

PIDS=""
NODES=""
TOKEN=change-token-1
VIEW=view-token-1

# The first three octets, chosen by process id so that two runs rarely collide.
NET=127.$((20 + $$ % 200)).$((1 + $$ / 200 % 250))
LOG=$NET.250:7300
CONTROL=$NET.251:7301

run() { # NAME COMMAND...: starts it in the background, records its process id
    local name=$1
    shift
    "$@" >"$DIR/$name.out" 2>"$DIR/$name.err" &
    echo $! >"$DIR/$name.pid"
    PIDS="$PIDS $!"
}

stop_all() {
    local p
    for p in $PIDS; do kill "$p" 2>/dev/null; done
    for p in $PIDS; do wait "$p" 2>/dev/null; done
    PIDS=""
}

# node NAME SERVICE ZONE SLOTS [COLD_MS COLD_FACTOR]: adds a line to the layout
node() {
    echo "$*" >>"$DIR/layout"
}

addr() { # NAME LISTENER: prints its address
    local i
    i=$(awk -v n="$1" '$1 == n {print NR; exit}' "$DIR/layout")
    case $2 in
    inbound) echo "$NET.$i:7001" ;;
    outbound) echo "$NET.$i:7002" ;;
    mesh) echo "$NET.$i:7003" ;;
    peer) echo "$NET.$i:7004" ;;
    admin) echo "$NET.$i:7005" ;;
    instance) echo "$NET.$i:7006" ;;
    esac
}

service_contacts() { # SERVICE: prints a JSON list of its inbound addresses
    awk -v s="$1" -v net="$NET" '$2 == s {
        printf "%s\"%s.%d:7001\"", n++ ? "," : "", net, NR }' "$DIR/layout"
}

write_node() { # NAME SERVICE ZONE SLOTS: writes the settings of a node
    local contacts
    contacts=$(awk -v net="$NET" '!seen[$3]++ {
        printf "%s\"%s.%d:7004\"", n++ ? "," : "", net, NR }' "$DIR/layout")
    cat >"$DIR/$1.json" <<END
{"name": "$1", "zone": "$3", "service": "$2",
 "instance": "$(addr "$1" instance)", "inbound": "$(addr "$1" inbound)",
 "outbound": "$(addr "$1" outbound)", "mesh": "$(addr "$1" mesh)",
 "peer": "$(addr "$1" peer)", "admin": "$(addr "$1" admin)",
 "log": "$LOG", "contacts": [$contacts], ${NODE_SETTINGS:-}
 "mesh_token": "mesh-token-of-the-demo", "fault_drops": true,
 $KEYS,
 "tokens": [{"name": "demo", "token": "$TOKEN", "role": "change"},
            {"name": "watcher", "token": "$VIEW", "role": "view"}]}
END
}

write_upstreams() { # ROUTES: writes the settings of spup; a JSON list
    local sep=""
    {
        printf '{"control": "%s", "instances": [\n' "$CONTROL"
        while read -r n s z slots cold factor; do
            printf '%s{"name": "%s", "service": "%s", "slots": %s,' \
                "$sep" "$n" "$s" "$slots"
            printf ' "cold_ms": %s, "cold_factor": %s,' \
                "${cold:-0}" "${factor:-1}"
            printf ' "listen": "%s", "outbound": "%s"}\n' \
                "$(addr "$n" instance)" "$(addr "$n" outbound)"
            sep=","
        done <"$DIR/layout"
        printf '], "routes": %s}\n' "$1"
    } >"$DIR/upstreams.json"
}

# shellcheck disable=SC2086
start_node() { run "$1" ${NODE_PREFIX:-} "$OUT/spnode" -c "$DIR/$1.json"; }

# start_mesh DOCUMENT ROUTES: starts all programs, publishes the document and
# waits until every node is ready
start_mesh() {
    local n rest
    KEYS=$("$OUT/spctl" keys)
    write_upstreams "$2"
    run splog "$OUT/splog" -l "$LOG" -r 300
    run spup "$OUT/spup" -c "$DIR/upstreams.json"
    while read -r n rest; do
        # shellcheck disable=SC2086
        write_node "$n" $rest
        start_node "$n"
        NODES="$NODES $n"
    done <"$DIR/layout"
    export SP_TOKEN=$TOKEN
    local first
    first=$(awk 'NR == 1 {print $1}' "$DIR/layout")
    wait_until 20 ctl "$first" status
    ctl "$first" -r "first document" publish "$1" || return 1
    wait_ready
}

ctl() { # NODE ARGS...: runs spctl on a node
    local n=$1
    shift
    "$OUT/spctl" -n "$(addr "$n" admin)" "$@"
}

wait_until() { # SECONDS COMMAND...: repeats it until it succeeds
    local end=$(($(date +%s) + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(date +%s)" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# is_ready NODE: it has a configuration and lists every member as up
is_ready() {
    local want
    want=$(wc -l <"$DIR/layout")
    ctl "$1" status | grep -q '"version": [1-9]' &&
        [ "$(ctl "$1" members | grep -c '"state": "up"')" -ge "$want" ]
}

wait_ready() {
    local n
    for n in $NODES; do
        wait_until 30 is_ready "$n" || {
            echo "$n is not ready" >&2
            return 1
        }
    done
}

post_standin() { # ADDR PATH BODY: posts to a stand-in with bash's sockets
    local host=${1%:*} port=${1#*:} status
    exec 9<>"/dev/tcp/$host/$port" || return 1
    printf 'POST %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' "$2" >&9
    printf 'content-length: %s\r\n\r\n%s' "${#3}" "$3" >&9
    read -r _ status _ <&9
    exec 9<&-
    [ "$status" = 200 ]
}

get() { # ADDR PATH: prints the body of a stand-in's page
    local host=${1%:*} port=${1#*:}
    exec 9<>"/dev/tcp/$host/$port" || return 1
    printf 'GET %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' "$2" >&9
    sed '1,/^\r$/d' <&9
    exec 9<&-
}
