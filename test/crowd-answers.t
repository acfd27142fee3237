# Many clients read long answers slowly, or not at all.
. test/crowd.sh
crowd_pair
long() { code "$1" "l-$2" GET /up/size-3000; }

for n in front-1 back-1; do
    echo "in calm, a long answer at $n: $(tries long $n)"
done
for n in front-1 back-1; do
    at=$(ip_of $n):7401
    echo "not read at $n"
    crowd "$at" read 40 -p /up/size-3000 -r 0
    sleep 2
    echo "beside it: $(tries small $n)"
    end_crowd
    relays_hold
    echo "read slowly, requests ahead, at $n"
    crowd "$at" read 12 -p /up/size-3000 -r 300 -q 8
    sleep 2
    echo "beside it: $(tries small $n)"
    end_crowd
    relays_hold
done
