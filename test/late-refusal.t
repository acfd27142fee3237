# Guards against a late second copy of a rejection being taken for the answer
# to a later send on the same connection: a request that is not idempotent was
# answered 503 although it ran, or ran twice.
. test/fleet.sh
ONCE=$(route once /once/ unsafe 2 0 back | sed 's/,2]$/,1]/') # one target
CHECKED=$(route checked /checked/ unsafe 2 0 rare)

node front-1 front
node back-1 back
publish 00000001 "$ONCE" "$CHECKED" >/dev/null
until_ok 10 served front-1 warm POST /once/warm

echo "sent again to the instance that refused it:"
for i in $(seq 10); do
    echo "$(code front-1 "a$i" POST /once/slow-100/refuse-first), runs $(runs "a$i")"
done
echo "refused in the name of no request, on a connection that has had others:"
code front-1 b1 POST /once/x
code front-1 b2 POST /once/refuse-bare

echo "a status check refused after the first report, whose refusal comes late:"
lay_out rare-1 rare
relay rare-1
ip=$(ip_of rare-1)
run inst-rare-1 "$OUT/spinst" -l "$ip:7406" -i i-rare-1 -s rare -z z1 \
    -c "$ip:1" -n 8 -b 1000 -H
until_ok 10 grep -q '^check' "$DIR/inst-rare-1.out"
report='{"address":"'$ip':7406","born":1000,"info":{"service":"rare","slots":8},"status":{"state":"ready","seq":1,"warmup_left_s":0}}'
printf 'POST /Instances.Heartbeat/i-rare-1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
    "${#report}" "$report" | raw "$ip:7403" >/dev/null
sleep 0.5
echo "$(code front-1 c1 POST /checked/slow-100), runs $(runs c1)"

echo "counted: $(metric back-1 sp_runs_rejected_total) rejections"
[ "$(metric back-1 sp_replies_discarded_total)" -gt 0 ] && echo "and late copies of them"
