# Relays with the platform interface: for each kind of answer or failure of an
# instance, what the caller gets and how often the request ran.
. test/fleet.sh
SAFE=$(route safe /safe/ safe 2 1 back)
ONCE=$(route once /once/ unsafe 2 0 back)
SHORT=$(route short /short/ safe 0.3 0 back)

node front-1 front
until_ok 5 is_up front-1
echo "without a configuration: $(code front-1 n0 GET /safe/x)"
node back-1 back
node back-2 back
echo "published: $(publish 00000001 "$SAFE" "$ONCE" "$SHORT")"
until_ok 10 served front-1 warm GET /safe/warm
linked() { [ "$(metric front-1 sp_nodes_linked)" -ge 2 ]; }
until_ok 10 linked # to both instances of the service
echo "ready: $(ready front-1)"

try() { # LABEL ID ARGS...
    local label=$1 id=$2 got
    got=$(code front-1 "$id" "${@:3}")
    echo "$label: ${got:-none}, runs $(runs "$id")"
}
try "safe" a1 GET /safe/x
try "not idempotent" a2 POST /once/x
try "no route" a3 GET /nowhere/
try "prefix without its final slash" a4 GET /safe
try "body ended by connection close" a5 GET /safe/nolength
try "body without length truncated, not idempotent" a6 POST /once/cut
try "reset, not idempotent" a7 POST /once/reset
try "reset by both instances, safe" a8 GET /safe/reset
try "failed, not idempotent" a9 POST /once/error
try "refused by both instances, not idempotent" b1 POST /once/refuse
try "another instance at the address" b2 GET /safe/other
try "instance hangs" b3 GET /short/hang
try "answer before the body was read" b4 POST /once/early "content-length: 5\r\n" hello
echo "bytes after an answer are discarded:"
for i in 1 2 3; do
    code front-1 "c$i" GET /safe/extra
    code front-1 "d$i" GET /safe/late
    send front-1 "e$i" GET /safe/y | grep -c "Siskinpond-Attempt-Id: e$i"
done
echo "the answer has its request's id and the instance's body:"
send front-1 f1 GET /safe/q | tr -d '\r' | sed -n 's/i-back-[12]/i-back/; /^Siskin/p; $p'
echo "caller identity set by the caller: $(send front-1 f2 GET /safe/z 'Siskinpond-Caller-Service: x\r\n' | status_of)"
cat "$DIR"/inst-back-*.out | sed -n 's/^run id=f2 .*\(caller=[^ ]*\).*left=\(.*\)/\1 \2/p'
echo "pipelined, in order:"
{
    printf 'GET /safe/slow-200 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p1\r\n\r\n'
    printf 'GET /safe/p2 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p2\r\n\r\n'
    printf 'GET /safe/p3 HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: p3\r\nconnection: close\r\n\r\n'
} | raw "$(ip_of front-1):7401" | tr -d '\r' | sed -n 's/^Siskinpond-Attempt-Id: //p'
echo "chunked: $(printf 'POST /once/k HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: g1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n' |
    raw "$(ip_of front-1):7401" | status_of)"
cat "$DIR"/inst-back-*.out | sed -n 's/^run id=g1 .*\(body=[^ ]*\).*/\1/p'
echo "content-length and chunked together: $(printf 'POST /once/k HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: g2\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n' |
    raw "$(ip_of front-1):7401" | status_of), runs $(runs g2)"
echo "header too large: $(send front-1 g3 GET /safe/x "x: $(printf %05000d 0)\r\n" | status_of)"
echo "body too large: $(send front-1 g4 POST /once/x "content-length: 200000\r\n" | status_of)"
echo "incomplete header: $(printf 'GET /safe' | raw "$(ip_of front-1):7401" 4 | status_of)"
slow_upload() { # ID: the body takes longer than the time-out of a header
    printf 'POST /once/x HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 3000\r\nconnection: close\r\ncontent-length: 6\r\n\r\nab' "$1"
    sleep 0.7
    printf 'cd'
    sleep 0.7
    printf 'ef'
}
echo "slow body: $(slow_upload h1 | raw "$(ip_of front-1):7401" 4 | status_of), runs $(runs h1)"
