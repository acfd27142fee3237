# answers.sh: goes through the cases of test/answers.txt. Sourced by the tests
# of the programs, which define
#   ask METHOD NAME: sends a request for a raw answer, prints head and body

# what_came < ANSWER: the status and the body, or "broken" for a status 502
what_came() {
    tr -d '\r' | awk 'NR == 1 {status = $2} seen {body = body $0} /^$/ {seen = 1}
        END {print status == 502 ? "broken" : status "=" body}'
}

# Asks again if the answer is 503: the request has not run. After many failures
# fewer requests are admitted.
ask_admitted() { # METHOD NAME: prints what came
    local k got
    for k in $(seq 10); do
        got=$(ask "$1" "$2" | what_came)
        case $got in 503=*) sleep 0.2 ;; *) break ;; esac
    done
    echo "$got"
}

cases() { grep '^[a-z]' test/answers.txt; }

check_all() { # prints each case that came out otherwise, and counts
    local name end result bytes got method whole=0 broken=0 wrong=0
    while IFS=' ' read -r name end result bytes; do
        case $name in head-*) method=HEAD ;; *) method=GET ;; esac
        got=$(ask_admitted "$method" "$name")
        if [ "$got" != "$result" ]; then
            echo "$name: $result expected, $got came"
            wrong=$((wrong + 1))
        elif [ "$result" = broken ]; then
            broken=$((broken + 1))
        else
            whole=$((whole + 1))
        fi
    done < <(cases)
    echo "passed on: $whole, not passed on: $broken, wrong: $wrong"
}
