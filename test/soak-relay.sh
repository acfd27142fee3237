#!/bin/bash
# soak-relay.sh OUT FIRST LAST: runs faults.sh for each seed, reports the seeds
# that fail and keeps their logs.
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
    violations=$(TMP=$tmp/$SEED bash test/faults.sh 2>/dev/null)
    if [ -z "$violations" ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "seed $SEED: logs in $tmp/$SEED"
        echo "$violations"
        trap - EXIT # keep the logs
    fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
