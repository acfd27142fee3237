/*
 * Simulates load on one service under a virtual clock. Callers offer
 * requests, several instances run them, and flow/ decides on admission,
 * queueing and the choice of instance.
 *
 * A script has one statement per line; # starts a comment:
 *
 *   instance NAME slots=N run_ms=N near=0|1
 *       Adds an instance with N slots, a mean run time of run_ms, in the
 *       zone of the callers (near=1) or in another.
 *   set NAME run_ms=N [takes=all|none]
 *       Changes the run time of an instance, or whether it accepts calls.
 *   offer rank=N per_s=N calls=N left_ms=N [again=N]
 *       Sets the load of one priority rank. Each request makes `calls` calls
 *       in series and has left_ms to finish. A request that is refused at
 *       admission is retried up to `again` times, at once.
 *   run SECONDS
 *   expect NAME rank=N >=|<= VALUE
 *       Checks a value of the last run: served or admitted (share of the
 *       offered requests), wasted (runs of requests that failed, as a share
 *       of all runs) or queue (mean length, all instances together).
 */
#include <stdlib.h>
#include <string.h>

#include "flow/flow.h"
#include "test/test.h"

#define STEP_US (1 * SP_MS)
#define MAX_INSTANCES 16
/* How often callers learn the state of the instances. */
#define STATE_DELAY_US (20 * SP_MS)
/* Run times are uniform between 0.5 and 1.5 times the mean. */
#define RUN_TIME_SPREAD 0.5

typedef struct Instance {
    SpUpstream upstream;
    SpLimiter limiter;
    SpAdmission admission;
    double run_ms;
} Instance;

typedef struct Request {
    SpLimiterReq turn; /* the limiter's entry for the current call */
    Instance *instance;
    int rank, calls_remaining, runs;
    double share;                  /* admission share of its rank on arrival */
    int64_t deadline, run_ends_at; /* run_ends_at: 0 while it is queued */
    GList node;
} Request;

typedef struct OfferedLoad {
    int rank, calls, max_retries;
    double per_s, arrivals_due;
    int64_t timeout_us;
} OfferedLoad;

typedef struct RequestCounts {
    double offered, admitted, served;
} RequestCounts;

static struct {
    Instance instances[MAX_INSTANCES];
    SpUpstream *upstreams[MAX_INSTANCES];
    int ninstances;
    OfferedLoad offered_loads[SP_MAX_RANKS];
    GQueue requests;
    int64_t now, last_report;
    SpShares shares;
    RequestCounts counts[SP_MAX_RANKS];
    double runs, wasted, queue_sum, steps;
    uint64_t rand;
} sim;

static void
end_request(Request *r, int served)
{
    if (served) {
        sim.counts[r->rank].served++;
    }
    else {
        sim.wasted += r->runs;
    }
    g_queue_unlink(&sim.requests, &r->node);
    g_free(r);
}

static void
start_run(Request *r)
{
    double f =
        1 - RUN_TIME_SPREAD + 2 * RUN_TIME_SPREAD * SpRand_Unit(&sim.rand);

    r->run_ends_at = sim.now + (int64_t)(r->instance->run_ms * f * SP_MS);
    r->runs++;
    sim.runs++;
}

/* Sends the next call of a request. Returns 0 if no instance accepts it. */
static int
send_call(Request *r)
{
    SpBalancerOpts ch = {sim.now, SpBalancer_CrossZoneCost(0, 0), NULL, 0,
                         &sim.rand};
    SpUpstream *u = SpBalancer_Pick(sim.upstreams, (guint)sim.ninstances, &ch);

    if (!u) {
        return 0;
    }
    r->instance = u->user;
    memset(&r->turn, 0, sizeof r->turn);
    r->turn.user = r;
    r->turn.rank = r->rank;
    r->turn.nested = r->runs > 0 || r->calls_remaining > 1;
    r->turn.deadline = r->deadline;
    SpUpstream_Sent(u, sim.now);
    SpAdmission_CountArrival(&r->instance->admission, r->rank, r->share);
    switch (SpLimiter_Submit(&r->instance->limiter, sim.now, &r->turn)) {
    case SP_LIMITER_RUN:
        start_run(r);
        return 1;
    case SP_LIMITER_QUEUE:
        return 1;
    case SP_LIMITER_REJECT:
        break;
    }
    SpUpstream_Ended(u, sim.now, 1);
    return 0;
}

