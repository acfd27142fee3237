# Guards against bounds of our own on texts of the platform: a configuration
# whose texts are long is in force on all nodes, and what it routes is served,
# by nodes and instances whose own names are long.
. test/fleet.sh

long() { # CHARACTER LENGTH
    head -c "$2" /dev/zero | tr '\0' "$1"
}
FRONT=front-$(long f 400)
BACK=back-$(long b 400)
HOST=$(long h 300).example
PREFIX=/$(long p 500)/
ROUTE=route-$(long r 700)
KEY=$(long k 600)
WORKSPACE=workspace-$(long w 500)
ID=$(long a 400)
CHECK=/$(long c 300)/health

long_node() { # NAME SERVICE: its texts are long, but those of its files
    lay_out "$1" "$2"
    sed -i "s/\"name\": \"$1\"/\"name\": \"$1-$(long n 300)\"/; s/\"z1\"/\"$(long z 300)\"/" \
        "$DIR/$1.json"
    relay "$1"
    instance "$1" "$2" "i-$1-$(long i 300)" 1000
}
publish_long() { # VERSION
    append keyed.op config "{\"version\":\"$1\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\",\"max_attempts\"],\"rows\":[[\"$ROUTE\",\"$HOST\",\"$PREFIX\",\"safe\",2,0.5,1,\"$BACK\",2]]},\"services\":{\"columns\":[\"name\",\"health_path\"],\"rows\":[[\"$FRONT\",\"$CHECK\"],[\"$BACK\",\"$CHECK\"]]},\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":100000,\"header_timeout_s\":1,\"idle_timeout_s\":5},\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"rate_per_s\",\"burst\"],\"rows\":[[\"$WORKSPACE\",[\"$KEY\"],50,10]]}}"
}
ask() { # NODE ID PATH KEY
    printf 'GET %s HTTP/1.1\r\nhost: %s\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nconnection: close\r\n\r\n' \
        "$3" "$HOST" "$2" "$4" | raw "$(ip_of "$1"):7401" 4 | status_of
}
is_200() { [ "$(ask "$@")" = 200 ]; }

publish 00000001 "$(route first /first/ safe 2 1 back)" >/dev/null
long_node front-1 "$FRONT"
long_node back-1 "$BACK"
until_ok 5 is_up front-1
until_ok 5 is_up back-1
echo "acknowledged: $(publish_long 00000002)"
until_ok 5 is_200 front-1 warm "${PREFIX}x" "$KEY"
echo "version in force: $(metric front-1 sp_config_version), $(metric back-1 sp_config_version)"
echo "a request from another node: $(ask front-1 "$ID" "${PREFIX}x" "$KEY")"
echo "a request at its own node: $(ask back-1 "$ID-2" "${PREFIX}x" "$KEY")"
echo "another key of that length: $(ask front-1 "$ID-3" "${PREFIX}x" "${KEY}k")"
echo "another path of that length: $(ask front-1 "$ID-4" "${PREFIX%/}p/x" "$KEY")"
echo "a longer path: $(ask front-1 "$ID-5" "$PREFIX$(long / 3000)" "$KEY")"
echo "what the instance got:"
sed -n "s/^run id=$ID \(.*\) left=.* /\1 /p" "$DIR/inst-back-1.out" |
    sed "s/$FRONT/FRONT/; s/$WORKSPACE/WORKSPACE/; s/path=[^ ]*/path/"
echo "where: $(printf 'GET /where?host=%s&path=%s&workspace=%s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' "$HOST" "${PREFIX}x" "$WORKSPACE" |
    raw "$(ip_of front-1):7407" | status_of)"
echo "configurations that can't be used: $(cat "$DIR"/relay-*.out | grep -c event=config-unusable)"
echo "a refusal in the log ends with its fields: $(grep 'event=call-refused' "$DIR/relay-front-1.out" | grep -c 'status=401 .*workspace=\|status=401 .*config=2')"
