# Short runs of spmesh: the valve configurator's relays as real processes, its
# callers and instances played, faults drawn from the seed, in the second run
# those of the links between relays too, in the third those of workspaces and
# their keys. Each broken rule prints a line.
# redirected.sh loads a library before that of the sanitizer
export ASAN_OPTIONS=verify_asan_link_order=0
LINKS=link-hold-in,link-hold-out,link-hold,link-delay,link-reset,link-silent
GROWN=keys,keys,flood,hang-full,uneven,shift

play() { # SEED PLAN [OPTIONS]
    local seed=$1 plan=$2
    shift 2
    mkdir "$TMP/$seed"
    "$OUT/spmesh" -r "$RELAY" -S "$OUT/spstore" -p "test/mesh/$plan.mesh" \
        -t platform/settings.json.tmpl -d "$TMP/$seed" -s "$seed" -n 20 -l 0.3 \
        -w 4 -j 4 "$@" >"$TMP/$seed.log" 2>&1
    echo $? >"$TMP/$seed.status"
}

RELAY=$OUT/sprelay play 2 bfcg-mesh &
RELAY=test/redirected.sh play 3 bfcg-mesh -P -f $LINKS,$LINKS,kill,freeze,stop,late-rejections,config &
RELAY=$OUT/sprelay play 4 workspaces -n 15 -f $GROWN,$GROWN,kill,freeze,stop,late-rejections,store &
wait
for seed in 2 3 4; do
    grep -E '^(TWICE|REFUSED|NOT-RUN|FOREIGN|HELD|QUOTA|ROUTE|DENIED|STALE) |UNASKED |ended by itself|spmesh:' "$TMP/$seed.log"
    tail -1 "$TMP/$seed.log" >&2
    echo "seed $seed: status $(cat "$TMP/$seed.status")"
done
echo "logs with a key: $(grep -l 'spmesh-[0-9]*-[0-9]' "$TMP"/4/*.log | wc -l)"
