# Keys of workspaces: who is let in, what reaches the instance, and changes of
# keys, also on open connections and by configurations that can't be used.
. test/fleet.sh

OPEN=$(public_route open /open/ safe 2 1 back)
SAFE=$(route safe /safe/ safe 2 1 back)
ONCE=$(route once /once/ unsafe 5 0 back)
LEAF=$(route leaf /leaf/ safe 2 1 back)
node front-1 front
node back-1 back
WORKSPACES="$(workspace w1 '["k1","k2"]' null 0 0),$(workspace w2 '["k3"]' 2 0 0)"
echo "without a configuration: $(code front-1 n0 GET /safe/x 'Authorization: Bearer k1\r\n')"
publish 00000001 "$OPEN" "$SAFE" "$ONCE" "$LEAF" >/dev/null
until_ok 10 served front-1 w GET /open/x

run_of() { # ID: what the instance got of the caller
    cat "$DIR"/inst-*.out | sed -n "s/^run id=$1 .*left=given//p"
}
try() { # LABEL ID PATH [HEADERS]
    echo "$1: $(code front-1 "$2" GET "$3" "${4:-}")$(run_of "$2")"
}
KEY='Authorization: Bearer'
try "a key" a1 /safe/x "$KEY k1\r\n"
try "another key of that workspace" a2 /safe/x "$KEY k2\r\n"
try "another workspace" a3 /safe/x "authorization: bearer  k3\r\n"
try "unknown key" a4 /safe/x "$KEY k4\r\n"
try "part of a key" a5 /safe/x "$KEY k\r\n"
try "no key" a6 /safe/x
try "another scheme" a7 /safe/x 'Authorization: Basic k1\r\n'
try "workspace named by the caller" a8 /safe/x "$KEY k1\r\nSiskinpond-Tenant: w2\r\n"
try "public route" a9 /open/x
try "public route, workspace named by the caller" b1 /open/x 'Siskinpond-Tenant: w2\r\n'
try "public route with a key" b2 /open/x "$KEY k1\r\n"
try "public route with an unknown key" b3 /open/x "$KEY k4\r\n"
try "no route, unknown key" b4 /nowhere/x "$KEY k4\r\n"
echo "challenge: $(send front-1 b5 GET /safe/x | tr -d '\r' | sed -n 's/^WWW-Authenticate: //p')"

echo "call of a running request, without a key:"
code back-1 p1 POST /once/slow-1500 "$KEY k1\r\n" >"$DIR/parent" &
sleep 0.5
echo "$(code back-1 p1.1 GET /leaf/x)$(run_of p1.1)"
echo "$(code back-1 p2.1 GET /leaf/x) for one that doesn't run"
wait $!
cat "$DIR/parent"

answers() { # ID KEY: ten requests ahead on one connection, then ten more
    local i
    for i in $(seq 20); do
        [ "$i" -eq 11 ] && sleep 2
        printf 'GET /safe/x HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s%d\r\nAuthorization: Bearer %s\r\n\r\n' "$1" "$i" "$2"
    done
    sleep 1
}
counts() { grep -o '^HTTP/1.1 [0-9]*' | sort | uniq -c | awk '{s = s (s ? ", " : "") $1 " times " $3} END {print s}'; }
echo "a key is taken away and one is added, on open connections:"
answers c k1 | raw "$(ip_of front-1):7401" 6 | counts >"$DIR/taken" &
taken=$!
answers d k5 | raw "$(ip_of front-1):7401" 6 | counts >"$DIR/added" &
added=$!
sleep 1
WORKSPACES="$(workspace w1 '["k2","k5"]' null 0 0),$(workspace w2 '["k3"]' 2 0 0)"
publish 00000002 "$OPEN" "$SAFE" "$ONCE" "$LEAF" >/dev/null
wait $taken $added
cat "$DIR/taken" "$DIR/added"
try "the key that was taken away" e1 /safe/x "$KEY k1\r\n"
try "the key that was added" e2 /safe/x "$KEY k5\r\n"

echo "configurations that can't be used:"
bad() { # WORKSPACES: published as the next version
    VERSION=$((VERSION + 1))
    WORKSPACES=$1 publish "$(printf %08x $VERSION)" "$SAFE" >/dev/null
    until_ok 5 grep -q "config-unusable.*" "$DIR/relay-front-1.out"
}
VERSION=2
for rows in "$(workspace w1 '["k6"]' null 0 0),$(workspace w2 '["k6"]' null 0 0)" \
    "$(workspace '' '["k6"]' null 0 0)" "$(workspace w1 '[""]' null 0 0)" \
    "$(workspace w1 '["k6"]' null -1 0)" "$(workspace w1 '["k6"]' null 1 '"x"')" \
    "$(workspace w1 '["k6"]' null 0 0),$(workspace w1 '["k7"]' null 0 0)"; do
    bad "$rows"
done
unusable() { sed -n 's/.*event=config-unusable.*why="\(.*\)"$/\1/p' "$DIR/relay-front-1.out" "$DIR/relay-back-1.out" | sort -u; }
all_unusable() { [ "$(unusable | wc -l)" -ge 6 ]; }
until_ok 10 all_unusable
unusable
no_run() { [ "$(code back-1 p2.2 GET /leaf/x)" = 401 ]; }
until_ok 8 no_run
echo "$(code back-1 p2.3 GET /leaf/x)$(run_of p2.3) for one that doesn't run, later"
try "the version in force stays" f1 /safe/x "$KEY k5\r\n"
try "and no other" f2 /safe/x "$KEY k6\r\n"
echo "keys in logs and metrics: $(cat "$DIR"/relay-*.out "$DIR"/relay-*.err | grep -cE '\bk[1-7]\b')"
