# A head over the limit at the inbound listener of a node gets 431.
. test/small.sh
in=$(addr lots-1 inbound)
echo "header too large: $({
    printf 'GET /lots/detail HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
    for i in $(seq 90); do printf 'x-%s: %0250d\r\n' "$i" 0; done
    printf '\r\n'
} | raw "$in" | status_of)"
