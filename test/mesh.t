# Short runs of spmesh: the valve configurator's relays as real processes, its
# callers and instances played, faults drawn from the seed, in the second run
# those of the links between relays too. Each broken rule prints a line.
# redirected.sh loads a library before that of the sanitizer
export ASAN_OPTIONS=verify_asan_link_order=0
LINKS=link-hold-in,link-hold-out,link-hold,link-delay,link-reset,link-silent

play() { # SEED [OPTIONS]
    local seed=$1
    shift
    mkdir "$TMP/$seed"
    "$OUT/spmesh" -r "$RELAY" -S "$OUT/spstore" -p test/mesh/bfcg-mesh.mesh \
        -t platform/settings.json.tmpl -d "$TMP/$seed" -s "$seed" -n 20 -l 0.3 \
        -w 4 -j 4 "$@" >"$TMP/$seed.log" 2>&1
    echo $? >"$TMP/$seed.status"
}

RELAY=$OUT/sprelay play 2 &
RELAY=test/redirected.sh play 3 -P -f $LINKS,$LINKS,kill,freeze,stop,late-rejections,config &
wait
for seed in 2 3; do
    grep -E '^(TWICE|REFUSED|NOT-RUN|FOREIGN|HELD) |UNASKED|ended by itself|spmesh:' "$TMP/$seed.log"
    tail -1 "$TMP/$seed.log" >&2
    echo "seed $seed: status $(cat "$TMP/$seed.status")"
done
