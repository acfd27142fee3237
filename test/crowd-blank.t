# Empty lines without end before a request.
. test/crowd.sh
crowd_pair
for n in front-1 back-1; do
    echo "empty lines at $n"
    crowd "$(ip_of $n):7401" blank 60
    echo "beside it: $(tries small $n)"
    end_crowd
    echo "closed: $(closed_some)"
    relays_hold
done
