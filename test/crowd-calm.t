# A single body, and a single answer, of the greatest legal size in calm, on a
# machine of 260 MB.
MEMORY_MB=260
BODY_BYTES=67108864
. test/crowd.sh
crowd_pair
long() { code "$1" "l-$2" GET /up/size-65530; }
write() {
    {
        printf 'POST /write/x HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: c-%s\r\nSiskinpond-Deadline-Ms: 5000\r\nconnection: close\r\ncontent-length: %d\r\n\r\n' "$1-$2" $BODY_BYTES
        head -c $BODY_BYTES /dev/zero
    } 2>/dev/null | raw "$(ip_of "$1"):7401" 6 2>/dev/null | status_of
}
for n in front-1 back-1; do
    echo "a body at $n: $(tries post $n $BODY_BYTES)"
    echo "a body that may run once at $n: $(tries write $n)"
    echo "an answer at $n: $(tries long $n)"
    relays_hold
done
