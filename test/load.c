/*
 * Load patterns under a virtual clock: callers, one service with several
 * instances, and the decisions of flow/ between them.
 *
 * A script has one statement a line:
 *
 *   instance NAME slots=N run_ms=N near=0|1   it joins
 *   set NAME run_ms=N [takes=all|none]        it changes
 *   offer rank=N per_s=N calls=N left_ms=N [again=N]
 *                   callers of a rank; each request makes calls runs in
 *                   series; again: times that a refused one is repeated
 *   run SECONDS
 *   expect NAME rank=N >=|<= VALUE            of the last run: served (share
 *                   of the offered), admitted, wasted (runs of requests that
 *                   failed, as a share of all runs), queue (mean)
 */
#include <stdlib.h>
#include <string.h>

#include "flow/flow.h"
#include "test/test.h"

#define STEP_US (1 * SP_MS)
#define MAX_INST 16
/* What an entry knows is this old. */
#define LAG_US (20 * SP_MS)
/* Spread of the run time: 0.5 to 1.5 of its mean. */
#define SPREAD 0.5

typedef struct Inst {
    SpUpstream up;
    SpLimiter lim;
    SpAdmission adm;
    double run_ms;
} Inst;

typedef struct Root {
    SpTurn turn; /* of its current call */
    Inst *at;
    int rank, calls_left, runs;
    double share;           /* by which it was admitted */
    int64_t deadline, ends; /* ends: of the run; 0 while it waits */
    GList node;
} Root;

typedef struct Offer {
    int rank, calls, again;
    double per_s, due;
    int64_t left_us;
} Offer;

typedef struct Tally {
    double offered, admitted, served;
} Tally;

static struct {
    Inst inst[MAX_INST];
    SpUpstream *ups[MAX_INST];
    int ninst;
    Offer offers[SP_MAX_RANKS];
    GQueue roots;
    int64_t now, shown;
    SpShares shares;
    Tally tally[SP_MAX_RANKS];
    double runs, wasted, queue, steps;
    uint64_t rand;
} w;

static void
end_root(Root *r, int served)
{
    if (served) {
        w.tally[r->rank].served++;
    }
    else {
        w.wasted += r->runs;
    }
    g_queue_unlink(&w.roots, &r->node);
    g_free(r);
}

static void
begin_run(Root *r)
{
    double f = 1 - SPREAD + 2 * SPREAD * SpRand_Unit(&w.rand);

    r->ends = w.now + (int64_t)(r->at->run_ms * f * SP_MS);
    r->runs++;
    w.runs++;
}

/* Sends the next call of a request; returns 0 if no instance takes it. */
static int
send_call(Root *r)
{
    SpChoice ch = {w.now, SpChooser_Far(0, 0), NULL, 0, &w.rand};
    SpUpstream *u = SpChooser_Pick(w.ups, (guint)w.ninst, &ch);

    if (!u) {
        return 0;
    }
    r->at = u->user;
    memset(&r->turn, 0, sizeof r->turn);
    r->turn.user = r;
    r->turn.rank = r->rank;
    r->turn.begun = r->runs > 0 || r->calls_left > 1;
    r->turn.deadline = r->deadline;
    SpUpstream_Sent(u, w.now);
    SpAdmission_Arrived(&r->at->adm, r->rank, r->share);
    switch (SpLimiter_Offer(&r->at->lim, w.now, &r->turn)) {
    case SP_TURN_RUN:
        begin_run(r);
        return 1;
    case SP_TURN_WAIT:
        return 1;
    case SP_TURN_REFUSE:
        break;
    }
    SpUpstream_Ended(u, w.now, 1);
    return 0;
}

static void
arrive(const Offer *o, int again)
{
    Root *r;

    if (again == 0) {
        w.tally[o->rank].offered++;
    }
    if (SpRand_Unit(&w.rand) >= w.shares.of[o->rank]) {
        if (again < o->again) {
            arrive(o, again + 1);
        }
        return;
    }
    w.tally[o->rank].admitted++;
    r = g_new0(Root, 1);
    r->rank = o->rank;
    r->calls_left = o->calls;
    r->share = w.shares.of[o->rank];
    r->deadline = w.now + o->left_us;
    r->node.data = r;
    g_queue_push_tail_link(&w.roots, &r->node);
    if (!send_call(r)) {
        end_root(r, 0);
    }
}

