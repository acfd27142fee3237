# Answers of the store that are broken by the rules of HTTP/1.1 tell a relay
# nothing: what it holds stays in force, and it asks again.
. test/fleet.sh

node front-1 front
node back-1 back
publish 00000001 "$(route old /old/ safe 2 1 back)" >/dev/null
until_ok 10 served front-1 w1 GET /old/x
until_ok 10 served back-1 w2 GET /old/x
store_mode broken
publish 00000002 "$(route new /new/ safe 2 1 back)" >/dev/null
sleep 2 # a whole answer would be in force within this time
for n in front-1 back-1; do
    echo "$n: old $(code $n "o-$n" GET /old/x), new $(code $n "n-$n" GET /new/x)"
    grep -q 'event=store-lost task=config why=not-http' "$DIR/relay-$n.out" && echo "$n: logged"
done
store_mode ok
for n in front-1 back-1; do
    until_ok 10 served $n "s-$n" GET /new/x
    echo "$n: new $(code $n "m-$n" GET /new/x)"
done
