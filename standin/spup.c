/*
 * spup: simulates upstream instances, many in one process.
 *
 * A request takes a slot, works for a time drawn from a distribution, makes
 * child calls to other services through the node's outbound listener, and gets
 * a response with a checksum. It holds the slot until it ends. spup counts the
 * runs of each request, independently of the nodes, so that double runs are
 * detected.
 */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "web/web.h"

#define MAX_INSTANCES 1024
#define MAX_ROUTES 128
#define MAX_CALLS 8
#define ANNOUNCE_MS 1000

typedef struct ChildCall {
    char method[16];
    char path[SP_PATH_BYTES];
    int optional;
} ChildCall;

typedef struct Route {
    char method[16];
    char path[SP_PATH_BYTES];
    char dist[16]; /* const, exp or lognormal */
    double work_ms;
    int bytes; /* of padding in the response */
    int once;  /* 1: runs are counted by request id */
    ChildCall calls[MAX_CALLS];
    int ncalls;
    int parallel;
} Route;

typedef struct Instance {
    char name[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    char listen[SP_ADDR_BYTES];
    char outbound[SP_ADDR_BYTES];
    int slots, queue;
    int cold_ms; /* time after the start during which it is slower */
    double cold_factor;
    /* set through the control address */
    double slow; /* factor on the work time */
    double fail; /* share of requests that fail */
    char state[16];
    int silent; /* 1: sends no announcements */
    int running;
    GQueue waiting; /* of Job */
    int64_t started_at;
    uint64_t runs, sheds, lates, cancels, peak;
    int64_t busy_us;
    int64_t last_run;
} Instance;

/* A request in progress. */
typedef struct Job {
    Instance *in;
    SpWebReq *web;
    const Route *route;
    const char *id;
    uv_timer_t timer;
    int64_t deadline, started;
    int has_slot, gone, next_call;
    int pending; /* child calls without a response yet */
    int failed;  /* 1: a child call that is not optional failed */
    int parts;   /* child calls with a complete response */
    SpFetch *fetch[MAX_CALLS];
} Job;

static struct {
    Instance list[MAX_INSTANCES];
    int n;
    Route routes[MAX_ROUTES];
    int nroutes;
    char control[SP_ADDR_BYTES];
    GHashTable *once; /* id and path -> count */
    GHashTable *work; /* id -> slot time in us, as int64 */
    uint64_t double_runs, foreign;
    uint64_t rand;
    uv_loop_t *loop;
    SpWeb *web;
} up;

/*
 * Settings.
 */

#define OFF(t, m) offsetof(t, m)

static void
read_calls(const SpField *f, const json_t *v, void *dst, const char *place,
           SpProblems *ps)
{
    static const SpField fields[] = {
        {"method", SpRead_Str, OFF(ChildCall, method), 1, 0, 0, 16, NULL},
        {"path", SpRead_Str, OFF(ChildCall, path), 1, 0, 0, SP_PATH_BYTES,
         NULL},
        {"optional", SpRead_Bool, OFF(ChildCall, optional), 0, 0, 0, 0, NULL},
        {NULL, NULL, 0, 0, 0, 0, 0, NULL}};
    Route *r = dst;
    size_t i;

    (void)f;
    r->ncalls = (int)MIN(json_array_size(v), MAX_CALLS);
    for (i = 0; i < (size_t)r->ncalls; i++) {
        SpFields_Read(fields, json_array_get(v, i), &r->calls[i], place, ps);
    }
}

static const SpField route_fields[] = {
    {"method", SpRead_Str, OFF(Route, method), 1, 0, 0, 16, NULL},
    {"path", SpRead_Str, OFF(Route, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"dist", SpRead_Str, OFF(Route, dist), 0, 0, 0, 16, NULL},
    {"work_ms", SpRead_Real, OFF(Route, work_ms), 1, 0, 60000, 0, NULL},
    {"bytes", SpRead_Int, OFF(Route, bytes), 0, 0, 1 << 22, 0, NULL},
    {"once", SpRead_Bool, OFF(Route, once), 0, 0, 0, 0, NULL},
    {"parallel", SpRead_Bool, OFF(Route, parallel), 0, 0, 0, 0, NULL},
    {"calls", read_calls, 0, 0, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField instance_fields[] = {
    {"name", SpRead_Name, OFF(Instance, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"service", SpRead_Name, OFF(Instance, service), 1, 0, 0, SP_NAME_BYTES,
     NULL},
    {"listen", SpRead_Addr, OFF(Instance, listen), 1, 0, 0, SP_ADDR_BYTES,
     NULL},
    {"outbound", SpRead_Addr, OFF(Instance, outbound), 1, 0, 0, SP_ADDR_BYTES,
     NULL},
    {"slots", SpRead_Int, OFF(Instance, slots), 1, 1, 100000, 0, NULL},
    {"queue", SpRead_Int, OFF(Instance, queue), 0, 0, 1000000, 0, NULL},
    {"cold_ms", SpRead_Int, OFF(Instance, cold_ms), 0, 0, 600000, 0, NULL},
    {"cold_factor", SpRead_Real, OFF(Instance, cold_factor), 0, 1, 100, 0,
     NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static void
read_instances(const SpField *f, const json_t *v, void *dst, const char *place,
               SpProblems *ps)
{
    size_t i;

    (void)f;
    (void)dst;
    if (!json_is_array(v)) {
        SpProblems_Add(ps, place, "must be a list");
    }
    up.n = (int)MIN(json_array_size(v), MAX_INSTANCES);
    for (i = 0; i < (size_t)up.n; i++) {
        Instance *in = &up.list[i];
        in->slow = 1;
        in->cold_factor = 1;
        in->queue = 1000;
        g_strlcpy(in->state, "up", sizeof in->state);
        g_queue_init(&in->waiting);
        SpFields_Read(instance_fields, json_array_get(v, i), in, place, ps);
    }
}

static void
read_routes(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    size_t i;

    (void)f;
    (void)dst;
    up.nroutes = (int)MIN(json_array_size(v), MAX_ROUTES);
    for (i = 0; i < (size_t)up.nroutes; i++) {
        g_strlcpy(up.routes[i].dist, "exp", sizeof up.routes[i].dist);
        SpFields_Read(route_fields, json_array_get(v, i), &up.routes[i], place,
                      ps);
    }
}

static const SpField top_fields[] = {
    {"control", SpRead_Addr, 0, 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"instances", read_instances, 0, 1, 0, 0, 0, NULL},
    {"routes", read_routes, 0, 1, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

/*
 * Work.
 */

static double
draw_work_ms(const Route *r)
{
    double u = SpRand_Unit(&up.rand), v = SpRand_Unit(&up.rand);

    if (strcmp(r->dist, "const") == 0) {
        return r->work_ms;
    }
    if (strcmp(r->dist, "lognormal") == 0) {
        /* mean work_ms, sigma 0.5 */
        double z = sqrt(-2 * log(1 - u)) * cos(2 * G_PI * v);
        return r->work_ms * exp(0.5 * z - 0.125);
    }
    return -r->work_ms * log(1 - u);
}

static void
on_job_closed(uv_handle_t *t)
{
    Job *j = t->data;

    SpWebReq_Unref(j->web);
    g_free(j);
}

static void start_job(Job *j);

static void
end_job(Job *j)
{
    Instance *in = j->in;
    Job *next;
    int i;

    for (i = 0; i < MAX_CALLS; i++) {
        if (j->fetch[i]) {
            SpFetch_Abort(j->fetch[i]);
            j->fetch[i] = NULL;
        }
    }
    if (j->has_slot) {
        int64_t us = SpClock_Now() - j->started, *sum;
        sum = g_hash_table_lookup(up.work, j->id);
        if (!sum) {
            sum = g_new0(int64_t, 1);
            g_hash_table_insert(up.work, g_strdup(j->id), sum);
        }
        *sum += us;
        in->busy_us += us;
        in->running--;
        j->has_slot = 0;
    }
    SpWebReq_SetData(j->web, NULL);
    uv_timer_stop(&j->timer);
    uv_close((uv_handle_t *)&j->timer, on_job_closed);
    while (in->running < in->slots &&
           (next = g_queue_pop_head(&in->waiting)) != NULL) {
        start_job(next);
    }
}

/* The name of the request, which each answer repeats. */
static const char *
run_name(const Job *j)
{
    const char *s = SpWebReq_Header(j->web, "sp-run");

    return s ? s : "";
}

static void
reply_status(Job *j, int status, const char *outcome, const char *why)
{
    SpHeader hs[] = {{"sp-outcome", outcome},
                     {"content-type", "text/plain"},
                     {"sp-run", run_name(j)}};

    SpWebReq_Respond(j->web, status, hs, 3, why, strlen(why));
    end_job(j);
}

/* Sends {"id": .., "path": .., "parts": N, "pad": "..", "sum": ".."}, where
   sum is the hash of all bytes before its value. */
static void
reply_complete(Job *j)
{
    const SpHeader hs[] = {{"content-type", "application/json"},
                           {"sp-run", run_name(j)}};
    GString *s = g_string_new(NULL);
    int i;

    g_string_append_printf(
        s, "{\"id\": \"%s\", \"path\": \"%s\", \"parts\": %d, \"pad\": \"",
        j->id, j->route->path, j->parts);
    for (i = 0; i < j->route->bytes; i++) {
        g_string_append_c(s, (char)('a' + i % 26));
    }
    g_string_append(s, "\", \"sum\": \"");
    g_string_append_printf(s, "%016" PRIx64 "\"}\n",
                           SpHash(s->str, s->len, 0));
    SpWebReq_Respond(j->web, 200, hs, 2, s->str, s->len);
    g_string_free(s, TRUE);
    end_job(j);
}

/* Reports whether the response to a child call is complete and belongs to this
   request. */
static int
is_complete(const Job *j, const SpFetchResult *f)
{
    char expected[160];

    if (f->end != SP_FETCH_OK || f->status != 200) {
        return 0;
    }
    g_snprintf(expected, sizeof expected, "{\"id\": \"%s\",", j->id);
    if (f->body_len < strlen(expected) ||
        memcmp(f->body, expected, strlen(expected)) != 0) {
        up.foreign++;
        return 0;
    }
    return f->body_len > 2 && f->body[f->body_len - 2] == '}';
}

static void next_step(Job *j);

typedef struct PendingChild {
    Job *j;
    int slot;
    int optional;
} PendingChild;

static void
on_child_done(void *data, const SpFetchResult *f)
{
    PendingChild *p = data;
    Job *j = p->j;

    j->fetch[p->slot] = NULL;
    j->pending--;
    if (is_complete(j, f)) {
        j->parts++;
    }
    else if (!p->optional) {
        j->failed = 1;
    }
    g_free(p);
    next_step(j);
}

static void
start_child_call(Job *j, int i)
{
    const ChildCall *c = &j->route->calls[i];
    const char *trace = SpWebReq_Header(j->web, "traceparent");
    char timeout[24];
    SpHeader hs[3] = {{"x-request-id", j->id},
                      {"traceparent", trace ? trace : ""},
                      {"sp-timeout-ms", timeout}};
    PendingChild *p = g_new0(PendingChild, 1);
    SpFetchOpts o = {.addr = j->in->outbound,
                     .method = c->method,
                     .path = c->path,
                     .headers = hs,
                     .nheaders = 3,
                     .cb = on_child_done,
                     .data = p};

    g_snprintf(timeout, sizeof timeout, "%" PRId64,
               MAX(1, (j->deadline - SpClock_Now()) / SP_MS));
    p->j = j;
    p->slot = i;
    p->optional = c->optional;
    j->pending++;
    j->fetch[i] = SpWeb_Fetch(up.web, &o);
}

static void
next_step(Job *j)
{
    if (j->failed) {
        reply_status(j, 502, "done", "a part failed\n");
        return;
    }
    if (j->next_call < j->route->ncalls) {
        do {
            start_child_call(j, j->next_call++);
        } while (j->route->parallel && j->next_call < j->route->ncalls);
        return;
    }
    if (j->pending == 0) {
        reply_complete(j);
    }
}

static void
on_work_done(uv_timer_t *t)
{
    Job *j = t->data;

    if (j->in->fail > 0 && SpRand_Unit(&up.rand) < j->in->fail) {
        reply_status(j, 500, "done", "failed by order\n");
        return;
    }
    next_step(j);
}

static void
count_run(const Job *j)
{
    char *k = g_strdup_printf("%s %s", j->id, j->route->path);
    gpointer n = g_hash_table_lookup(up.once, k);

    if (n) {
        up.double_runs++;
        fprintf(stderr, "spup: double run: %s at %s\n", k, j->in->name);
    }
    g_hash_table_insert(up.once, k, GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static void
start_job(Job *j)
{
    Instance *in = j->in;
    int64_t now = SpClock_Now();
    double ms;

    if (now >= j->deadline) {
        in->lates++;
        reply_status(j, 504, "not-run", "too late to run\n");
        return;
    }
    j->has_slot = 1;
    j->started = now;
    in->running++;
    in->peak = MAX(in->peak, (uint64_t)in->running);
    in->runs++;
    in->last_run = now;
    if (j->route->once) {
        count_run(j);
    }
    ms = draw_work_ms(j->route) * in->slow;
    if (now - in->started_at < in->cold_ms * SP_MS) {
        ms *= in->cold_factor;
    }
    uv_timer_start(&j->timer, on_work_done, (uint64_t)(ms + 0.5), 0);
}

static const Route *
find_route(const char *method, const char *path)
{
    size_t n = strcspn(path, "?");
    int i;

    for (i = 0; i < up.nroutes; i++) {
        if (strcmp(up.routes[i].method, method) == 0 &&
            strlen(up.routes[i].path) == n &&
            strncmp(up.routes[i].path, path, n) == 0) {
            return &up.routes[i];
        }
    }
    return NULL;
}

static void
on_request(void *ctx, SpWebReq *web)
{
    Instance *in = ctx;
    const Route *r = find_route(SpWebReq_Method(web), SpWebReq_Path(web));
    const char *id = SpWebReq_Header(web, "x-request-id");
    const char *timeout = SpWebReq_Header(web, "sp-timeout-ms");
    int64_t ms = 60000;
    Job *j;

    if (!r) {
        SpWebReq_Respond(web, 404, NULL, 0, "no such page\n", 13);
        return;
    }
    j = g_new0(Job, 1);
    j->in = in;
    j->web = web;
    j->route = r;
    j->id = SpArena_Str(SpWebReq_Arena(web), id ? id : "-");
    if (timeout) {
        SpParse_Int(timeout, strlen(timeout), 1, 600000, &ms);
    }
    j->deadline = SpClock_Now() + ms * SP_MS;
    uv_timer_init(up.loop, &j->timer);
    j->timer.data = j;
    SpWebReq_SetData(web, j);
    SpWebReq_Ref(web);
    if (in->running < in->slots) {
        start_job(j);
    }
    else if ((int)g_queue_get_length(&in->waiting) < in->queue) {
        g_queue_push_tail(&in->waiting, j);
    }
    else {
        in->sheds++;
        reply_status(j, 503, "not-run", "shed\n");
    }
}

static void
on_disconnect(void *ctx, SpWebReq *web)
{
    Instance *in = ctx;
    Job *j = SpWebReq_Data(web);

    if (!j) {
        return;
    }
    in->cancels++;
    if (!j->has_slot) {
        g_queue_remove(&in->waiting, j);
    }
    end_job(j);
}

/*
 * Announcements.
 */

static void
on_announced(void *data, const SpFetchResult *f)
{
    (void)data;
    (void)f;
}

static void
announce(Instance *in)
{
    char slots[16];
    SpHeader hs[2] = {{"sp-state", in->state}, {"sp-slots", slots}};
    SpFetchOpts o = {.addr = in->outbound,
                     .method = "POST",
                     .path = "/.sp/instance",
                     .headers = hs,
                     .nheaders = 2,
                     .timeout_ms = 900,
                     .cb = on_announced};

    g_snprintf(slots, sizeof slots, "%d", in->slots);
    SpWeb_Fetch(up.web, &o);
}

static void
on_announce(uv_timer_t *t)
{
    int i;

    (void)t;
    for (i = 0; i < up.n; i++) {
        if (!up.list[i].silent) {
            announce(&up.list[i]);
        }
    }
}

/*
 * Control.
 */

static void
reply_counts(SpWebReq *web)
{
    GString *s = g_string_new(NULL);
    int i;

    for (i = 0; i < up.n; i++) {
        const Instance *in = &up.list[i];
        g_string_append_printf(
            s,
            "instance=%s service=%s runs=%" PRIu64 " sheds=%" PRIu64
            " lates=%" PRIu64 " cancels=%" PRIu64 " peak=%" PRIu64
            " running=%d busy_us=%" PRId64 " last_run_ms=%" PRId64 "\n",
            in->name, in->service, in->runs, in->sheds, in->lates, in->cancels,
            in->peak, in->running, in->busy_us,
            in->last_run ? (SpClock_Now() - in->last_run) / SP_MS : -1);
    }
    g_string_append_printf(s, "doubles=%" PRIu64 " foreign=%" PRIu64 "\n",
                           up.double_runs, up.foreign);
    SpWebReq_Respond(web, 200, NULL, 0, s->str, s->len);
    g_string_free(s, TRUE);
}

/* Sends a line "ID US" for each request that held a slot. */
static void
reply_work(SpWebReq *web)
{
    GString *s = g_string_new(NULL);
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, up.work);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_string_append_printf(s, "%s %" PRId64 "\n", (char *)k,
                               *(int64_t *)v);
    }
    SpWebReq_Respond(web, 200, NULL, 0, s->str, s->len);
    g_string_free(s, TRUE);
}

/* Sends a line "ID PATH COUNT" for each request on a route with "once". */
static void
reply_run_counts(SpWebReq *web)
{
    GString *s = g_string_new(NULL);
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, up.once);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_string_append_printf(s, "%s %d\n", (char *)k, GPOINTER_TO_INT(v));
    }
    SpWebReq_Respond(web, 200, NULL, 0, s->str, s->len);
    g_string_free(s, TRUE);
}

static void
set_faults(Instance *in, const json_t *j)
{
    const json_t *v;

    if ((v = json_object_get(j, "slow")) != NULL) {
        in->slow = json_number_value(v);
    }
    if ((v = json_object_get(j, "fail")) != NULL) {
        in->fail = json_number_value(v);
    }
    if ((v = json_object_get(j, "silent")) != NULL) {
        in->silent = json_is_true(v);
    }
    if (json_object_get(j, "restart")) {
        in->started_at = SpClock_Now();
    }
    if ((v = json_object_get(j, "state")) != NULL && json_is_string(v)) {
        g_strlcpy(in->state, json_string_value(v), sizeof in->state);
        announce(in);
    }
}

/* Sets faults: {"instance" or "service": name, "slow": x, "fail": x,
   "silent": bool, "restart": any, "state": ".."}. */
static void
handle_set(SpWebReq *web)
{
    size_t n;
    const char *p = SpWebReq_Body(web, &n);
    json_t *j = json_loadb(p, n, 0, NULL);
    const char *name = json_string_value(json_object_get(j, "instance"));
    const char *service = json_string_value(json_object_get(j, "service"));
    int i, hits = 0;

    for (i = 0; i < up.n; i++) {
        Instance *in = &up.list[i];
        if ((name && strcmp(name, in->name) == 0) ||
            (service && strcmp(service, in->service) == 0)) {
            set_faults(in, j);
            hits++;
        }
    }
    json_decref(j);
    SpWebReq_Respond(web, hits ? 200 : 404, NULL, 0, "", 0);
}

static void
on_control(void *ctx, SpWebReq *web)
{
    const char *path = SpWebReq_Path(web);

    (void)ctx;
    if (strcmp(path, "/counts") == 0) {
        reply_counts(web);
    }
    else if (strcmp(path, "/work") == 0) {
        reply_work(web);
    }
    else if (strcmp(path, "/once") == 0) {
        reply_run_counts(web);
    }
    else if (strcmp(path, "/set") == 0) {
        handle_set(web);
    }
    else {
        SpWebReq_Respond(web, 404, NULL, 0, "no such page\n", 13);
    }
}

static void
on_control_disconnect(void *ctx, SpWebReq *web)
{
    (void)ctx;
    (void)web;
}

static void
on_signal(uv_signal_t *s, int signum)
{
    (void)signum;
    uv_stop(s->loop);
}

static int
serve(GError **err)
{
    SpWebOpts wo = {4 << 20, 65536, 60000, 100000};
    SpWebHandler control = {on_control, on_control_disconnect, NULL};
    int i;

    up.web = SpWeb_New(up.loop, &wo);
    if (!SpWeb_Listen(up.web, up.control, &control, err)) {
        return 0;
    }
    for (i = 0; i < up.n; i++) {
        SpWebHandler h = {on_request, on_disconnect, &up.list[i]};
        up.list[i].started_at = SpClock_Now();
        if (!SpWeb_Listen(up.web, up.list[i].listen, &h, err)) {
            return 0;
        }
    }
    SpWeb_Start(up.web);
    return 1;
}

static int
load(const char *file)
{
    SpProblems *ps = SpProblems_New();
    json_t *j = SpJson_LoadFile(file, ps);
    int ok;

    if (j) {
        SpFields_Read(top_fields, j, up.control, "", ps);
        json_decref(j);
    }
    SpProblems_Print(ps, "spup", file, stderr);
    ok = SpProblems_Count(ps) == 0;
    SpProblems_Free(ps);
    return ok;
}

static int
usage(FILE *f, int status)
{
    fprintf(f, "usage: spup -c SETTINGS\n"
               "  -c, --config FILE  instances and routes, JSON\n"
               "  -h, --help         print this\n");
    return status;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'},
        {"help", no_argument, NULL, 'h'},
        {NULL, 0, NULL, 0}};
    const char *file = NULL;
    GError *err = NULL;
    uv_timer_t timer;
    uv_signal_t term;
    int c;

    argv[0] = "spup"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "c:h", options, NULL)) != -1) {
        if (c != 'c') {
            return usage(c == 'h' ? stdout : stderr, c == 'h' ? 0 : 2);
        }
        file = optarg;
    }
    if (!file) {
        return usage(stderr, 2);
    }
    if (!load(file)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    up.once = g_hash_table_new(g_str_hash, g_str_equal);
    up.work = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    up.rand = 7;
    up.loop = uv_default_loop();
    if (!serve(&err)) {
        fprintf(stderr, "spup: %s\n", err->message);
        return 1;
    }
    uv_timer_init(up.loop, &timer);
    uv_timer_start(&timer, on_announce, 50, ANNOUNCE_MS);
    uv_signal_init(up.loop, &term);
    uv_signal_start(&term, on_signal, SIGTERM);
    uv_run(up.loop, UV_RUN_DEFAULT);
    return 0;
}
