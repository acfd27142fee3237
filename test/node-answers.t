# Answers of an instance that are broken by the rules of HTTP/1.1 reach no
# caller of a node, and legal ones do (test/answers.txt).
. test/small.sh
. test/answers.sh
inst=$(addr lots-1 instance)
in=$(addr lots-1 inbound)
kill -9 "$(cat "$DIR/spup.pid")"
"$OUT/spinst" -l "$inst" -i lots-1 -s lots -z qld-1 -c "$NET.251:1" -n 25 -N \
    -a test/answers.txt >"$DIR/spinst.out" 2>&1 &
PIDS="$PIDS $!"

announce() {
    printf 'POST /.sp/instance HTTP/1.1\r\nhost: x\r\nsp-state: up\r\nsp-slots: 25\r\ncontent-length: 0\r\nconnection: close\r\n\r\n' |
        raw "$(addr lots-1 outbound)" >/dev/null
}
get_once() { # QUERY
    printf 'GET /lots/detail?%s HTTP/1.1\r\nhost: x\r\nx-request-id: r\r\nconnection: close\r\n\r\n' "$1" |
        raw "$in"
}
for i in $(seq 50); do
    announce
    [ "$(get_once warm | status_of)" = 200 ] && break
    sleep 0.1
done

ask() {
    announce
    printf '%s /lots/detail?/raw-%s HTTP/1.1\r\nhost: x\r\nx-request-id: r\r\nconnection: close\r\n\r\n' "$1" "$2" |
        raw "$in"
}
cases() { grep '^[a-z]' test/answers.txt | grep -v '^head-'; } # no such route
check_all
echo "a request that is not idempotent:"
reserve() { # NAME: status, outcome and runs
    local key
    key=$("$OUT/spcall" -n "$in" POST /.sp/keys/reserve 2>/dev/null | sed 's/.*: "\(.*\)".*/\1/')
    announce
    printf 'POST /lots/reserve?/raw-%s HTTP/1.1\r\nhost: x\r\nx-request-id: r\r\nidempotency-key: "%s"\r\ncontent-length: 0\r\nconnection: close\r\n\r\n' "$1" "$key" |
        raw "$in" | tr -d '\r' | sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p; s/^sp-outcome: //p' | tr '\n' ' '
    echo "runs $(grep -c "method=POST path=.*raw-$1 " "$DIR/spinst.out")"
}
for name in plain status-000 name-blank length-negative chunked-cut-close end-reset; do
    echo "$name: $(reserve $name)"
done
echo "the node lives: $(kill -0 "$(cat "$DIR/lots-1.pid")" && echo yes)"
echo "an ordinary request: $(get_once last | status_of)"
