# Guards against work that an instance loses by what it may do at any time: close
# connections that are idle for the time that it states, or leave without a
# report that it is leaving.
. test/fleet.sh

node front-1 front
node back-1 back -k 2
node back-2 back
kill -9 "$(cat "$DIR/relay-back-2.pid")" # until the second part
publish 00000001 "$(route once /once/ unsafe 2 0 back)" >/dev/null
until_ok 10 served front-1 warm POST /once/x

echo "requests that are not idempotent, about the time-out of the connection apart:"
for gap in 0.9 1.0 1.1 1.9 1.99 2.1; do
    sleep $gap
    code front-1 "k$gap" POST /once/x
done | sort | uniq -c | tr -s ' '
ran=0
for gap in 0.9 1.0 1.1 1.9 1.99 2.1; do ran=$((ran + $(runs "k$gap"))); done
echo "runs: $ran"

echo "an instance deregisters and goes on serving:"
relay back-2
linked() { [ "$(metric front-1 sp_nodes_linked)" -ge 2 ]; }
until_ok 10 linked
sleep 1
ip=$(ip_of back-2)
printf 'POST /Instances.Deregister/i-back-2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n' |
    raw "$ip:7403" | status_of
sleep 2 # drain_s
at_leaving() { grep -c '^run id=d' "$DIR/inst-back-2.out"; }
for i in $(seq 20); do code front-1 "d$i" POST /once/x; done | sort | uniq -c | tr -s ' '
echo "at the leaving one: $(at_leaving)"
