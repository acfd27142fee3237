# crowd.sh: functions for crowds of clients that nobody controls (spcrowd).
# Sourced by test/crowd-*.t, on test/fleet.sh for relays or on test/small.sh for
# spnode. What is checked doesn't depend on the machine's speed: that each
# process lives, that its memory and descriptors stayed within their bounds, that
# a large request is served in calm, and an ordinary one beside and after a crowd.
#
# The bounds were fixed before the product was changed. A relay may use MEMORY_MB.
# A build with AddressSanitizer (out-san) needs more than the program: there
# memory isn't checked.
MEMORY_MB=${MEMORY_MB:-48}
FDS=${FDS:-400}
CROWD_S=${CROWD_S:-8}
IDLE_S=30 # clients that stand still aren't closed before the crowd ends
BODY_BYTES=${BODY_BYTES:-4000000}

# limited NAME COMMAND...: starts it with FDS descriptors at most
limited() {
    local name=$1
    shift
    run "$name" bash -c "ulimit -n $FDS; exec \"\$@\"" limited "$@"
}

# crowd_pair: a relay where requests enter, and one beside their instance
crowd_pair() {
    . test/fleet.sh
    relay() { limited "relay-$1" "$OUT/sprelay" -c "$DIR/$1.json"; }
    node front-1 front
    node back-1 back
    publish 00000001 "$(route up /up/ safe 12 1 back)" \
        "$(route write /write/ unsafe 12 1 back)" \
        "$(route small /small/ safe 12 0 back)" >/dev/null
    until_ok 10 served front-1 w1 GET /small/x
    until_ok 10 served back-1 w2 GET /small/x
    WATCHED="relay-front-1 relay-back-1"
    watch
}

pid_of() { cat "$DIR/$1.pid"; }
has_ended() { # NAME
    local state
    state=$(sed -n 's/^State:[^A-Z]*\(.\).*/\1/p' "/proc/$(pid_of "$1")/status" 2>/dev/null)
    [ -z "$state" ] || [ "$state" = Z ]
}

# watch: records the largest number of open descriptors of each in WATCHED
watch() {
    local n
    for n in $WATCHED; do
        (
            most=0
            while ! has_ended "$n"; do
                open=$(ls "/proc/$(pid_of "$n")/fd" 2>/dev/null | wc -l)
                [ "$open" -gt $most ] && most=$open && echo $most >"$DIR/$n.fds"
                sleep 0.1
            done
        ) &
        PIDS="$PIDS $!"
    done
}

peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(pid_of "$1")/status"; }

# check NAME: prints whether it lives within its bounds
check() {
    local memory=within fds=within
    if has_ended "$1"; then
        echo "$1: ended"
        return
    fi
    case $OUT in *-san) ;; *)
        [ "$(peak_kb "$1")" -lt $((MEMORY_MB * 1024)) ] || memory="above"
        ;;
    esac
    [ "$(cat "$DIR/$1.fds")" -lt "$FDS" ] || fds="at the limit"
    echo "$1: lives, memory $memory its bound, descriptors $fds theirs"
    echo "$1: $(peak_kb "$1") kB of $((MEMORY_MB * 1024)), $(cat "$DIR/$1.fds") descriptors of $FDS" >&2
}

# crowd ADDR KIND CLIENTS [OPTIONS]: runs it beside the test
crowd() {
    local addr=$1 kind=$2 clients=$3
    shift 3
    "$OUT/spcrowd" -l "$addr" -k "$kind" -n "$clients" -s "$CROWD_S" "$@" \
        >>"$DIR/crowd.out" &
    CROWDS="${CROWDS:-} $!"
    PIDS="$PIDS $!"
}

end_crowd() {
    # shellcheck disable=SC2086
    wait $CROWDS
    CROWDS=""
    cat "$DIR/crowd.out" >&2
    mv "$DIR/crowd.out" "$DIR/crowd-last.out"
}

# closed_some: whether the server closed connections of the last crowd
closed_some() { grep -q 'closed=[1-9]' "$DIR/crowd-last.out" && echo yes || echo no; }

# tries COMMAND...: up to 8 tries as a caller makes them, the first at once
tries() {
    local i
    for i in 1 2 3 4 5 6 7 8; do
        [ "$("$@" "$i")" = 200 ] && echo answered && return
        sleep 0.3
    done
    echo "not answered"
}

small() { code "$1" "s-$RANDOM-$2" GET /small/x; }

# post NODE BYTES ID: the status of a request with a body of that size
post() {
    {
        printf 'POST /up/x HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p-%s-%s\r\nSiskinpond-Deadline-Ms: 5000\r\nconnection: close\r\ncontent-length: %d\r\n\r\n' "$RANDOM" "$3" "$2"
        head -c "$2" /dev/zero
    } 2>/dev/null | raw "$(ip_of "$1"):7401" 6 2>/dev/null | status_of
}

# relays_hold NAME: prints both relays, and an ordinary request to each
relays_hold() {
    local n
    for n in front-1 back-1; do
        check "relay-$n"
        echo "an ordinary request to $n afterwards: $(tries small $n)"
    done
}

# crowd_nodes: two spnodes; callers enter at sales-1, the crowd at lots-1
crowd_nodes() {
    MEMORY_MB=64 # a node's share of the machine, docs/CAPACITY.md
    NODE_SETTINGS="\"memory_mb\": $MEMORY_MB,"
    NODE_PREFIX="prlimit --nofile=$FDS"
    . test/small.sh
    at=$(addr lots-1 inbound)
    WATCHED="lots-1"
    watch
}

detail() {
    printf 'GET /lots/detail HTTP/1.1\r\nhost: x\r\nx-request-id: %s\r\nconnection: close\r\n\r\n' "$1" |
        raw "$at" 2>/dev/null | status_of
}

# node_crowd KIND CLIENTS [OPTIONS]: a crowd at lots-1, and what holds
node_crowd() {
    echo "$1"
    crowd "$at" "$@"
    sleep 3
    echo "beside it: $(tries detail)"
    end_crowd
    check lots-1
    echo "an ordinary request afterwards: $(tries detail)"
}
