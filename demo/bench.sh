#!/bin/bash
# bench.sh OUT: both deployments under each policy, then latency and memory.
# Two meshes run at a time. SEEDS="1 2 3" takes more seeds for policy full.
set -u
HERE=$(dirname "$(realpath "$0")")
OUT=$1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

pair() { # POLICY SEED
    "$HERE/overload.sh" "$OUT" resale "$1" "$2" >"$tmp/resale" 2>&1 &
    local one=$!
    "$HERE/overload.sh" "$OUT" valve "$1" "$2" >"$tmp/valve" 2>&1 &
    wait $one $!
    grep -h ^result "$tmp/resale" "$tmp/valve"
}

for seed in ${SEEDS:-1}; do pair full "$seed"; done
pair hop 1
pair none 1
"$HERE/latency.sh" "$OUT" 500 20
