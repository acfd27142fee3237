/*
 * Random fault schedules for the decision library, on the simulation of
 * world.h. A schedule depends on its seed alone, so that a failure can be
 * repeated. The checks compare what callers were told with the runs that the
 * simulated instances counted.
 */
#include <getopt.h>
#include <stdlib.h>
#include <string.h>

#include "test/test.h"
#include "test/world.h"

#define TICK_US (50 * SP_MS)
#define MAX_OPS 24
#define MAX_ATTEMPTS 5
#define MAX_VERSIONS 64
#define FAULT_US (15 * SP_SEC)
#define STEP_US (250 * SP_MS)
#define SETTLE_US (60 * SP_SEC)

/* A non-idempotent operation that a caller tries until it has a result. */
typedef struct Op {
    struct Soak *s;
    char id[16];
    char key[SP_KEY_TEXT];
    int key_requests, attempts, ended;
    int64_t next_at; /* time of the next attempt; 0 while one is in progress */
    SpOutcome outcome;
    int may_have_run; /* an attempt with the current key may have run */
    int succeeded;
} Op;

typedef struct Soak {
    World *w;
    uint64_t seed;
    int verbose;
    Op ops[MAX_OPS];
    int nops;
    char version_ids[MAX_VERSIONS][SP_ID_BYTES]; /* by version number */
    int last_version[W_MAX_NODES]; /* seen in the node's current process */
    uint64_t generation[W_MAX_NODES];
    GHashTable *replaces; /* publish id -> version replaced */
    int partitioned[3];
    char *failure; /* the first failed check; NULL: none */
} Soak;

static const char *const zones[] = {"z1", "z2", "z3"};

static const char doc_format[] =
    "{\"format\": 1, \"name\": \"d%d\", \"classes\": [\"critical\","
    " \"browse\"], \"retries\": {\"per_request\": %d, \"ratio\": 0.5},"
    " \"limits\": {\"keys\": %d, \"key_ttl_ms\": 4000},"
    " \"services\": [{\"name\": \"web\", \"slots\": 2, \"connections\": 9},"
    " {\"name\": \"sales\", \"slots\": 2, \"connections\": 9,"
    "  \"queue\": 1},"
    " {\"name\": \"lots\", \"slots\": 2, \"connections\": 9,"
    "  \"queue\": 2}],"
    " \"routes\": [{\"name\": \"sell\", \"service\": \"sales\","
    " \"method\": \"POST\", \"path\": \"/sell\", \"class\": \"critical\","
    " \"idempotent\": false, \"deadline_ms\": 900},"
    " {\"name\": \"reserve\", \"service\": \"lots\", \"method\": \"POST\","
    " \"path\": \"/reserve\", \"class\": \"critical\","
    " \"idempotent\": false, \"deadline_ms\": 700}]}";

static char *
make_doc(Soak *s)
{
    return g_strdup_printf(doc_format, (int)(World_Rand(s->w) % 1000),
                           2 + (int)(World_Rand(s->w) % 7),
                           1 + (int)(World_Rand(s->w) % 10));
}