static void
arrive(const OfferedLoad *o, int retry)
{
    Request *r;

    if (retry == 0) {
        sim.counts[o->rank].offered++;
    }
    if (SpRand_Unit(&sim.rand) >= sim.shares.of[o->rank]) {
        if (retry < o->max_retries) {
            arrive(o, retry + 1);
        }
        return;
    }
    sim.counts[o->rank].admitted++;
    r = g_new0(Request, 1);
    r->rank = o->rank;
    r->calls_remaining = o->calls;
    r->share = sim.shares.of[o->rank];
    r->deadline = sim.now + o->timeout_us;
    r->node.data = r;
    g_queue_push_tail_link(&sim.requests, &r->node);
    if (!send_call(r)) {
        end_request(r, 0);
    }
}

static void
release_instance(Request *r, int64_t ran)
{
    SpLimiter_End(&r->instance->limiter, sim.now, &r->turn, ran);
    SpUpstream_Ended(&r->instance->upstream, sim.now, 1);
    r->run_ends_at = 0;
}

static void
step_request(Request *r)
{
    if (r->run_ends_at && sim.now >= r->run_ends_at) {
        release_instance(r, (int64_t)(r->instance->run_ms * SP_MS));
        if (--r->calls_remaining == 0) {
            end_request(r, sim.now <= r->deadline);
        }
        else if (!send_call(r)) {
            end_request(r, 0);
        }
    }
    else if (sim.now > r->deadline) {
        release_instance(r, -1);
        end_request(r, 0);
    }
}

static void
step_instance(Instance *i)
{
    SpDemand others = {{0}, 0};
    SpLimiterReq *t;
    int k;

    for (k = 0; k < sim.ninstances; k++) {
        if (&sim.instances[k] != i &&
            sim.instances[k].upstream.accepts == SP_ACCEPT_ALL) {
            SpDemand_Add(&others, &sim.instances[k].admission.local);
        }
    }
    SpAdmission_Update(&i->admission, sim.now, &i->limiter, &others);
    while ((t = SpLimiter_Dequeue(&i->limiter, sim.now)) != NULL) {
        start_run(t->user);
    }
}

/* Passes the state of the instances on to the callers. */
static void
report_state(void)
{
    SpShares sum = {{0}};
    int i, k, taking = 0;

    for (i = 0; i < sim.ninstances; i++) {
        Instance *in = &sim.instances[i];
        in->upstream.busy = in->limiter.running + in->limiter.queued;
        in->upstream.in_flight_reported = in->upstream.in_flight;
        in->upstream.limit = in->limiter.limit;
        in->upstream.run_us = SpLimiter_ReportedRun(&in->limiter, sim.now);
        for (k = 0; in->upstream.accepts && k < SP_MAX_RANKS; k++) {
            sum.of[k] += in->admission.shares.of[k];
        }
        taking += in->upstream.accepts != SP_ACCEPT_NONE;
    }
    for (k = 0; k < SP_MAX_RANKS; k++) {
        sim.shares.of[k] = taking ? sum.of[k] / taking : 0;
    }
    sim.last_report = sim.now;
}

static void
step(void)
{
    GList *k, *next;
    int i;

    sim.now += STEP_US;
    for (i = 0; i < SP_MAX_RANKS; i++) {
        OfferedLoad *o = &sim.offered_loads[i];
        for (o->arrivals_due += o->per_s * STEP_US / SP_SEC;
             o->arrivals_due >= 1; o->arrivals_due--) {
            arrive(o, 0);
        }
    }
    for (k = sim.requests.head; k; k = next) {
        next = k->next;
        step_request(k->data);
    }
    for (i = 0; i < sim.ninstances; i++) {
        step_instance(&sim.instances[i]);
        sim.queue_sum += sim.instances[i].limiter.queued;
    }
    sim.steps++;
    if (sim.now - sim.last_report >= STATE_DELAY_US) {
        report_state();
    }
}

/*
 * Statements.
 */

static double
option_value(char **words, const char *name, double default_value)
{
    size_t n = strlen(name);

    for (; *words; words++) {
        if (strncmp(*words, name, n) == 0 && (*words)[n] == '=') {
            return g_ascii_strtod(*words + n + 1, NULL);
        }
    }
    return default_value;
}