static void
leave_instance(Root *r, int64_t ran)
{
    SpLimiter_End(&r->at->lim, w.now, &r->turn, ran);
    SpUpstream_Ended(&r->at->up, w.now, 1);
    r->ends = 0;
}

static void
step_root(Root *r)
{
    if (r->ends && w.now >= r->ends) {
        leave_instance(r, (int64_t)(r->at->run_ms * SP_MS));
        if (--r->calls_left == 0) {
            end_root(r, w.now <= r->deadline);
        }
        else if (!send_call(r)) {
            end_root(r, 0);
        }
    }
    else if (w.now > r->deadline) {
        leave_instance(r, -1);
        end_root(r, 0);
    }
}

static void
step_instance(Inst *i)
{
    SpDemand others = {{0}, 0};
    SpTurn *t;
    int k;

    for (k = 0; k < w.ninst; k++) {
        if (&w.inst[k] != i && w.inst[k].up.takes == SP_TAKES_ALL) {
            SpDemand_Add(&others, &w.inst[k].adm.own);
        }
    }
    SpAdmission_Step(&i->adm, w.now, &i->lim, &others);
    while ((t = SpLimiter_Next(&i->lim, w.now)) != NULL) {
        begin_run(t->user);
    }
}

/* What the entries learn from the instances, a little late. */
static void
show(void)
{
    SpShares sum = {{0}};
    int i, k, taking = 0;

    for (i = 0; i < w.ninst; i++) {
        Inst *in = &w.inst[i];
        in->up.busy = in->lim.running + in->lim.queued;
        in->up.mine_told = in->up.mine;
        in->up.limit = in->lim.limit;
        in->up.run_us = SpLimiter_Told(&in->lim, w.now);
        for (k = 0; in->up.takes && k < SP_MAX_RANKS; k++) {
            sum.of[k] += in->adm.shares.of[k];
        }
        taking += in->up.takes != SP_TAKES_NONE;
    }
    for (k = 0; k < SP_MAX_RANKS; k++) {
        w.shares.of[k] = taking ? sum.of[k] / taking : 0;
    }
    w.shown = w.now;
}

static void
step(void)
{
    GList *k, *next;
    int i;

    w.now += STEP_US;
    for (i = 0; i < SP_MAX_RANKS; i++) {
        Offer *o = &w.offers[i];
        for (o->due += o->per_s * STEP_US / SP_SEC; o->due >= 1; o->due--) {
            arrive(o, 0);
        }
    }
    for (k = w.roots.head; k; k = next) {
        next = k->next;
        step_root(k->data);
    }
    for (i = 0; i < w.ninst; i++) {
        step_instance(&w.inst[i]);
        w.queue += w.inst[i].lim.queued;
    }
    w.steps++;
    if (w.now - w.shown >= LAG_US) {
        show();
    }
}

/*
 * Statements.
 */

static double
value_of(char **words, const char *name, double no)
{
    size_t n = strlen(name);

    for (; *words; words++) {
        if (strncmp(*words, name, n) == 0 && (*words)[n] == '=') {
            return g_ascii_strtod(*words + n + 1, NULL);
        }
    }
    return no;
}

static Inst *
find(const char *name)
{
    int i;

    for (i = 0; i < w.ninst; i++) {
        if (strcmp(w.inst[i].up.name, name) == 0) {
            return &w.inst[i];
        }
    }
    return NULL;
}

static int
do_instance(char **words)
{
    Inst *i = &w.inst[w.ninst];

    if (w.ninst == MAX_INST) {
        return 0;
    }
    w.ups[w.ninst++] = &i->up;
    g_strlcpy(i->up.name, words[1], sizeof i->up.name);
    i->up.user = i;
    i->up.takes = SP_TAKES_ALL;
    i->up.near = (int)value_of(words, "near", 1);
    i->run_ms = value_of(words, "run_ms", 20);
    SpLimiter_Init(&i->lim);
    SpLimiter_SetSlots(&i->lim, (int)value_of(words, "slots", 10));
    SpAdmission_Init(&i->adm);
    show();
    return 1;
}

