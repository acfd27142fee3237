#!/bin/bash
# bench.sh OUT: runs overload.sh for both example meshes under each policy, then
# latency.sh. The two meshes run at the same time. SEEDS="1 2 3" runs policy
# full with each of these seeds.
set -u
HERE=$(dirname "$(realpath "$0")")
OUT=$1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

pair() { # POLICY SEED: runs both meshes, prints their result lines
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
