# The admin listener: which token may do what, and the forms of the console.
. test/small.sh

ask() { # METHOD PATH TOKEN [BODY]: status and body
    local a auth=""
    a=$(addr sales-1 admin)
    [ -n "$3" ] && auth="authorization: Bearer $3
"
    printf '%s %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n%scontent-length: %s\r\n\r\n%s' \
        "$1" "$2" "${auth/$'\n'/$'\r\n'}" "${#4}" "$4" | raw "$a"
}

code() { printf '%s %s %s: ' "$1" "$2" "${3:--}"; ask "$@" | status_of; }

code GET /v1/status ""
code GET /v1/status wrong-token
code GET /v1/status $VIEW
code POST /v1/drain $VIEW
code POST /v1/config $VIEW "{}"
code POST /console/edit $VIEW ""
code POST /v1/status $TOKEN
code GET /nowhere $TOKEN
code POST /v1/config $TOKEN "{}"
code POST /v1/config $TOKEN '{"replaces": 1, "reason": "r", "document": "{}"}'
code POST /v1/check $TOKEN "$(cat examples/resale-mesh.json)"
code GET /metrics $VIEW
echo "admin is not on the callers' listener:"
printf 'GET /v1/status HTTP/1.1\r\nhost: x\r\nauthorization: Bearer %s\r\nconnection: close\r\n\r\n' \
    "$TOKEN" | raw "$(addr sales-1 inbound)" | status_of

echo "cross-site request without the form token"
code POST /console/edit $TOKEN "action=publish&reason=x&replaces=1"
form=$(ask GET /console/edit $TOKEN "" |
    sed -n 's/.*name="form" value="\([0-9a-f]*\)".*/\1/p')
echo "an invalid field is named, nothing is published"
ask POST /console/edit $TOKEN \
    "form=$form&action=publish&replaces=1&reason=try&retries.per_request=99" |
    grep -o 'Nothing was published: 1 to mend\|retries.per_request</b>: [^<]*'
echo "script in a text field is escaped"
ask POST /console/edit $TOKEN \
    "form=$form&action=check&replaces=1&reason=%3Cscript%3Ealert(1)%3C/script%3E" |
    grep -o '[^ ]*script[^ ]*alert(1)[^"]*'
echo "corrected and published"
ask POST /console/edit $TOKEN \
    "form=$form&action=publish&replaces=1&reason=more+retries&retries.per_request=3" |
    grep -o 'Published and in force'
wait_until 10 sh -c "'$OUT/spctl' -n $(addr lots-1 admin) status |
    grep -q '\"version\": 2'"
echo "in force at the other node: $?"
echo "concurrent publishes: the second publish of version 3 is rejected"
code POST /v1/config $TOKEN "{\"replaces\": 1, \"reason\": \"late\",
 \"document\": $(ctl sales-1 -n "$(addr sales-1 admin)" show |
    sed 's/\\/\\\\/g; s/"/\\"/g' | tr '\n' ' ' | sed 's/^/"/; s/$/"/')}"
ask POST /console/edit $TOKEN \
    "form=$form&action=publish&replaces=1&reason=late&retries.per_request=5" |
    grep -o 'Another publish was first\|name="retries.per_request" value="5"'
echo "a peer without the key is refused"
KEYS=$("$OUT/spctl" keys)
node stranger lots qld-1 25
write_node stranger lots qld-1 25
start_node stranger
wait_until 20 grep -q 'event=peer-refused' "$DIR/sales-1.err"
echo "refused: $?"
sleep 2
ctl sales-1 members | grep -c stranger || true
ctl stranger members | grep -c sales-1 || true
echo "refusals are logged without the token"
grep -c 'event=admin-refused' "$DIR/sales-1.err"
grep -c 'wrong-token' "$DIR/sales-1.err" || true