static void fail(Soak *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

static void
fail(Soak *s, const char *fmt, ...)
{
    va_list ap;

    if (s->failure) {
        return;
    }
    va_start(ap, fmt);
    s->failure = g_strdup_vprintf(fmt, ap);
    va_end(ap);
}

static void
trace(const Soak *s, const char *what, const char *who)
{
    if (s->verbose) {
        printf("%8.3f %s %s\n", (double)World_Now(s->w) / SP_SEC, what, who);
    }
}

/*
 * Simulated callers.
 */

static int
random_node(Soak *s)
{
    return (int)(World_Rand(s->w) % (unsigned)World_NodeCount(s->w));
}

static void
schedule_next_attempt(Op *op)
{
    /* one in ten comes after the key has expired at its home node (4 s) */
    int64_t us = World_RandUnit(op->s->w) < 0.1
                     ? 5 * SP_SEC
                     : (int64_t)(World_RandUnit(op->s->w) * 400) * SP_MS;

    op->next_at = World_Now(op->s->w) + us + 1;
}

static void
end_op(Op *op, SpOutcome outcome)
{
    op->ended = 1;
    op->outcome = outcome;
}

static void
on_key(void *ctx, World *w, const WResult *r)
{
    Op *op = ctx;
    char *text = g_strndup(r->body ? r->body : "", r->body_len);
    char *from = strstr(text, ": \""), *to;

    (void)w;
    to = from ? strchr(from + 3, '"') : NULL;
    if (r->status == 201 && to) {
        *to = '\0';
        g_strlcpy(op->key, from + 3, sizeof op->key);
    }
    g_free(text);
    schedule_next_attempt(op);
}

static void
on_result(void *ctx, World *w, const WResult *r)
{
    Op *op = ctx;
    char want[64];

    (void)w;
    trace(op->s, SpKind_Info(r->kind)->name, op->id);
    if (r->kind == SP_OK && r->status == 200) {
        g_snprintf(want, sizeof want, "%s /sell", op->id);
        if (r->body_len != strlen(want) ||
            memcmp(r->body, want, r->body_len) != 0) {
            fail(op->s, "%s: answer is truncated or of another request",
                 op->id);
        }
        op->succeeded = 1;
        end_op(op, SP_DONE);
        return;
    }
    if (r->outcome == SP_DONE) {
        end_op(op, SP_DONE); /* it ran and returned an error */
        return;
    }
    if (r->outcome != SP_NOT_RUN) {
        op->may_have_run = 1;
    }
    if (r->status != 0 && r->outcome == SP_NOT_RUN &&
        World_RunCount(w, op->id, "/sell") > 0) {
        fail(op->s, "%s: reported as not run (%s), but it ran", op->id,
             SpKind_Info(r->kind)->name);
    }
    if (r->outcome == SP_NOT_RUN && r->status != 0) {
        op->key[0] = '\0'; /* this key never runs, a new one is safe */
        op->may_have_run = 0;
    }
    if (op->attempts >= MAX_ATTEMPTS) {
        end_op(op, op->may_have_run ? SP_UNKNOWN : r->outcome);
        return;
    }
    schedule_next_attempt(op);
}

static void
step_op(Op *op)
{
    Soak *s = op->s;
    WCallOpts o = {.id = op->id,
                   .method = "POST",
                   .path = "/sell",
                   .timeout_ms = 900,
                   .ctx = op};

    if (op->ended || op->next_at == 0 || World_Now(s->w) < op->next_at) {
        return;
    }
    op->next_at = 0;
    if (!op->key[0]) {
        o.path = "/.sp/keys/sell";
        o.cb = on_key;
        if (++op->key_requests > 20) {
            end_op(op, SP_NOT_RUN);
            return;
        }
    }
    else {
        o.key = op->key;
        o.cb = on_result;
        op->attempts++;
    }
    World_Call(s->w, random_node(s), &o);
}

/*
 * Fault injection.
 */

static void
inject_kill(Soak *s)
{
    int i = random_node(s);

    trace(s, "kill", World_NodeName(s->w, i));
    World_Kill(s->w, i);
}

static void
inject_start(Soak *s)
{
    int i = random_node(s);

    if (!World_Core(s->w, i)) {
        trace(s, "start", World_NodeName(s->w, i));
        World_Start(s->w, i);
    }
}

static void
inject_pause(Soak *s)
{
    int i = random_node(s);

    trace(s, "pause", World_NodeName(s->w, i));
    World_SetPaused(s->w, i, 1);
}

static void
inject_resume(Soak *s)
{
    int i = random_node(s);

    trace(s, "resume", World_NodeName(s->w, i));
    World_SetPaused(s->w, i, 0);
}

static void
inject_partition(Soak *s)
{
    int i = (int)(World_Rand(s->w) % 3);

    s->partitioned[i] = !s->partitioned[i];
    trace(s, s->partitioned[i] ? "cut" : "heal", zones[i]);
    World_SetPartition(s->w, zones[i], zones[(i + 1) % 3], s->partitioned[i]);
}

static void
inject_log_fault(Soak *s)
{
    static const char *const states[] = {"up", "down", "lose"};
    const char *st = states[World_Rand(s->w) % 3];

    trace(s, "log", st);
    World_SetLogState(s->w, st);
}

static void
inject_log_trim(Soak *s)
{
    trace(s, "trim", "");
    World_TrimLog(s->w, (int)(World_Rand(s->w) % 4));
}

static void
record_publish(Soak *s, char *id, int replaces)
{
    g_hash_table_insert(s->replaces, id, GINT_TO_POINTER(replaces));
}

static void
inject_publish(Soak *s)
{
    int i = random_node(s);
    SpCore *c = World_Core(s->w, i);
    const SpVersion *v = c ? SpVersions_Current(SpCore_Versions(c)) : NULL;
    char *text;

    if (!c || !v || World_IsPaused(s->w, i)) {
        return;
    }
    trace(s, "publish", World_NodeName(s->w, i));
    text = make_doc(s);
    record_publish(s, World_Publish(s->w, i, v->number, "soak", text),
                   v->number);
    g_free(text);
}

static void
inject_instance_state(Soak *s)
{
    static const char *const states[] = {"up", "up", "silent", "leaving"};
    int i = random_node(s);

    if (World_Core(s->w, i)) {
        World_SetInstanceState(s->w, i, states[World_Rand(s->w) % 4]);
    }
}

static void
inject_leave(Soak *s)
{
    int i = random_node(s);

    trace(s, "leave", World_NodeName(s->w, i));
    World_Leave(s->w, i);
}

static void (*const faults[])(Soak *) = {
    inject_kill,    inject_start,   inject_start,          inject_pause,
    inject_resume,  inject_resume,  inject_partition,      inject_log_fault,
    inject_publish, inject_publish, inject_instance_state, inject_leave,
    inject_log_trim};

static void
set_random_message_faults(Soak *s)
{
    WFaults f = {0};

    if (World_RandUnit(s->w) < 0.7) {
        f.call_loss = World_RandUnit(s->w) * 0.1;
        f.reply_loss = World_RandUnit(s->w) * 0.2;
        f.call_duplication = World_RandUnit(s->w) * 0.6;
        f.delay_chance = World_RandUnit(s->w) * 0.2;
        f.max_delay_us = (int64_t)(World_RandUnit(s->w) * 2000) * SP_MS;
        f.gossip_loss = World_RandUnit(s->w) * 0.3;
        f.gossip_duplication = World_RandUnit(s->w) * 0.3;
    }
    World_SetFaults(s->w, &f);
}

/*
 * Checks.
 */

/* Of several publishes that replace the same version, only one may win. */
static void
check_replaced_version(Soak *s, const SpVersion *v)
{
    gpointer r = g_hash_table_lookup(s->replaces, v->id);

    if (GPOINTER_TO_INT(r) != v->number - 1) {
        fail(s, "version %d is a document published to replace version %d",
             v->number, GPOINTER_TO_INT(r));
    }
}

static void
check_versions(Soak *s)
{
    int i;

    for (i = 0; i < World_NodeCount(s->w); i++) {
        SpCore *c = World_Core(s->w, i);
        const SpVersion *v;
        if (!c || World_IsPaused(s->w, i)) {
            continue;
        }
        v = SpVersions_Current(SpCore_Versions(c));
        if (!v) {
            continue;
        }
        if (s->generation[i] == World_NodeGeneration(s->w, i) &&
            v->number < s->last_version[i]) {
            fail(s, "%s reverted from version %d to %d",
                 World_NodeName(s->w, i), s->last_version[i], v->number);
        }
        s->generation[i] = World_NodeGeneration(s->w, i);
        s->last_version[i] = v->number;
        if (v->number >= MAX_VERSIONS) {
            continue;
        }
        if (!s->version_ids[v->number][0]) {
            g_strlcpy(s->version_ids[v->number], v->id, SP_ID_BYTES);
            check_replaced_version(s, v);
        }
        else if (strcmp(s->version_ids[v->number], v->id) != 0) {
            fail(s, "two documents have version %d", v->number);
        }
    }
}

static void
show_members(const SpCore *c, const char *name)
{
    const SpMembers *ms = SpCore_Members(c);
    guint k;

    printf("members at %s:", name);
    for (k = 0; k < SpMembers_Count(ms); k++) {
        const SpMember *m = SpMembers_At(ms, k);
        printf(" %s/%" PRIx64 "/%u/%s", m->name, m->inc, m->seq,
               SpMemberState_Name(m->state));
    }
    printf("\n");
}

static void
check_convergence(Soak *s)
{
    uint64_t digest = SpMembers_Digest(SpCore_Members(World_Core(s->w, 0)));
    int i, first = 0, any = 0;

    for (i = 0; i < World_NodeCount(s->w); i++) {
        SpCore *c = World_Core(s->w, i);
        const SpVersion *v = SpVersions_Current(SpCore_Versions(c));
        int number = v ? v->number : 0;
        if (!any) {
            first = number;
            any = 1;
        }
        if (number != first) {
            fail(s, "after recovery %s has version %d, %s has %d",
                 World_NodeName(s->w, i), number, World_NodeName(s->w, 0),
                 first);
        }
        if (s->verbose) {
            show_members(c, World_NodeName(s->w, i));
        }
        if (SpMembers_Digest(SpCore_Members(c)) != digest) {
            fail(s, "after recovery %s has a different member list",
                 World_NodeName(s->w, i));
        }
        if (!SpCore_Idle(c)) {
            fail(s, "after recovery %s still has open requests",
                 World_NodeName(s->w, i));
        }
    }
}

static void
check_ops(Soak *s)
{
    int i;

    for (i = 0; i < s->nops; i++) {
        const Op *op = &s->ops[i];
        int runs = World_RunCount(s->w, op->id, "/sell");
        if (op->ended && op->outcome == SP_NOT_RUN && runs > 0) {
            fail(s, "%s: ended as not run, but it ran", op->id);
        }
        if (op->succeeded && runs != 1) {
            fail(s, "%s: succeeded, but ran %d times", op->id, runs);
        }
    }
    if (World_DuplicateRuns(s->w)) {
        fail(s, "%d duplicate runs", World_DuplicateRuns(s->w));
    }
    if (World_MismatchedAnswers(s->w)) {
        fail(s, "%d answers truncated or of another request",
             World_MismatchedAnswers(s->w));
    }
}

/*
 * Schedules.
 */

static void
set_up(Soak *s)
{
    static const char *const services[] = {"web", "sales", "lots", "sales",
                                           "lots"};
    int n = 3 + (int)(World_Rand(s->w) % 3), i;
    char name[8], *text;

    for (i = 0; i < n; i++) {
        g_snprintf(name, sizeof name, "n%d", i + 1);
        World_Node(s->w, name, services[i], zones[World_Rand(s->w) % 3],
                   1 + (int)(World_Rand(s->w) % 2));
    }
    World_SetWorkTime(s->w, "/sell", 20);
    World_Child(s->w, "/sell", "POST", "/reserve");
    World_Run(s->w, 3 * SP_SEC);
    text = make_doc(s);
    record_publish(s, World_Publish(s->w, 0, 0, "first", text), 0);
    g_free(text);
    World_Run(s->w, 5 * SP_SEC);
}

static void
heal(Soak *s)
{
    WFaults none = {0};
    int i;

    World_SetFaults(s->w, &none);
    World_SetLogState(s->w, "up");
    for (i = 0; i < 3; i++) {
        if (s->partitioned[i]) {
            World_SetPartition(s->w, zones[i], zones[(i + 1) % 3], 0);
        }
    }
    for (i = 0; i < World_NodeCount(s->w); i++) {
        World_SetPaused(s->w, i, 0);
        if (World_Core(s->w, i)) {
            World_SetInstanceState(s->w, i, "up");
        }
        else {
            World_Start(s->w, i);
        }
    }
}

static void
step(Soak *s, int64_t us)
{
    int64_t end = World_Now(s->w) + us;
    int i;

    while (World_Now(s->w) < end && !s->failure) {
        for (i = 0; i < s->nops; i++) {
            step_op(&s->ops[i]);
        }
        World_Run(s->w, 20 * SP_MS);
        check_versions(s);
    }
}

static void
schedule_ops(Soak *s)
{
    int i;

    double span =
        World_RandUnit(s->w) < 0.4 ? 0.02 : 1; /* a burst, or spread out */
    double from = World_RandUnit(s->w) * (1 - span);

    s->nops = 6 + (int)(World_Rand(s->w) % (MAX_OPS - 6));
    for (i = 0; i < s->nops; i++) {
        Op *op = &s->ops[i];
        op->s = s;
        g_snprintf(op->id, sizeof op->id, "op%d", i);
        op->next_at =
            World_Now(s->w) + 1 +
            (int64_t)((from + World_RandUnit(s->w) * span) * (double)FAULT_US);
    }
}

/* Results of the operations of all schedules. */
static struct {
    int succeeded, not_run, unknown, failed;
} outcome_counts;

static void
count_ops(const Soak *s)
{
    int i;

    for (i = 0; i < s->nops; i++) {
        const Op *op = &s->ops[i];
        if (op->succeeded) {
            outcome_counts.succeeded++;
        }
        else if (!op->ended || op->outcome == SP_UNKNOWN) {
            outcome_counts.unknown++;
        }
        else if (op->outcome == SP_NOT_RUN) {
            outcome_counts.not_run++;
        }
        else {
            outcome_counts.failed++;
        }
    }
}

static char *
run_schedule(uint64_t seed, int verbose)
{
    Soak *s = g_new0(Soak, 1);
    double rate;
    char *failure;

    s->seed = seed;
    s->verbose = verbose;
    s->w = World_New(seed, TICK_US);
    s->replaces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    set_up(s);
    schedule_ops(s);
    set_random_message_faults(s);
    rate = 0.1 + 0.5 * World_RandUnit(s->w);
    int64_t end = World_Now(s->w) + FAULT_US;
    while (World_Now(s->w) < end && !s->failure) {
        if (World_RandUnit(s->w) < rate) {
            faults[World_Rand(s->w) % G_N_ELEMENTS(faults)](s);
        }
        step(s, STEP_US);
    }
    heal(s);
    step(s, SETTLE_US);
    check_ops(s);
    check_convergence(s);
    failure = s->failure;
    count_ops(s);
    World_Free(s->w);
    g_hash_table_destroy(s->replaces);
    g_free(s);
    return failure;
}

int
run_soak(int argc, char **argv)
{
    uint64_t seed = 1;
    int n = 300, verbose = 0, bad = 0, c, i;
    char *failure;

    while ((c = getopt(argc, argv, "s:n:v")) != -1) {
        if (c == 's') {
            seed = g_ascii_strtoull(optarg, NULL, 10);
        }
        else if (c == 'n') {
            n = atoi(optarg);
        }
        else if (c == 'v') {
            verbose = 1;
        }
        else {
            return 2;
        }
    }
    for (i = 0; i < n; i++) {
        failure = run_schedule(seed + (uint64_t)i, verbose);
        if (failure) {
            printf("seed %" PRIu64 ": %s\n  again: sptest soak -s %" PRIu64
                   " -n 1 -v\n",
                   seed + (uint64_t)i, failure, seed + (uint64_t)i);
            g_free(failure);
            bad++;
        }
    }
    printf("soak: %d schedules from seed %" PRIu64 ", %d failed\n", n, seed,
           bad);
    printf("soak: whole=%d failed=%d not_run=%d unknown=%d\n",
           outcome_counts.succeeded, outcome_counts.failed,
           outcome_counts.not_run, outcome_counts.unknown);
    return bad ? 1 : 0;
}
