# Guards against calls that get a final 401 because the relay that knew their
# run was killed, or its run was dropped, while the instance goes on with it.
. test/fleet.sh

SAFE=$(route safe /safe/ safe 2 1 back)
ONCE=$(route once /once/ unsafe 5 0 back)
KEY='Authorization: Bearer k1\r\n'
WORKSPACES="$(workspace w1 '["k1"]' null 0 0)"
node front-1 front
node back-1 back
publish 00000001 "$SAFE" "$ONCE" >/dev/null
until_ok 10 served front-1 w1 GET /safe/x "$KEY"
until_ok 10 served back-1 w2 GET /safe/x "$KEY"
run_of() { sed -n "s/^run id=$1 .*left=given/ /p" "$DIR/inst-back-1.out"; }
begin() { # NODE ID METHOD PATH: a request whose run goes on after the test of it
    send "$1" "$2" "$3" "$4" "$KEY" >/dev/null 2>&1 &
}
has_run() { [ "$(runs "$1")" -gt 0 ]; }
kill_relay() { # and waits for its end, so that its addresses are free
    kill -9 "$(cat "$DIR/relay-$1.pid")"
    wait "$(cat "$DIR/relay-$1.pid")" 2>/dev/null
}
call() { code back-1 "$1" GET /safe/x; }
# The answer to calls of RUN once they are no longer refused as not run.
settled() { # RUN
    local i got
    for i in $(seq 30); do
        got=$(call "$1.$i")
        [ "$got" = 503 ] || break
        sleep 0.1
    done
    echo "$got"
}

begin front-1 p1 POST /once/slow-2500
begin back-1 p2 POST /once/slow-2500
until_ok 3 has_run p1
until_ok 3 has_run p2
kill_relay back-1
relay back-1
began=$SECONDS
until_ok 5 served back-1 w3 GET /safe/x "$KEY"
echo "a call of a run that another node sent: $(settled p1)"
echo "a call of one that the killed relay had taken itself: $(call p2.1)"
echo "it may be repeated after: $(send back-1 p2.2 GET /safe/x | tr -d '\r' | sed -n 's/^Retry-After: 0\..*/less than a second/p')"
echo "a request without a key, of no run: $(call p3)"
echo "a request with an unknown key: $(code back-1 p2.3 GET /safe/x 'Authorization: Bearer k2\r\n')"

echo "when no run of the killed relay can be left:"
past_longest() { [ $((SECONDS - began)) -ge 7 ]; }
until_ok 9 past_longest
echo "a call of the run of another node: $(call p1.90)"
echo "a call of the one it had taken: $(call p2.90)"

printf 'GET /safe/slow-1500 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p4\r\nSiskinpond-Deadline-Ms: 3000\r\n%b\r\n' "$KEY" |
    raw "$(ip_of back-1):7401" 0.3 # leaves then
dropped() { grep -q 'event=run-dropped id=p4' "$DIR/relay-back-1.out"; }
until_ok 3 dropped
echo "a call of an idempotent run whose caller left: $(call p4.1)"
send back-1 p5 POST /once/reset "$KEY" >/dev/null
echo "a call of a run whose answer was lost: $(call p5.1)"
