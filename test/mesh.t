# A short run of spmesh: the valve configurator's relays as real processes, its
# callers and instances played, faults drawn from the seed. Each broken rule
# prints a line.
for seed in 2; do
    mkdir "$TMP/$seed"
    "$OUT/spmesh" -r "$OUT/sprelay" -S "$OUT/spstore" -p test/mesh/bfcg-mesh.mesh \
        -t platform/settings.json.tmpl -d "$TMP/$seed" -s $seed -n 20 -l 0.3 \
        -w 4 -j 4 >"$TMP/$seed.log" 2>&1
    status=$?
    grep -E '^(TWICE|REFUSED|NOT-RUN|FOREIGN) |UNASKED|ended by itself|spmesh:' "$TMP/$seed.log"
    tail -1 "$TMP/$seed.log" >&2
    echo "seed $seed: status $status"
done
