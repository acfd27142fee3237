# Invalid input at the inbound listener: it gets an error status, the node does
# not crash, and the next request is served.
. test/small.sh
in=$(addr lots-1 inbound)
mesh=$(addr lots-1 mesh)

good() {
    printf 'GET /lots/detail HTTP/1.1\r\nhost: x\r\nx-request-id: g1\r\nconnection: close\r\n\r\n' |
        raw "$in" | status_of
}

echo "good: $(good)"
echo "malformed: $(printf 'NONSENSE\r\n\r\n' | raw "$in" | status_of)"
echo "no route: $(printf 'GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' |
    raw "$in" | status_of)"
echo "no key: $(printf 'POST /lots/reserve HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n' |
    raw "$in" | status_of)"
echo "key invented by the caller: $(printf 'POST /lots/reserve HTTP/1.1\r\nhost: x\r\nidempotency-key: abc\r\ncontent-length: 0\r\nconnection: close\r\n\r\n' |
    raw "$in" | status_of)"
echo "body too large: $({
    printf 'POST /lots/reserve HTTP/1.1\r\nhost: x\r\ncontent-length: 300000\r\nconnection: close\r\n\r\n'
    head -c 300000 /dev/zero
} | raw "$in" | status_of)"
echo "good: $(good)"
echo "incomplete requests do not block others:"
for i in 1 2 3 4 5; do exec 6<>"/dev/tcp/${in%:*}/${in#*:}"; done
printf 'GET /lots' >&6
echo "good: $(good)"
exec 6<&-
echo "a caller cannot raise its class, budget or deadline:"
printf 'GET /lots/detail HTTP/1.1\r\nhost: x\r\nx-request-id: g2\r\nsp-call: x;0;0;9;999999999;me\r\nsp-class: 0\r\nsp-timeout-ms: 99999999999\r\nconnection: close\r\n\r\n' |
    raw "$in" | status_of
echo "mesh listener without the token: $(printf 'GET /lots/detail HTTP/1.1\r\nhost: x\r\nsp-call: x;0;0;9;999;me\r\nconnection: close\r\n\r\n' |
    raw "$mesh" | status_of)"
echo "a key, a call, its replayed answer:"
key=$("$OUT/spcall" -n "$in" POST /.sp/keys/reserve 2>/dev/null |
    sed 's/.*: "\(.*\)".*/\1/')
for i in 1 2; do
    printf 'POST /lots/reserve HTTP/1.1\r\nhost: x\r\nx-request-id: k1\r\nidempotency-key: "%s"\r\ncontent-length: 2\r\nconnection: close\r\n\r\nhi' \
        "$key" | raw "$in" | sed -n 's/\r//; s/^HTTP[^ ]* //p; s/^{"id": "k1".*/whole/p'
done
get "$CONTROL" /counts | tail -n 1
echo "client library: $("$OUT/spcall" -n "$in" -k reserve POST /lots/reserve \
    2>&1 >/dev/null | sed 's/took_ms.*//')"
echo "the load tool reads the counts to the end of the body and no further:"
cat >"$DIR/load.json" <<END
{"mix": [{"name": "reserve", "class": "critical", "method": "POST",
  "path": "/lots/reserve", "route": "reserve", "weight": 1,
  "contacts": ["$in"]}], "steps": [{"seconds": 1, "rate": 50}],
 "control": "$CONTROL"}
END
"$OUT/spload" -c "$DIR/load.json" | grep -o 'double_runs.*'
echo "the instance is killed during a run: the answer is never a truncated 200"
kill -9 "$(cat "$DIR/spup.pid")"
"$OUT/spcall" -r 0 -n "$in" GET /lots/detail 2>&1 | sed 's/took_ms.*//' |
    grep -c 'kind=unreachable\|kind=broken'
grep -c 'level=error' "$DIR/lots-1.err" || true
kill -TERM "$(cat "$DIR/lots-1.pid")"
wait "$(cat "$DIR/lots-1.pid")"
echo "node ended with status $?"
