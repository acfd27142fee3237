# Guards against a relay that ends by itself (use of freed memory) when a
# response cannot be sent in the middle of a loop over calls or runs: clients
# that sent many requests ahead have closed when these time out, are refused or
# lose their instance.
. test/fleet.sh

node front-1 front
node back-1 back
publish 00000001 "$(route short /short/ safe 0.5 1 back)" \
    "$(route local /local/ safe 0.5 1 front)" >/dev/null
until_ok 10 served front-1 w1 GET /short/x
until_ok 10 served front-1 w2 GET /local/x

ahead() { # ID PATH COUNT SECONDS: sends requests ahead, closes after a time
    local i
    exec 7<>"/dev/tcp/$(ip_of front-1)/7401" || return
    for i in $(seq "$3"); do
        printf 'GET %s HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s-%s\r\nSiskinpond-Deadline-Ms: 500\r\n\r\n' \
            "$2" "$1" "$i"
    done >&7
    sleep "$4"
    exec 7<&- 7>&-
}
lives() {
    kill -0 "$(cat "$DIR/relay-$1.pid")" 2>/dev/null &&
        echo "$1 lives" || echo "$1 has ended"
}
both() { lives front-1; lives back-1; }

echo "calls time out just after their client has closed:"
for k in $(seq 0 19); do
    pause=$(printf 0.%03d $((464 + k * 2)))
    ahead "t$k" /short/hang 80 "$pause" 2>/dev/null &
    ahead "u$k" /local/hang 80 "$pause" 2>/dev/null &
    sleep 0.1
done
sleep 1
both
echo "the other relay of such calls is killed:"
for k in $(seq 5); do ahead "k$k" /short/hang 80 0.1 2>/dev/null & done
sleep 0.2
kill -9 "$(cat "$DIR/relay-back-1.pid")"
sleep 1
lives front-1
relay back-1
until_ok 10 served front-1 w3 GET /short/x
echo "the instance of such calls ends:"
for k in $(seq 5); do ahead "i$k" /local/slow-300 80 0.1 2>/dev/null & done
sleep 0.2
kill -9 "$(cat "$DIR/inst-front-1.pid")"
sleep 1
both
echo "a client that leaves while its requests are not being read:"
before=$(metric front-1 sp_callers_left_total)
ahead g1 /short/slow-400 100 0.1 2>/dev/null
sleep 0.15
left=$(($(metric front-1 sp_callers_left_total) - before))
echo "seen: $([ "$left" -ge 60 ] && echo yes || echo "$left")"
