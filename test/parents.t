# Guards against requests that are taken for calls of a running request because
# their id begins with its id: a key that is shown is looked at, and a caller's
# connection carries no calls.
. test/fleet.sh

SAFE=$(route safe /safe/ safe 5 1 back)
ONCE=$(route once /once/ unsafe 5 0 back)
node back-1 back
node front-1 front
KEY='Authorization: Bearer'
run_of() { # ID: what the instance got of the caller
    sed -n "s/^run id=$1 .*left=given//p" "$DIR/inst-back-1.out"
}
try() { # LABEL ID [HEADERS]
    echo "$1: $(code back-1 "$2" GET /safe/x "${3:-}")$(run_of "$2")"
}
begin() { # ID [HEADERS]: starts a run of 1.5 s
    code back-1 "$1" POST /once/slow-1500 "${2:-}" >"$DIR/parent" &
    sleep 0.3
}
request() { # ID PATH DEADLINE_MS [HEADERS]
    printf 'GET %s HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: %s\r\n%b\r\n' \
        "$2" "$1" "$3" "${4:-}"
}
statuses() { grep -ao '^HTTP/1.1 [0-9]*' | cut -d' ' -f2 | xargs; }

WORKSPACES="$(workspace w1 '["k1"]' null 0 0),$(workspace w2 '["k2"]' null 0 0)"
publish 00000001 "$SAFE" "$ONCE" >/dev/null
until_ok 10 served back-1 w GET /safe/x "$KEY k1\r\n"

echo "while a request of w1 runs:"
begin p1 "$KEY k1\r\n"
try "a request with its key" p1.1 "$KEY k1\r\n"
try "with the key of another workspace" p1.2 "$KEY k2\r\n"
try "with an unknown key" p1.3 "$KEY k3\r\n"
try "without a key" p1.4
wait $!
echo "it is answered $(cat "$DIR/parent")"

echo "sent ahead on one connection, each with its key: $({
    request b1 /safe/slow-500 3000 "$KEY k2\r\n"
    sleep 0.2
    request b1.1 /safe/x 3000 "$KEY k2\r\n"
    sleep 0.1
    request b1.2 /safe/x 3000
    sleep 1
} | raw "$(ip_of back-1):7401" 3 | statuses)$(run_of b1.1)"

begin p2 "$KEY k1\r\n"
WORKSPACES="$(workspace w1 '["k4"]' null 0 0)"
publish 00000002 "$SAFE" "$ONCE" >/dev/null
denied() { [ "$(code back-1 "$1" GET /safe/x "$KEY k1\r\n")" = 401 ]; }
until_ok 5 denied c1
try "with a key that was taken away" p2.1 "$KEY k1\r\n"
wait $!

echo "without workspaces, numbered attempts on one connection:"
WORKSPACES=""
publish 00000003 "$SAFE" "$ONCE" >/dev/null
no_key_needed() { served back-1 c2 GET /safe/x; }
until_ok 5 no_key_needed
{
    request d1 /safe/slow-600 800
    sleep 0.2
    request d1.1 /safe/slow-1500 3000
    sleep 3
} | raw "$(ip_of back-1):7401" 5 | statuses
