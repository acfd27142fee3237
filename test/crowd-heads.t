# Heads over the limit, without end, and heads that stop short of theirs.
. test/crowd.sh
crowd_pair
for n in front-1 back-1; do
    at=$(ip_of $n):7401
    for kind in head heads; do
        echo "$kind without end at $n"
        crowd "$at" $kind 60
        echo "beside it: $(tries small $n)"
        end_crowd
        echo "closed: $(closed_some)"
        relays_hold
    done
    echo "heads over the limit, and heads that stop, at $n"
    crowd "$at" head-stop 100 -b 60000
    crowd "$at" head-stop 200 -b 4000
    echo "beside it: $(tries small $n)"
    end_crowd
    echo "closed: $(closed_some)"
    relays_hold
    echo "requests ahead, with heads of nearly the limit, at $n"
    crowd "$at" read 100 -q 60 -b 3900 -p /up/slow-1000 -r 0
    echo "beside it: $(tries small $n)"
    end_crowd
    relays_hold
done
