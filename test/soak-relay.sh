#!/bin/bash
# soak-relay.sh OUT FIRST LAST: faults.sh for each seed; says which failed.
set -u
OUT=$(realpath "$1")
export OUT
cd "$(dirname "$0")/.." || exit 1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
passed=0
failed=0
for SEED in $(seq "$2" "$3"); do
    export SEED
    mkdir "$tmp/$SEED"
    broken=$(TMP=$tmp/$SEED bash test/faults.sh 2>/dev/null)
    if [ -z "$broken" ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "seed $SEED: logs in $tmp/$SEED"
        echo "$broken"
        trap - EXIT # the logs of a failure are kept
    fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
