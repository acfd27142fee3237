#!/bin/bash
# mutants.sh: build copies of the library with one deliberate fault each and
# show that the random schedules catch every one. A copy that passes fails
# this script.
set -u
cd "$(dirname "$0")/.." || exit 1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
caught=0
missed=0

# mutant NAME FILE SED: the edit must change the file
mutant() {
    rm -rf "$tmp/src"
    mkdir "$tmp/src"
    cp -r base conf core web call test Makefile "$tmp/src"
    sed -i -E "$3" "$tmp/src/$2"
    if cmp -s "$2" "$tmp/src/$2"; then
        echo "mutant $1: the edit changes nothing"
        missed=$((missed + 1))
        return
    fi
    if ! make -s -C "$tmp/src" -j8 "CFLAGS=-std=c11 -D_GNU_SOURCE -O2" \
        out/sptest >"$tmp/log" 2>&1; then
        echo "mutant $1: does not build"
        cat "$tmp/log"
        missed=$((missed + 1))
        return
    fi
    if "$tmp/src/out/sptest" soak -n "${SCHEDULES:-1500}" >"$tmp/log"; then
        echo "mutant $1: MISSED"
        missed=$((missed + 1))
    else
        echo "mutant $1: caught: $(sed -n '1s/^seed [0-9]*: //p' "$tmp/log")"
        caught=$((caught + 1))
    fi
}

mutant run-again-while-running core/run.c \
    's/case SP_KEY_RUNNING:/case SP_KEY_OTHER + 100:/; s/case SP_KEY_NEW:/case SP_KEY_RUNNING: case SP_KEY_NEW:/'
mutant forget-on-restart core/run.c \
    's/if \(r->keyed && \(!here \|\| r->key.inc != .*$/if (r->keyed \&\& !here) {/'
mutant accept-older-version core/version.c \
    's/if \(number > now\) \{/if (number != now) {/'
mutant publish-without-compare core/version.c \
    's/number_of\(r, "replaces"\) != now/number_of(r, "replaces") < 0/'
mutant no-tombstone core/keys.c \
    's/k->state = SP_KEY_NEVER;/g_hash_table_steal(ks->by_key, k); g_queue_remove(\&ks->order, k);/'
mutant trust-late-key core/keys.c \
    's/return SP_KEY_OLD;/return SP_KEY_NEW;/'
mutant retry-elsewhere core/send.c \
    's/\(a.certified \|\| \(a.kind == SP_UNREACHABLE/(a.kind == SP_BROKEN || a.certified || (a.kind == SP_UNREACHABLE/'
mutant accept-behind-gap core/version.c 's/vs->gap = 1;/vs->gap = 0;/'
mutant uncertified-not-run core/call.c \
    's/^    settle_outcome\(r, &a\);$//; s/^settle_outcome\(/__attribute__((unused)) settle_outcome(/'
mutant forget-floor core/keys.c \
    's/ks->floor_ms = MAX\(.*$/(void)0;/'

echo "$caught caught, $missed missed"
[ "$missed" -eq 0 ]