static Instance *
find_instance(const char *name)
{
    int i;

    for (i = 0; i < sim.ninstances; i++) {
        if (strcmp(sim.instances[i].upstream.name, name) == 0) {
            return &sim.instances[i];
        }
    }
    return NULL;
}

static int
add_instance(char **words)
{
    Instance *i = &sim.instances[sim.ninstances];

    if (sim.ninstances == MAX_INSTANCES) {
        return 0;
    }
    sim.upstreams[sim.ninstances++] = &i->upstream;
    SpName_Set(&i->upstream.name, words[1]);
    i->upstream.user = i;
    i->upstream.accepts = SP_ACCEPT_ALL;
    i->upstream.same_zone = (int)option_value(words, "near", 1);
    i->run_ms = option_value(words, "run_ms", 20);
    SpLimiter_Init(&i->limiter);
    SpLimiter_SetSlots(&i->limiter, (int)option_value(words, "slots", 10));
    SpAdmission_Init(&i->admission);
    report_state();
    return 1;
}

static int
set_instance(char **words)
{
    Instance *i = find_instance(words[1]);

    if (!i) {
        return 0;
    }
    i->run_ms = option_value(words, "run_ms", i->run_ms);
    if (g_strv_contains((const gchar *const *)words, "takes=none")) {
        i->upstream.accepts = SP_ACCEPT_NONE;
    }
    if (g_strv_contains((const gchar *const *)words, "takes=all")) {
        i->upstream.accepts = SP_ACCEPT_ALL;
    }
    return 1;
}

static int
set_offered_load(char **words)
{
    int rank = (int)option_value(words, "rank", 0);
    OfferedLoad *o;

    if (rank < 0 || rank >= SP_MAX_RANKS) {
        return 0;
    }
    o = &sim.offered_loads[rank];
    o->rank = rank;
    o->per_s = option_value(words, "per_s", 0);
    o->calls = (int)option_value(words, "calls", 1);
    o->timeout_us = (int64_t)(option_value(words, "left_ms", 1000) * SP_MS);
    o->max_retries = (int)option_value(words, "again", 0);
    return 1;
}

static int
run_for(char **words)
{
    int64_t until =
        sim.now + (int64_t)(g_ascii_strtod(words[1], NULL) * SP_SEC);

    memset(sim.counts, 0, sizeof sim.counts);
    sim.runs = sim.wasted = sim.queue_sum = sim.steps = 0;
    while (sim.now < until) {
        step();
    }
    return 1;
}

static double
metric_value(const char *name, int rank)
{
    const RequestCounts *t = &sim.counts[CLAMP(rank, 0, SP_MAX_RANKS - 1)];

    if (strcmp(name, "served") == 0) {
        return t->offered > 0 ? t->served / t->offered : 0;
    }
    if (strcmp(name, "admitted") == 0) {
        return t->offered > 0 ? t->admitted / t->offered : 0;
    }
    if (strcmp(name, "wasted") == 0) {
        return sim.runs > 0 ? sim.wasted / sim.runs : 0;
    }
    return sim.steps > 0 ? sim.queue_sum / sim.steps : 0;
}

static int
check_expectation(char **words, const char *line)
{
    guint n = g_strv_length(words);
    double v, bound;
    int ok;

    if (n < 4) {
        return 0;
    }
    v = metric_value(words[1], (int)option_value(words, "rank", 0));
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
run_statement(const char *line)
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
        ok = add_instance(words);
    }
    else if (strcmp(words[0], "set") == 0) {
        ok = set_instance(words);
    }
    else if (strcmp(words[0], "offer") == 0) {
        ok = set_offered_load(words);
    }
    else if (strcmp(words[0], "run") == 0) {
        ok = run_for(words);
    }
    else if (strcmp(words[0], "expect") == 0) {
        ok = check_expectation(words, line);
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
    sim.rand = 1;
    g_queue_init(&sim.requests);
    lines = g_strsplit(text, "\n", -1);
    for (i = 0; ok && lines[i]; i++) {
        ok = run_statement(lines[i]);
        if (!ok) {
            fprintf(stderr, "%s:%d: invalid statement: %s\n", file, i + 1,
                    lines[i]);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return ok ? 0 : 2;
}
