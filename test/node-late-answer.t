# Guards against a late second answer of an instance being taken for the answer
# to the next request on its connection.
. test/small.sh
inst=$(addr lots-1 instance)
out=$(addr lots-1 outbound)
kill -9 "$(cat "$DIR/spup.pid")"
start_instance() { # OPTIONS
    "$OUT/spinst" -l "$inst" -i lots-1 -s lots -z qld-1 -c "$NET.251:1" -n 25 "$@" \
        >"$DIR/spinst.out" 2>&1 &
    echo $! >"$DIR/spinst.pid"
}
stop_instance() { kill -9 "$(cat "$DIR/spinst.pid")"; }

announce() {
    printf 'POST /.sp/instance HTTP/1.1\r\nhost: x\r\nsp-state: up\r\nsp-slots: 25\r\ncontent-length: 0\r\nconnection: close\r\n\r\n' |
        raw "$out" >/dev/null
}
ask() { # PATH: the path that the answer names
    printf 'GET /lots/detail?%s HTTP/1.1\r\nhost: x\r\nx-request-id: r\r\nconnection: close\r\n\r\n' "$1" |
        raw "$(addr lots-1 inbound)" | sed -n 's/^lots-1 GET .*?//p; s/^broken: .*/broken/p'
}
until_served() {
    for i in $(seq 50); do
        announce
        [ "$(ask warm)" = warm ] && break
        sleep 0.1
    done
    announce
}

echo "an instance whose answers name no request:"
start_instance
until_served
for i in 1 2 3; do
    echo "$(ask "a$i/late-next"), then $(ask "b$i")"
done
stop_instance
echo "an instance whose answers name it:"
start_instance -N
until_served
for i in 1 2 3; do
    echo "$(ask "c$i/late-next"), then $(ask "d$i"), then $(ask "e$i")"
done
stop_instance
