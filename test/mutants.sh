#!/bin/bash
# mutants.sh: mutation test of `sptest soak`. Each mutant is a copy of the
# library with one deliberate fault, and the random schedules must fail on it.
# The script fails if a mutant passes.
set -u
cd "$(dirname "$0")/.." || exit 1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

# mutant NAME FILE SED: builds and tests one mutant; SED must change the file
mutant() {
    local src=$tmp/$1 why
    mkdir "$src"
    cp -r base conf core web call test Makefile "$src"
    sed -i -E "$3" "$src/$2"
    if cmp -s "$2" "$src/$2"; then
        echo "mutant $1: MISSED: SED changes nothing"
        return
    fi
    if ! make -s -C "$src" "CFLAGS=-std=c11 -D_GNU_SOURCE -O2" \
        out/sptest >"$src/log" 2>&1; then
        echo "mutant $1: MISSED: does not build"
        cat "$src/log"
        return
    fi
    if "$src/out/sptest" soak -n "${SCHEDULES:-1500}" >"$src/log"; then
        echo "mutant $1: MISSED"
        return
    fi
    why=$(sed -n '1s/^seed [0-9]*: //p' "$src/log")
    if [ -z "$why" ]; then
        echo "mutant $1: MISSED: soak ended without a failed schedule"
    else
        echo "mutant $1: caught: $why"
    fi
}

all() {
    mutant run-again-while-running core/run.c \
        's/case SP_KEY_RUNNING:/case SP_KEY_OTHER_REQUEST + 100:/
         s/case SP_KEY_NEW:/case SP_KEY_RUNNING: case SP_KEY_NEW:/' &
    mutant forget-on-restart core/run.c \
        's/if \(r->keyed && \(!here \|\| r->key.inc != .*$/if (r->keyed \&\& !here) {/' &
    mutant accept-older-version core/version.c \
        's/if \(number > now\) \{/if (number != now) {/' &
    mutant publish-without-compare core/version.c \
        's/number_of\(r, "replaces"\) != now/number_of(r, "replaces") < 0/' &
    mutant no-tombstone core/keys.c \
        's/k->state = SP_KEY_REFUSED;/g_queue_remove(\&ks->order, k); g_hash_table_remove(ks->by_key, k);/' &
    wait
    mutant trust-late-key core/keys.c \
        's/return SP_KEY_OUTDATED;/return SP_KEY_NEW;/' &
    mutant retry-elsewhere core/send.c \
        's/\(a.certified \|\| \(a.kind == SP_UNREACHABLE/(a.kind == SP_BROKEN || a.certified || (a.kind == SP_UNREACHABLE/' &
    mutant accept-behind-gap core/version.c \
        's/vs->gap = 1;/vs->gap = 0;/' &
    mutant uncertified-not-run core/call.c \
        's/^    settle_outcome\(r, &a\);$//; s/^settle_outcome\(/__attribute__((unused)) settle_outcome(/' &
    mutant forget-floor core/keys.c \
        's/ks->floor_ms = MAX\(.*$/(void)0;/' &
    wait
}

all | tee "$tmp/result"
missed=$(grep -c MISSED "$tmp/result")
echo "$(grep -c ': caught:' "$tmp/result") caught, $missed missed"
[ "$missed" -eq 0 ]
