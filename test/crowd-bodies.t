# Many large bodies of legal size at once, whole.
. test/crowd.sh
crowd_pair
for n in front-1 back-1; do
    echo "in calm, a large body at $n: $(tries post $n $BODY_BYTES)"
done
for n in front-1 back-1; do
    for path in /up/slow-300 /write/slow-300; do
        for bytes in $BODY_BYTES 500000; do
            echo "bodies of $bytes bytes for $path at $n"
            crowd "$(ip_of $n):7401" body 40 -b "$bytes" -p $path
            sleep 1
            echo "beside it: $(tries small $n)"
            end_crowd
            relays_hold
        done
    done
done