static int
do_set(char **words)
{
    Inst *i = find(words[1]);

    if (!i) {
        return 0;
    }
    i->run_ms = value_of(words, "run_ms", i->run_ms);
    if (g_strv_contains((const gchar *const *)words, "takes=none")) {
        i->up.takes = SP_TAKES_NONE;
    }
    if (g_strv_contains((const gchar *const *)words, "takes=all")) {
        i->up.takes = SP_TAKES_ALL;
    }
    return 1;
}

static int
do_offer(char **words)
{
    int rank = (int)value_of(words, "rank", 0);
    Offer *o;

    if (rank < 0 || rank >= SP_MAX_RANKS) {
        return 0;
    }
    o = &w.offers[rank];
    o->rank = rank;
    o->per_s = value_of(words, "per_s", 0);
    o->calls = (int)value_of(words, "calls", 1);
    o->left_us = (int64_t)(value_of(words, "left_ms", 1000) * SP_MS);
    o->again = (int)value_of(words, "again", 0);
    return 1;
}

static int
do_run(char **words)
{
    int64_t until = w.now + (int64_t)(g_ascii_strtod(words[1], NULL) * SP_SEC);

    memset(w.tally, 0, sizeof w.tally);
    w.runs = w.wasted = w.queue = w.steps = 0;
    while (w.now < until) {
        step();
    }
    return 1;
}

static double
measured(const char *name, int rank)
{
    const Tally *t = &w.tally[CLAMP(rank, 0, SP_MAX_RANKS - 1)];

    if (strcmp(name, "served") == 0) {
        return t->offered > 0 ? t->served / t->offered : 0;
    }
    if (strcmp(name, "admitted") == 0) {
        return t->offered > 0 ? t->admitted / t->offered : 0;
    }
    if (strcmp(name, "wasted") == 0) {
        return w.runs > 0 ? w.wasted / w.runs : 0;
    }
    return w.steps > 0 ? w.queue / w.steps : 0;
}

static int
do_expect(char **words, const char *line)
{
    guint n = g_strv_length(words);
    double v, bound;
    int ok;

    if (n < 4) {
        return 0;
    }
    v = measured(words[1], (int)value_of(words, "rank", 0));
    bound = g_ascii_strtod(words[n - 1], NULL);
    ok = strcmp(words[n - 2], ">=") == 0 ? v >= bound : v <= bound;
    if (ok) {
        printf("%s: holds\n", line);
    }
    else {
        printf("%s: FAILS, %.3f\n", line, v);
    }
    return 1;
}

static int
do_line(const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    int ok = 0;

    if (!words[0] || !*words[0] || words[0][0] == '#') {
        ok = 1;
        if (words[0] && words[0][0] == '#') {
            puts(line);
        }
    }
    else if (!words[1]) {
        ok = 0;
    }
    else if (strcmp(words[0], "instance") == 0) {
        ok = do_instance(words);
    }
    else if (strcmp(words[0], "set") == 0) {
        ok = do_set(words);
    }
    else if (strcmp(words[0], "offer") == 0) {
        ok = do_offer(words);
    }
    else if (strcmp(words[0], "run") == 0) {
        ok = do_run(words);
    }
    else if (strcmp(words[0], "expect") == 0) {
        ok = do_expect(words, line);
    }
    g_strfreev(words);
    return ok;
}

int
run_load(const char *file)
{
    char *text, **lines;
    int i, ok = 1;

    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        fprintf(stderr, "sptest: cannot read %s\n", file);
        return 2;
    }
    w.rand = 1;
    g_queue_init(&w.roots);
    lines = g_strsplit(text, "\n", -1);
    for (i = 0; ok && lines[i]; i++) {
        ok = do_line(lines[i]);
        if (!ok) {
            fprintf(stderr, "%s:%d: cannot use: %s\n", file, i + 1, lines[i]);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return ok ? 0 : 2;
}
