/*
 * spload: an open-loop load generator for experiments.
 *
 * Calls start at the times of a Poisson process whose rate changes in steps,
 * independently of the completion of earlier calls. Each response is checked
 * to be complete and to belong to its request. At given times spload sends
 * the simulators and nodes requests that set faults. The report has counts by
 * class, phase and window.
 */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "call/call.h"
#include "conf/conf.h"

#define MAX_MIX 16
#define MAX_STEPS 32
#define MAX_PHASES 8
#define MAX_EVENTS 16
#define MAX_WINDOWS 4096
#define MAX_SAMPLES (1 << 20)
/* Longest wait for outstanding calls after the last step. */
#define TAIL_MS 12000
#define RECOVERED_SHARE 0.99

/* A kind of call, chosen with a probability in proportion to its weight. */
typedef struct Mix {
    char name[SP_NAME_BYTES];
    char method[16];
    char path[SP_PATH_BYTES];
    char route[SP_NAME_BYTES]; /* of a non-idempotent route; else "" */
    char class[SP_NAME_BYTES];
    double weight;
    int body_bytes;
    char contacts[64][SP_ADDR_BYTES];
    int ncontacts;
    SpCaller *caller;
    uint64_t sent, complete, attempts;
    float *ms; /* latencies of complete responses */
    size_t nsamples;
} Mix;

typedef struct Step {
    double seconds, rate;
} Step;

typedef struct Phase {
    char name[SP_NAME_BYTES];
    int from_ms, to_ms;
    uint64_t sent[MAX_MIX], complete[MAX_MIX];
    double busy_us, wasted_us; /* slot time: of all, and of failed requests */
} Phase;

/* A request to a simulator or a node at a given time. */
typedef struct Event {
    int at_ms;
    char addr[SP_ADDR_BYTES];
    char path[SP_PATH_BYTES];
    char token[128];
    char *body;
    int fired;
} Event;

/* Calls that started in a window; first_*: those of the class of mix[0]. */
typedef struct Window {
    uint32_t sent, complete, first_sent, first_complete;
} Window;

static struct {
    Mix mix[MAX_MIX];
    int nmix;
    Step steps[MAX_STEPS];
    int nsteps;
    Phase phases[MAX_PHASES];
    int nphases;
    Event events[MAX_EVENTS];
    int nevents;
    char control[SP_ADDR_BYTES];
    int retries, wait_ms, honor_retry_after, timeout_ms, window_ms,
        trigger_end_ms, seed;
    Window windows[MAX_WINDOWS];
    GHashTable *phase;   /* id -> number of its phase, from 1 */
    GHashTable *failed;  /* ids of calls without a complete response */
    GHashTable *kinds;   /* kind -> count */
    GHashTable *ran;     /* "id path" -> runs, as counted by spup */
    GHashTable *not_run; /* ids of calls that ended with outcome "not-run" */
    uint64_t sent, ended, complete, foreign, truncated, ended_not_run,
        false_not_run;
    uint64_t double_runs;
    double busy_us, wasted_us;
    int64_t started_at;
    double next_at; /* us since started_at */
    uint64_t rand, ids;
    int done;
    uv_loop_t *loop;
    SpWeb *web;
    uv_timer_t tick;
    const char *series;
    int pending_fetches;
} ld = {.wait_ms = 50, .timeout_ms = 2000, .window_ms = 250, .seed = 1};

typedef struct PendingCall {
    Mix *m;
    char id[32];
    int64_t at_us; /* since started_at */
} PendingCall;

/*
 * Settings.
 */

#define OFF(t, m) offsetof(t, m)

static void
read_contacts(const SpField *f, const json_t *v, void *dst, const char *place,
              SpProblems *ps)
{
    static const SpField addr = {NULL, NULL, 0, 0, 0, 0, SP_ADDR_BYTES, NULL};
    Mix *m = dst;
    size_t i;

    (void)f;
    m->ncontacts = (int)MIN(json_array_size(v), 64);
    for (i = 0; i < (size_t)m->ncontacts; i++) {
        SpRead_Addr(&addr, json_array_get(v, i), m->contacts[i], place, ps);
    }
}

