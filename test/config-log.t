# Guards against relays that stay at an older configuration: the store's answer
# holds a part of the log only, an unusable record is behind the newest usable
# one, or the configuration changes while its keys are read page by page.
STORE_OPTS="-i 1"
. test/fleet.sh
FILLER=1400  # routes; with them a record has 100 KB, an answer at most 1 MB
CHANGES=14

filler() { awk -v n="$FILLER" 'BEGIN {for (i = 0; i < n; i++)
    printf ",[\"idle%04d\",\"h.example\",\"/idle%04d/\",\"safe\",2,0.5,1,\"back\",2]", i, i}'; }
FILL=$(filler)
big() { # VERSION ROW: publishes a configuration of 100 KB
    publish "$1" "$2$FILL"
}
relays() { for n in front-1 back-1; do kill -"$1" "$(cat "$DIR/relay-$n.pid")"; done; }

node front-1 front
node back-1 back
big 00000001 "$(route old /old/ safe 2 1 back)" >/dev/null
until_ok 10 served front-1 warm GET /old/x
until_ok 10 served back-1 warm GET /old/x

echo "the relays stand still while more than one answer is written:"
relays STOP
for i in $(seq 2 $CHANGES); do big "$(printf %08x "$i")" "$(route old /old/ safe 2 1 back)"; done |
    sort | uniq -c | tr -s ' '
big "$(printf %08x $((CHANGES + 1)))" "$(route new /new/ safe 2 1 back)"
echo "behind them one that cannot be read: $(append keyed.op config '{"version":"000000e0","routes":17}')"
relays CONT
sleep 2 # a configuration is in force everywhere within this time
echo "front-1: old $(code front-1 a1 GET /old/x), new $(code front-1 a2 GET /new/x)"
echo "back-1: old $(code back-1 a3 GET /old/x), new $(code back-1 a4 GET /new/x)"

echo "the configuration changes between two pages of the store's keys:"
store_reads() {
    printf 'PUT /standin?mode=slow HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' |
        raw "$STORE" | sed -n 's/.*"reads":\([0-9]*\).*/\1/p'
}
read_again() { [ "$(store_reads)" -ge "$1" ]; }
append keyed.op zz x # a second key, which is on a page of its own
for n in front-1 back-1; do
    kill -9 "$(cat "$DIR/relay-$n.pid")"
done
sleep 0.2
before=$(store_reads)
relay front-1
# the list of nodes has two pages, the configuration's keys two
until_ok 10 grep -q 'event=config ' "$DIR/relay-front-1.out"
until_ok 10 read_again $((before + 4))
publish 000000f0 "$(route last /last/ safe 2 1 front)"
sleep 4
store_mode ok
echo "last: $(code front-1 b1 GET /last/x)"
