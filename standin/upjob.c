/* spup: requests and their runs. */
#include <math.h>
#include <string.h>

#include "standin/up.h"

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

void
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

void
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