static void
read_body(const SpField *f, const json_t *v, void *dst, const char *place,
          SpProblems *ps)
{
    Event *e = dst;

    (void)f;
    (void)place;
    (void)ps;
    e->body = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
}

static const SpField mix_fields[] = {
    {"name", SpRead_Name, OFF(Mix, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"method", SpRead_Str, OFF(Mix, method), 1, 0, 0, 16, NULL},
    {"path", SpRead_Str, OFF(Mix, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"route", SpRead_Name, OFF(Mix, route), 0, 0, 0, SP_NAME_BYTES, NULL},
    {"class", SpRead_Name, OFF(Mix, class), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"weight", SpRead_Real, OFF(Mix, weight), 1, 0, 1e6, 0, NULL},
    {"body_bytes", SpRead_Int, OFF(Mix, body_bytes), 0, 0, 1 << 20, 0, NULL},
    {"contacts", read_contacts, 0, 1, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField step_fields[] = {
    {"seconds", SpRead_Real, OFF(Step, seconds), 1, 0, 3600, 0, NULL},
    {"rate", SpRead_Real, OFF(Step, rate), 1, 0, 1e6, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField phase_fields[] = {
    {"name", SpRead_Name, OFF(Phase, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"from_ms", SpRead_Int, OFF(Phase, from_ms), 1, 0, 1e9, 0, NULL},
    {"to_ms", SpRead_Int, OFF(Phase, to_ms), 1, 0, 1e9, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField event_fields[] = {
    {"at_ms", SpRead_Int, OFF(Event, at_ms), 1, 0, 1e9, 0, NULL},
    {"addr", SpRead_Addr, OFF(Event, addr), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"path", SpRead_Str, OFF(Event, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"token", SpRead_Str, OFF(Event, token), 0, 0, 0, 128, NULL},
    {"body", read_body, 0, 0, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

/* read_rows reads a list into an array of f->hi elements of f->size bytes. */
static void
read_rows(const SpField *f, const json_t *v, void *dst, const char *place,
          SpProblems *ps)
{
    char sub[64];
    size_t i;

    for (i = 0; i < json_array_size(v) && i < (size_t)f->hi; i++) {
        g_snprintf(sub, sizeof sub, "%s[%zu]", place, i);
        SpFields_Read(f->sub, json_array_get(v, i), (char *)dst + i * f->size,
                      sub, ps);
    }
}

#define LD(m) ((size_t)((char *)&ld.m - (char *)&ld))

static int
load_settings(const char *file)
{
    const SpField top[] = {
        {"mix", read_rows, LD(mix), 1, 0, MAX_MIX, sizeof(Mix), mix_fields},
        {"steps", read_rows, LD(steps), 1, 0, MAX_STEPS, sizeof(Step),
         step_fields},
        {"phases", read_rows, LD(phases), 0, 0, MAX_PHASES, sizeof(Phase),
         phase_fields},
        {"events", read_rows, LD(events), 0, 0, MAX_EVENTS, sizeof(Event),
         event_fields},
        {"control", SpRead_Addr, LD(control), 0, 0, 0, SP_ADDR_BYTES, NULL},
        {"retries", SpRead_Int, LD(retries), 0, 0, 100, 0, NULL},
        {"wait_ms", SpRead_Int, LD(wait_ms), 0, 0, 60000, 0, NULL},
        {"obey", SpRead_Bool, LD(honor_retry_after), 0, 0, 0, 0, NULL},
        {"timeout_ms", SpRead_Int, LD(timeout_ms), 0, 1, 600000, 0, NULL},
        {"window_ms", SpRead_Int, LD(window_ms), 0, 10, 10000, 0, NULL},
        {"trigger_end_ms", SpRead_Int, LD(trigger_end_ms), 0, 0, 1e9, 0, NULL},
        {"seed", SpRead_Int, LD(seed), 0, 0, 1e9, 0, NULL},
        {NULL, NULL, 0, 0, 0, 0, 0, NULL}};
    SpProblems *ps = SpProblems_New();
    json_t *j = SpJson_LoadFile(file, ps);
    int ok;

    if (j) {
        SpFields_Read(top, j, &ld, "", ps);
        ld.nmix = (int)json_array_size(json_object_get(j, "mix"));
        ld.nsteps = (int)json_array_size(json_object_get(j, "steps"));
        ld.nphases = (int)json_array_size(json_object_get(j, "phases"));
        ld.nevents = (int)json_array_size(json_object_get(j, "events"));
        json_decref(j);
    }
    SpProblems_Print(ps, "spload", file, stderr);
    ok = SpProblems_Count(ps) == 0;
    SpProblems_Free(ps);
    return ok;
}

/*
 * Calls.
 */

static int
has_class_of_first_mix(const Mix *m)
{
    return strcmp(m->class, ld.mix[0].class) == 0;
}

static Window *
window_at(int64_t us)
{
    int64_t i = us / (ld.window_ms * SP_MS);

    return &ld.windows[CLAMP(i, 0, MAX_WINDOWS - 1)];
}

/* Reports whether a response of spup is complete, has a correct checksum and
   belongs to this request. */
static int
is_complete(const PendingCall *s, const SpCallResult *r)
{
    static const char tail[] = "\"sum\": \"";
    const char *sum;
    char expected[64], hex[20];
    size_t n = strlen(tail);

    if (r->status != 200) {
        return 0;
    }
    g_snprintf(expected, sizeof expected, "{\"id\": \"%s\",", s->id);
    if (r->body_len < 64 || memcmp(r->body, expected, strlen(expected)) != 0) {
        ld.foreign++;
        return 0;
    }
    sum = g_strrstr_len(r->body, (gssize)r->body_len, tail);
    if (!sum || (size_t)(sum - r->body) + n + 19 != r->body_len) {
        ld.truncated++;
        return 0;
    }
    g_snprintf(hex, sizeof hex, "%016" PRIx64,
               SpHash(r->body, (size_t)(sum - r->body) + n, 0));
    if (memcmp(hex, sum + n, 16) != 0) {
        ld.truncated++;
        return 0;
    }
    return 1;
}

static void
count_kind(const char *kind)
{
    uint64_t *n = g_hash_table_lookup(ld.kinds, kind);

    if (!n) {
        n = g_new0(uint64_t, 1);
        g_hash_table_insert(ld.kinds, g_strdup(kind), n);
    }
    (*n)++;
}

static void
count_phase(const PendingCall *s, int complete)
{
    int i, k = (int)(s->m - ld.mix);
    int64_t ms = s->at_us / SP_MS;

    for (i = 0; i < ld.nphases; i++) {
        Phase *p = &ld.phases[i];
        if (ms >= p->from_ms && ms < p->to_ms) {
            g_hash_table_insert(ld.phase, g_strdup(s->id),
                                GINT_TO_POINTER(i + 1));
            p->sent[k]++;
            p->complete[k] += (uint64_t)complete;
        }
    }
}

static void
on_result(void *data, const SpCallResult *r)
{
    PendingCall *s = data;
    Mix *m = s->m;
    Window *w = window_at(s->at_us);
    int complete = is_complete(s, r);

    ld.ended++;
    ld.complete += (uint64_t)complete;
    m->complete += (uint64_t)complete;
    m->attempts += (uint64_t)r->attempts;
    w->complete += (uint32_t)complete;
    w->first_complete += (uint32_t)(complete && has_class_of_first_mix(m));
    count_phase(s, complete);
    if (complete) {
        if (m->nsamples < MAX_SAMPLES) {
            m->ms[m->nsamples++] = (float)r->duration_us / 1000;
        }
    }
    else {
        count_kind(r->status == 200 ? "not-whole" : r->kind);
        g_hash_table_add(ld.failed, g_strdup(s->id));
        if (r->outcome == SP_NOT_RUN) {
            ld.ended_not_run++;
            g_hash_table_add(ld.not_run, g_strdup(s->id));
        }
    }
    g_free(s);
}

static Mix *
choose_mix(void)
{
    double sum = 0, u;
    int i;

    for (i = 0; i < ld.nmix; i++) {
        sum += ld.mix[i].weight;
    }
    u = SpRand_Unit(&ld.rand) * sum;
    for (i = 0; i < ld.nmix - 1 && u >= ld.mix[i].weight; i++) {
        u -= ld.mix[i].weight;
    }
    return &ld.mix[i];
}

static void
send_one(int64_t at_us)
{
    static char body[1 << 20];
    Mix *m = choose_mix();
    PendingCall *s = g_new0(PendingCall, 1);
    Window *w = window_at(at_us);
    SpCallRequest c = {.method = m->method,
                       .path = m->path,
                       .route = m->route[0] ? m->route : NULL,
                       .id = s->id,
                       .body = body,
                       .body_len = (size_t)m->body_bytes,
                       .timeout_ms = ld.timeout_ms,
                       .cb = on_result,
                       .data = s};

    s->m = m;
    s->at_us = at_us;
    g_snprintf(s->id, sizeof s->id, "r%d-%" PRIu64, ld.seed, ++ld.ids);
    ld.sent++;
    m->sent++;
    w->sent++;
    w->first_sent += (uint32_t)has_class_of_first_mix(m);
    SpCaller_Call(m->caller, &c);
}

static double
rate_at(double us)
{
    double t = 0;
    int i;

    for (i = 0; i < ld.nsteps; i++) {
        t += ld.steps[i].seconds * SP_SEC;
        if (us < t) {
            return ld.steps[i].rate;
        }
    }
    return 0;
}

/*
 * Events.
 */

static void
on_event_response(void *data, const SpFetchResult *f)
{
    const Event *e = data;

    if (f->end != SP_FETCH_OK || f->status >= 300) {
        fprintf(stderr, "spload: event %s%s: status %d\n", e->addr, e->path,
                f->status);
    }
}

static void
send_event(Event *e)
{
    char auth[160];
    SpHeader hs[1] = {{"authorization", auth}};
    SpFetchOpts o = {.addr = e->addr,
                     .method = "POST",
                     .path = e->path,
                     .headers = hs,
                     .nheaders = 1,
                     .body = e->body,
                     .body_len = e->body ? strlen(e->body) : 0,
                     .timeout_ms = 5000,
                     .cb = on_event_response,
                     .data = e};

    e->fired = 1;
    g_snprintf(auth, sizeof auth, "Bearer %s", e->token);
    SpWeb_Fetch(ld.web, &o);
}

/*
 * Report.
 */

static int
compare_float(const void *a, const void *b)
{
    float x = *(const float *)a, y = *(const float *)b;

    return (x > y) - (x < y);
}

static double
quantile(const Mix *m, double q)
{
    return m->nsamples ? m->ms[(size_t)(q * (double)(m->nsamples - 1))] : 0;
}

static double
share(uint64_t a, uint64_t b)
{
    return b ? (double)a / (double)b : 1;
}

static void
report_phases(void)
{
    int i, k;

    for (i = 0; i < ld.nphases; i++) {
        const Phase *p = &ld.phases[i];
        double secs = (p->to_ms - p->from_ms) / 1000.0;
        for (k = 0; k < ld.nmix; k++) {
            printf("phase=%s mix=%s class=%s sent=%" PRIu64 " whole=%" PRIu64
                   " share=%.4f goodput=%.1f\n",
                   p->name, ld.mix[k].name, ld.mix[k].class, p->sent[k],
                   p->complete[k], share(p->complete[k], p->sent[k]),
                   (double)p->complete[k] / secs);
        }
        printf("phase_work=%s busy_ms=%.0f wasted=%.4f\n", p->name,
               p->busy_us / 1000,
               p->busy_us > 0 ? p->wasted_us / p->busy_us : 0);
    }
}

/* Prints the time from the end of the trigger until at least RECOVERED_SHARE
   of the calls in every later window get a complete response; "never" if one
   of the last two windows is below that share. */
static void
report_recovery(void)
{
    int last = (int)(ld.next_at / SP_MS) / ld.window_ms;
    int first = ld.trigger_end_ms / ld.window_ms, bad = first - 1, i;

    if (!ld.trigger_end_ms) {
        return;
    }
    for (i = first; i < last && i < MAX_WINDOWS; i++) {
        const Window *w = &ld.windows[i];
        if (w->sent && share(w->complete, w->sent) < RECOVERED_SHARE) {
            bad = i;
        }
    }
    if (bad >= last - 2) {
        printf("recovery_ms=never\n");
        return;
    }
    printf("recovery_ms=%d\n", (bad + 1) * ld.window_ms - ld.trigger_end_ms);
}

static void
report_series(void)
{
    FILE *f = ld.series ? fopen(ld.series, "w") : NULL;
    int i, last = (int)(ld.next_at / SP_MS) / ld.window_ms;

    if (!f) {
        return;
    }
    for (i = 0; i <= last && i < MAX_WINDOWS; i++) {
        const Window *w = &ld.windows[i];
        fprintf(f, "ms=%d sent=%u whole=%u first_sent=%u first_whole=%u\n",
                i * ld.window_ms, w->sent, w->complete, w->first_sent,
                w->first_complete);
    }
    fclose(f);
}

static void
report(void)
{
    GHashTableIter it;
    gpointer k, v;
    int i;

    for (i = 0; i < ld.nmix; i++) {
        Mix *m = &ld.mix[i];
        qsort(m->ms, m->nsamples, sizeof m->ms[0], compare_float);
        printf("mix=%s class=%s sent=%" PRIu64 " whole=%" PRIu64
               " share=%.4f attempts=%" PRIu64 " p50_ms=%.2f p90_ms=%.2f"
               " p99_ms=%.2f max_ms=%.2f\n",
               m->name, m->class, m->sent, m->complete,
               share(m->complete, m->sent), m->attempts, quantile(m, 0.5),
               quantile(m, 0.9), quantile(m, 0.99), quantile(m, 1));
    }
    report_phases();
    report_recovery();
    g_hash_table_iter_init(&it, ld.kinds);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        printf("refused kind=%s count=%" PRIu64 "\n", (char *)k,
               *(uint64_t *)v);
    }
    if (ld.control[0]) {
        printf("work_ms=%.0f wasted_ms=%.0f wasted=%.4f\n", ld.busy_us / 1000,
               ld.wasted_us / 1000,
               ld.busy_us > 0 ? ld.wasted_us / ld.busy_us : 0);
    }
    printf("sent=%" PRIu64 " ended=%" PRIu64 " whole=%" PRIu64
           " refused=%" PRIu64 " foreign=%" PRIu64 " truncated=%" PRIu64
           " double_runs=%" PRIu64 " false_not_run=%" PRIu64 "\n",
           ld.sent, ld.ended, ld.complete, ld.ended - ld.complete, ld.foreign,
           ld.truncated, ld.double_runs, ld.false_not_run);
    report_series();
}

/*
 * Counts kept by spup.
 */

static void
on_fetch_done(void)
{
    if (--ld.pending_fetches == 0) {
        uv_stop(ld.loop);
    }
}

static void
count_work(const char *id, double us)
{
    int i = GPOINTER_TO_INT(g_hash_table_lookup(ld.phase, id));
    int failed = g_hash_table_contains(ld.failed, id);

    ld.busy_us += us;
    ld.wasted_us += failed ? us : 0;
    if (i) {
        ld.phases[i - 1].busy_us += us;
        ld.phases[i - 1].wasted_us += failed ? us : 0;
    }
}

static void
on_work(void *data, const SpFetchResult *f)
{
    char **lines, **l;

    (void)data;
    lines = g_strsplit(f->body ? f->body : "", "\n", 0);
    for (l = lines; *l && f->end == SP_FETCH_OK; l++) {
        char *sp = strchr(*l, ' ');
        double us = sp ? g_ascii_strtod(sp + 1, NULL) : 0;
        if (!sp) {
            continue;
        }
        *sp = '\0';
        count_work(*l, us);
    }
    g_strfreev(lines);
    on_fetch_done();
}

static void
on_run_counts(void *data, const SpFetchResult *f)
{
    char **lines, **l;

    (void)data;
    lines = g_strsplit(f->body ? f->body : "", "\n", 0);
    for (l = lines; *l && f->end == SP_FETCH_OK; l++) {
        char *end = strrchr(*l, ' '), *sp = strchr(*l, ' ');
        if (!sp) {
            continue;
        }
        ld.double_runs += g_ascii_strtoull(end + 1, NULL, 10) > 1;
        *sp = '\0';
        if (g_hash_table_contains(ld.not_run, *l)) {
            fprintf(stderr, "spload: outcome not-run, but it ran: %s\n", *l);
            ld.false_not_run++;
        }
    }
    g_strfreev(lines);
    on_fetch_done();
}

static void
fetch_counts(void)
{
    SpFetchOpts o = {.addr = ld.control,
                     .method = "GET",
                     .path = "/work",
                     .max_response_bytes = 256 << 20,
                     .timeout_ms = 10000,
                     .cb = on_work};

    ld.pending_fetches = 2;
    SpWeb_Fetch(ld.web, &o);
    o.path = "/once";
    o.cb = on_run_counts;
    SpWeb_Fetch(ld.web, &o);
}

static void
finish(void)
{
    ld.done = 1;
    uv_timer_stop(&ld.tick);
    if (ld.control[0]) {
        fetch_counts();
    }
    else {
        uv_stop(ld.loop);
    }
}

static void
on_tick(uv_timer_t *t)
{
    double now = (double)(SpClock_Now() - ld.started_at), total = 0;
    int i;

    (void)t;
    for (i = 0; i < ld.nevents; i++) {
        if (!ld.events[i].fired && now >= ld.events[i].at_ms * 1000.0) {
            send_event(&ld.events[i]);
        }
    }
    for (i = 0; i < ld.nsteps; i++) {
        total += ld.steps[i].seconds * SP_SEC;
    }
    while (ld.next_at <= now && ld.next_at < total) {
        double r = rate_at(ld.next_at);
        if (r > 0) {
            send_one((int64_t)ld.next_at);
            ld.next_at -= log(1 - SpRand_Unit(&ld.rand)) / r * SP_SEC;
        }
        else {
            ld.next_at += SP_MS;
        }
    }
    if (now >= total &&
        (ld.ended == ld.sent || now > total + TAIL_MS * (double)SP_MS)) {
        finish();
    }
}

static void
make_callers(void)
{
    int i, k;

    for (i = 0; i < ld.nmix; i++) {
        Mix *m = &ld.mix[i];
        SpCallerOpts o = {.retries = ld.retries,
                          .wait_ms = ld.wait_ms,
                          .honor_retry_after = ld.honor_retry_after,
                          .ncontacts = m->ncontacts,
                          .seed = (uint64_t)ld.seed * 100 + (uint64_t)i};
        for (k = 0; k < m->ncontacts; k++) {
            o.contacts[k] = m->contacts[k];
        }
        m->caller = SpCaller_New(ld.web, ld.loop, &o);
        m->ms = g_new(float, MAX_SAMPLES);
    }
}

static int
usage(FILE *f, int status)
{
    fprintf(f, "usage: spload -c SETTINGS [-s SERIES]\n"
               "  -c, --config FILE  the experiment, JSON\n"
               "  -s, --series FILE  write a line for each window\n"
               "  -h, --help         print this\n");
    return status;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'},
        {"series", required_argument, NULL, 's'},
        {"help", no_argument, NULL, 'h'},
        {NULL, 0, NULL, 0}};
    SpWebOpts wo = {1 << 20, 65536, 60000, 1000};
    const char *file = NULL;
    int c;

    argv[0] = "spload"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "c:s:h", options, NULL)) != -1) {
        if (c == 'c') {
            file = optarg;
        }
        else if (c == 's') {
            ld.series = optarg;
        }
        else {
            return usage(c == 'h' ? stdout : stderr, c == 'h' ? 0 : 2);
        }
    }
    if (!file) {
        return usage(stderr, 2);
    }
    if (!load_settings(file)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    ld.failed = g_hash_table_new(g_str_hash, g_str_equal);
    ld.not_run = g_hash_table_new(g_str_hash, g_str_equal);
    ld.phase = g_hash_table_new(g_str_hash, g_str_equal);
    ld.kinds = g_hash_table_new(g_str_hash, g_str_equal);
    ld.rand = (uint64_t)ld.seed;
    ld.loop = uv_default_loop();
    ld.web = SpWeb_New(ld.loop, &wo);
    SpWeb_Start(ld.web);
    make_callers();
    ld.started_at = SpClock_Now();
    uv_timer_init(ld.loop, &ld.tick);
    uv_timer_start(&ld.tick, on_tick, 1, 1);
    uv_run(ld.loop, UV_RUN_DEFAULT);
    report();
    return ld.foreign || ld.truncated || ld.double_runs || ld.false_not_run
               ? 1
               : 0;
}
