# Fair shares between workspaces, as the relays are wired: what arrives at a
# node is known at the others of its zone, and in the queue of an instance a
# workspace doesn't wait behind the flood of another.
. test/fleet.sh

SAFE=$(route safe /safe/ safe 5 1 back)
KEY='Authorization: Bearer'
node front-1 front
node back-1 back
ZONE=z2 node back-2 rare
WORKSPACES=$(for i in $(seq 10); do
    workspace "w$i" "[\"k$i\"]" null 20 5
done | sed 's/\]\[/],[/g')
publish 00000001 "$SAFE" >/dev/null
until_ok 10 served front-1 w GET /safe/x "$KEY k1\r\n"
code front-1 a1 GET /safe/x "$KEY k2\r\n"

tracked() { [ "$(metric "$1" sp_workspaces_tracked)" = 2 ]; }
for n in front-1 back-1; do
    until_ok 5 tracked $n && echo "$n knows of 2 workspaces"
done
tracked back-2 || echo "another zone doesn't"

since() { echo $(($(date +%s%3N) - $1)); }
begun=$(date +%s%3N)
for i in $(seq 30); do
    code front-1 "f$i" GET /safe/slow-300 "$KEY k1\r\n" >"$DIR/flood-$i" &
done
sleep 0.25
code front-1 b1 GET /safe/slow-300 "$KEY k2\r\n"
[ "$(since "$begun")" -lt 1100 ] && echo "served while the flood of w1 waits"
