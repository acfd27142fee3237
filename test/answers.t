# Answers of an instance that are broken by the rules of HTTP/1.1 reach no
# caller, and legal ones do (test/answers.txt). A request whose answer is broken
# may have run: it is not sent again if it isn't idempotent, and its caller is
# not told that it has not run.
BODY_BYTES=16000000
. test/fleet.sh
. test/answers.sh

node front-1 front
node back-1 back -a test/answers.txt
publish 00000001 "$(route once /once/ unsafe 2 0 back)" >/dev/null
until_ok 10 served front-1 warm GET /once/x

echo "one request at a time:"
ask() { send front-1 "$2" "$1" "/once/raw-$2"; }
check_all
echo "run once: $(cases | while read -r name _; do runs "$name"; done | grep -c '^1$')"

echo "early, during a long upload:"
ask() { # ID NAME
    {
        printf 'POST /once/early/raw-%s HTTP/1.1\r\nhost: h.example\r\nSiskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 3000\r\nconnection: close\r\ncontent-length: 8000000\r\n\r\n' \
            "$2" "$1"
        head -c 8000000 /dev/zero
    } | raw "$(ip_of front-1):7401" 4
}
early() { # NAME RESULT: asks twenty times
    local k got wrong=0
    for k in $(seq 20); do
        got=$(ask_admitted "early-$1-$k" "$1")
        [ "$got" = "$2" ] || wrong=$((wrong + 1))
    done
    echo "$1: $2 expected, wrong: $wrong of 20"
}
early plain 200=hello
early length-whole-close 200=hello
early length-cut-reset broken
early length-cut-close broken
early chunked 200=hello
early chunked-cut-reset broken
early status-404 404=hello
early interim-100 200=hello
early end-close 200=hello
early end-leave 200=hello
early end-reset broken
early end-reset-empty broken
early end-reset-stated broken
echo "run once: $(for n in $(grep -o 'id=early-[^ ]*' "$DIR/inst-back-1.out" | sort -u); do
    runs "${n#id=}"; done | sort | uniq -c | tr -s ' ')"
echo "an ordinary request: $(code front-1 last GET /once/x)"
