#!/bin/bash
# run.sh OUT: all tests. Each test/*.t is a script whose output must equal
# its .out; *.sp scenarios and *.load patterns drive the decisions.
set -u
shopt -s nullglob
OUT=$(realpath "$1")
cd "$(dirname "$0")/.." || exit 1
export OUT LC_ALL=C.UTF-8
passed=0
failed=0
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)

note() { # NAME STATUS
    if [ "$2" -eq 0 ]; then
        passed=$((passed + 1))
    elif grep -qxF "$1" <<<"$red"; then
        echo "known red: $1"
    else
        echo "FAILED: $1"
        failed=$((failed + 1))
    fi
}

tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

"$OUT/sptest" unit >"$tmp/unit" 2>&1
status=$?
grep -E '^ +(Suite|Test):.*FAILED|^ +[0-9]+\. ' "$tmp/unit"
note unit $status

"$OUT/sptest" soak -n "${SCHEDULES:-300}" >"$tmp/soak" 2>&1
status=$?
[ $status -eq 0 ] || cat "$tmp/soak"
note soak $status

# decisions VERB FILE: sptest's output for a file against the .out beside it
decisions() {
    "$OUT/sptest" "$1" "$2" >"$tmp/got" 2>"$tmp/err"
    status=$?
    cat "$tmp/err"
    if [ $status -eq 0 ]; then
        diff -u "${2%.*}.out" "$tmp/got"
        status=$?
    fi
    note "$2" $status
}
for t in test/*.sp; do decisions run "$t"; done
for t in test/*.load; do decisions load "$t"; done

for t in test/*.t; do
    TMP="$tmp/$(basename "$t")"
    mkdir "$TMP"
    export TMP
    bash "$t" >"$tmp/got" 2>"$tmp/err"
    status=$?
    diff -u "${t%.t}.out" "$tmp/got" || status=1
    [ $status -eq 0 ] || cat "$tmp/err"
    note "$t" $status
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
