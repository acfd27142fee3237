# Large bodies of legal size, piece by piece, that stop short of their end and
# stay open. Those of the full size keep each other out; the smaller ones
# together fill the memory.
. test/crowd.sh
crowd_pair
for n in front-1 back-1; do
    for kind in body-stop chunk-stop; do
        for bytes in $BODY_BYTES 500000; do
            echo "$kind, $bytes bytes, at $n"
            crowd "$(ip_of $n):7401" $kind 40 -b "$bytes" -w 60000 -p /write/x
            sleep 2
            echo "beside it: $(tries small $n)"
            echo "beside it, with a body of 1 MB: $(tries post $n 1000000)"
            end_crowd
            relays_hold
        done
    done
done
echo "runs of what stopped short: $(cat "$DIR"/inst-*.out | grep -c '^run id=crowd')"
