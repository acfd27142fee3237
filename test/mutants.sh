#!/bin/bash
# mutants.sh: mutation test. Each mutant is a copy of the sources with one
# deliberate fault. The random schedules must fail on those of core/, the unit
# tests or a load pattern on those of flow/ and platform/, a test of the programs
# on those of relay/ and http/. The script fails if a mutant passes.
# "mutants.sh GROUP" plays one group: all, flow or programs.
set -u
cd "$(dirname "$0")/.." || exit 1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

# build_mutant NAME FILE SED [TARGETS]: SED must change the file
build_mutant() {
    local src=$tmp/$1
    mkdir "$src"
    cp -r base conf core web call flow relay http platform standin test \
        Makefile "$src"
    sed -i -E "$3" "$src/$2"
    if cmp -s "$2" "$src/$2"; then
        echo "mutant $1: MISSED: SED changes nothing"
        return 1
    fi
    # shellcheck disable=SC2086
    if ! make -s -C "$src" "CFLAGS=-std=c11 -D_GNU_SOURCE -O2" \
        ${4:-out/sptest} >"$src/log" 2>&1; then
        echo "mutant $1: MISSED: does not build"
        cat "$src/log"
        return 1
    fi
}

# mutant NAME FILE SED: builds a mutant and plays the random schedules
mutant() {
    local src=$tmp/$1 why
    build_mutant "$@" || return
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

# unit_mutant NAME FILE SED: builds a mutant and runs the unit tests and the
# load patterns
unit_mutant() {
    local src=$tmp/$1 why t
    build_mutant "$@" || return
    if ! "$src/out/sptest" unit >"$src/log" 2>&1; then
        why=$(sed -n 's/^ *Test: \(.*\) \.\.\..*FAILED.*/\1/p' "$src/log" | head -1)
        echo "mutant $1: caught: unit ${why:-test}"
        return
    fi
    for t in test/*.load; do
        if ! "$src/out/sptest" load "$t" >"$src/log" 2>&1; then
            echo "mutant $1: caught: $t"
            return
        fi
    done
    echo "mutant $1: MISSED"
}

# program_mutant NAME TEST FILE SED: builds the programs of the platform and
# runs the test
program_mutant() {
    local src=$tmp/$1
    build_mutant "$1" "$3" "$4" "out/sprelay out/spstore out/spinst" || return
    mkdir "$src/tmp"
    (
        cd "$src" || exit
        OUT=$src/out TMP=$src/tmp LC_ALL=C.UTF-8 bash "test/$2.t" 2>/dev/null |
            cmp -s - "test/$2.out"
    ) && echo "mutant $1: MISSED" && return
    echo "mutant $1: caught: test/$2.t"
}

programs() {
    program_mutant rejection-forgotten late-refusal http/pool.c \
        's/r->key == key && r->until >= now/r->key == key \&\& r->until < 0/' &
    program_mutant refusal-passed-on refused-though-run relay/run.c \
        's/return reply->refuses \? SP_BROKEN : SP_OK;/return SP_OK;/'
    program_mutant rejection-unnamed late-refusal relay/run.c \
        's/ && r.not_run && first\)/ \&\& r.not_run)/' &
    program_mutant end-of-last-page config-log relay/follow.c \
        's/t->step == STEP_FOLLOW \|\| !t->after\[0\]/1/' &
    wait
    program_mutant time-beyond-stop stop relay/attempt.c \
        's/return MIN\(c->deadline, answer_by\(c->n\)\);/return c->deadline;/' &
    program_mutant queue-not-told stop relay/stop.c \
        's/^    announce_end\(.*$//' &
    program_mutant idle-when-new stop http/server.c \
        's/CLOSE_IDLE_US \(200/CLOSE_IDLE_US (0/' &
    wait
    program_mutant slow-reader-cut stop http/server.c \
        's/if \(unsent != c->unsent\) \{/if (0) {/
         s/return unsent > 0;/return 0 * (int)unsent;/' &
    program_mutant dropped-at-once ends http/server.c \
        's/^            mark_broken\(c\);/            drop_conn(c);/' &
    program_mutant close-not-seen ends http/server.c \
        's/return poll\(&p, 1, 0\) > 0;/return poll(\&p, 1, 0) > 9;/' &
    wait
    program_mutant own-pause pause relay/sprelay.c \
        's/STALL_US \(300/STALL_US (300000/' &
    program_mutant reads-together store-silent relay/store.h \
        's/READ_SLACK_US \(600/READ_SLACK_US (2600/' &
    program_mutant parts-not-counted upload relay/link.c \
        's/if \(m->used\) \{/if (0) {/' &
    program_mutant idle-kept instance-silent relay/sprelay.c \
        's/INSTANCE_IDLE_US \(2/INSTANCE_IDLE_US (8/' &
    wait
}

flow() {
    unit_mutant retry-any-call flow/retries.c \
        's/calls_left \* \(1/0 * (1/' &
    unit_mutant retry-unbounded flow/retries.c \
        's/if \(retries \+ 1 > /if (retries < 0 \&\& 1 > /' &
    unit_mutant shares-expire flow/paths.c \
        's/SHARES_TTL_US \(10/SHARES_TTL_US (1/' &
    unit_mutant no-probe flow/paths.c 's/PROBE_US \(3/PROBE_US (3000/' &
    wait
    unit_mutant older-entry flow/directory.c \
        's/known->started_us >= m->started_us/known->started_us > m->started_us + 100/' &
    unit_mutant stale-digest flow/directory.c \
        's/^    dir->digest \^= hash_entry\(m\);//' &
    unit_mutant unreachable-counts flow/subset.c \
        's/reachable \+= !ranked\[i\]\.m->unreachable;/reachable++;/' &
    unit_mutant any-zone flow/subset.c \
        's/strcmp\(list\[i\]->zone, o->zone\) != 0/0/' &
    wait
    unit_mutant same-subset flow/subset.c \
        's/strlen\(list\[i\]->name\), self\)/strlen(list[i]->name), 0 * self)/' &
    unit_mutant demand-of-subset flow/subset.c \
        's/\(double\)known \/ chosen/known * 0.0 + 1/' &
    unit_mutant ranks-reversed flow/limiter.c \
        's/2 \* SpRank_Index\(r->rank\)/2 * (SP_MAX_RANKS - 1 - SpRank_Index(r->rank))/' &
    unit_mutant new-first flow/limiter.c \
        's/r->nested \? 0 : 1/r->nested ? 1 : 0/' &
    wait
    unit_mutant never-late flow/limiter.c \
        's/r->deadline - now < need/r->deadline < need - now/' &
    unit_mutant no-accounts flow/fairqueue.c \
        's|tag = f->account - TOLERATED / part;|tag = 0 * (f->account - TOLERATED / part);|' &
    unit_mutant accounts-unbounded flow/fairqueue.c \
        's/define MAX_AHEAD 4/define MAX_AHEAD 4e6/; s/define TOLERATED 4/define TOLERATED 0/' &
    unit_mutant pace-ignored flow/fairqueue.c \
        's/f->items \* f->gap/0 * f->gap/' &
    wait
    unit_mutant shares-alike flow/fairshare.c \
        's|CLAMP\(level / use, least, 1\)|CLAMP(level + 0 * use, least, 1)|' &
    unit_mutant ranks-not-lifted flow/fairlift.c \
        's/l\.added\[g\] = least - l\.mean\[g\]/l.added[g] = 0 * least/' &
    unit_mutant retries-of-all flow/retryparts.c \
        's/unspent > COMMON_SHARE/unspent > 0 * COMMON_SHARE/' &
    unit_mutant noise-counts flow/fairshare.c \
        's/define PRIOR 12.0/define PRIOR 0.1/; s/define BAND 1.5/define BAND 1.0/' &
    wait
    unit_mutant reals-whole relay/frame.c 's/REAL_SCALE 1000/REAL_SCALE 1/' &
    unit_mutant far-for-nothing flow/chooser.c \
        's/return u->same_zone \? cost : cost \+ \(double\)cross_zone_us;/return cost + 0 * (double)cross_zone_us;/' &
    unit_mutant read-on-too-far platform/store.c \
        's/from \+ rs->list->len/from + rs->list->len + 2/' &
    unit_mutant early-end flow/stop.c \
        's/EXIT_SLACK_US \(100/EXIT_SLACK_US (1200/' &
    unit_mutant short-prefixes flow/routes.c \
        's/MIN\(strcspn\(path, "\?"\), SP_PREFIX_BYTES\)/MIN(strcspn(path, "?"), 3)/' &
    wait
    unit_mutant any-status platform/store.c 's/m->status != 200 \|\| n </n </' &
    wait
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

{
    for group in ${1:-all flow programs}; do "$group"; done
} | tee "$tmp/result"
missed=$(grep -c MISSED "$tmp/result")
echo "$(grep -c ': caught:' "$tmp/result") caught, $missed missed"
[ "$missed" -eq 0 ]
