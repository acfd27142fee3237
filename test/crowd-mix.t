# All kinds of crowds at once, beside ordinary callers.
. test/crowd.sh
CROWD_S=12
crowd_pair
for n in front-1 back-1; do
    at=$(ip_of $n):7401
    echo "at $n"
    crowd "$at" read 10 -p /up/size-3000 -r 0
    crowd "$at" read 4 -p /up/size-3000 -r 300 -q 8
    crowd "$at" body-stop 10 -b $BODY_BYTES -w 60000 -p /write/x
    crowd "$at" body 10 -b $BODY_BYTES -p /up/slow-300
    crowd "$at" head 10
    crowd "$at" head-stop 30 -b 4000
    crowd "$at" blank 10
    crowd "$at" idle 100
    for i in 1 2 3; do
        sleep 1
        echo "beside it: $(tries small $n)"
    done
    end_crowd
    relays_hold
done
