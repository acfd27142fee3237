# Connections that send nothing, up to the limit of descriptors.
FDS=100
. test/crowd.sh
crowd_pair
for n in front-1 back-1; do
    echo "at $n"
    crowd "$(ip_of $n):7401" idle 200 -t 400
    # the connections to the instance are closed meanwhile
    sleep 4
    echo "beside it: $(tries small $n)"
    end_crowd
    relays_hold
done
