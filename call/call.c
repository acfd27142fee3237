#include <jansson.h>
#include <string.h>

#include "call/call.h"

#define MAX_RESPONSE_BYTES (16 << 20)

struct SpCaller {
    SpWeb *web;
    uv_loop_t *loop;
    SpCallerOpts o;
    uint64_t rand;
};

typedef struct PendingCall {
    SpCaller *c;
    SpArena *arena;
    SpCallerCall call;
    char key[SP_KEY_TEXT];
    uint64_t trace[2];
    int attempts; /* requests of the call itself */
    int key_requests;
    int64_t started, deadline;
    uv_timer_t timer;
    int timing;
    SpOutcome outcome;
    int maybe_ran; /* an attempt, with this key or without one, may have run */
} PendingCall;

SpCaller *
SpCaller_New(SpWeb *w, uv_loop_t *loop, const SpCallerOpts *o)
{
    SpCaller *c = g_new0(SpCaller, 1);

    c->web = w;
    c->loop = loop;
    c->o = *o;
    c->rand = o->seed;
    return c;
}

void
SpCaller_Free(SpCaller *c)
{
    g_free(c);
}

static const char *
choose_node(PendingCall *w)
{
    const SpCaller *c = w->c;

    if (w->call.contact && w->attempts + w->key_requests <= 1) {
        return w->call.contact;
    }
    return c->o.contacts[SpRand(&w->c->rand) % (unsigned)c->o.ncontacts];
}

static void
on_closed(uv_handle_t *t)
{
    PendingCall *w = t->data;

    SpArena_Free(w->arena);
    g_free(w);
}

static void
finish(PendingCall *w, SpCallResult *r)
{
    r->key = w->key[0] ? w->key : NULL;
    r->attempts = w->attempts;
    r->took_us = SpClock_Now() - w->started;
    if (r->outcome == SP_NOT_RUN && w->maybe_ran) {
        r->outcome = SP_UNKNOWN;
    }
    w->call.cb(w->call.data, r);
    uv_close((uv_handle_t *)&w->timer, on_closed);
}

static void send_attempt(PendingCall *w);

static void
on_retry_timer(uv_timer_t *t)
{
    send_attempt(t->data);
}

static int
remaining_ms(const PendingCall *w)
{
    return (int)((w->deadline - SpClock_Now()) / SP_MS);
}

/* Returns 0 if no retry is left or the deadline would pass before it. */
static int
schedule_retry(PendingCall *w, const SpFetched *f)
{
    const char *after = SpFetched_Header(f, "retry-after");
    int64_t secs = 0;
    double ms;

    if (w->attempts + w->key_requests >
        w->c->o.retries + (w->call.route ? 1 : 0)) {
        return 0;
    }
    ms = w->c->o.wait_ms * (0.5 + SpRand_Unit(&w->c->rand));
    if (w->c->o.obey && after &&
        SpParse_Int(after, strlen(after), 0, 3600, &secs)) {
        ms += (double)secs * 1000 * (0.5 + SpRand_Unit(&w->c->rand));
    }
    if (ms >= remaining_ms(w)) {
        return 0;
    }
    uv_timer_start(&w->timer, on_retry_timer, (uint64_t)ms, 0);
    return 1;
}

static void
fill_result(SpCallResult *r, const SpFetched *f)
{
    const char *outcome = SpFetched_Header(f, "sp-outcome");

    memset(r, 0, sizeof *r);
    r->status = f->status;
    r->body = f->body;
    r->body_len = f->body_len;
    r->kind = SpFetched_Header(f, "sp-kind");
    r->outcome = outcome ? SpOutcome_ByName(outcome) : SP_UNKNOWN;
    if (f->end != SP_FETCH_OK) {
        r->status = 0;
        r->kind = f->end == SP_FETCH_CONNECT ? "unreachable" : "broken";
        r->outcome = f->end == SP_FETCH_CONNECT ? SP_NOT_RUN : SP_UNKNOWN;
    }
    if (!r->kind) {
        r->kind = "foreign";
    }
}

/*
 * Returns 1 for a client error that a retry cannot change. 409 and 410 depend
 * on the state of the key.
 */
static int
is_final(int status)
{
    return status >= 400 && status < 500 && status != 409 && status != 410;
}

static void
on_response(void *data, const SpFetched *f)
{
    PendingCall *w = data;
    SpCallResult r;

    fill_result(&r, f);
    if ((r.outcome == SP_DONE && r.status < 500) || is_final(r.status)) {
        finish(w, &r);
        return;
    }
    if (f->end == SP_FETCH_OK && r.outcome == SP_NOT_RUN && w->call.route) {
        w->key[0] = '\0'; /* nothing ran or will run under this key */
        w->maybe_ran = 0;
    }
    if (r.outcome != SP_NOT_RUN) {
        w->maybe_ran = 1;
    }
    if (!schedule_retry(w, f)) {
        finish(w, &r);
    }
}

static void
on_key(void *data, const SpFetched *f)
{
    PendingCall *w = data;
    json_t *j = f->body ? json_loadb(f->body, f->body_len, 0, NULL) : NULL;
    const char *key = json_string_value(json_object_get(j, "key"));
    SpCallResult r;

    if (f->end == SP_FETCH_OK && f->status == 201 && key) {
        g_strlcpy(w->key, key, sizeof w->key);
        json_decref(j);
        send_attempt(w);
        return;
    }
    json_decref(j);
    fill_result(&r, f);
    r.outcome = SP_NOT_RUN; /* without a key the call was not sent */
    if (!schedule_retry(w, f)) {
        finish(w, &r);
    }
}

static void
request_key(PendingCall *w)
{
    char path[160];
    SpFetchOpts o = {.method = "POST",
                     .path = path,
                     .max_answer = 4096,
                     .timeout_ms = MAX(1, remaining_ms(w)),
                     .cb = on_key,
                     .data = w};

    w->key_requests++;
    o.addr = choose_node(w);
    g_snprintf(path, sizeof path, "/.sp/keys/%s", w->call.route);
    SpWeb_Fetch(w->c->web, &o);
}

static void
send_attempt(PendingCall *w)
{
    char trace[64], timeout[16], attempt_number[16];
    SpHeader hs[6];
    int n = 0;
    SpFetchOpts o = {.method = w->call.method,
                     .path = w->call.path,
                     .headers = hs,
                     .body = w->call.body,
                     .body_len = w->call.body_len,
                     .max_answer = MAX_RESPONSE_BYTES,
                     .timeout_ms = MAX(1, remaining_ms(w)) + 50,
                     .cb = on_response,
                     .data = w};

    if (w->call.route && !w->key[0]) {
        request_key(w);
        return;
    }
    g_snprintf(trace, sizeof trace,
               "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-01",
               w->trace[0], w->trace[1], w->trace[0] | 1);
    g_snprintf(timeout, sizeof timeout, "%d", MAX(1, remaining_ms(w)));
    g_snprintf(attempt_number, sizeof attempt_number, "%d", w->attempts);
    hs[n++] = (SpHeader){"traceparent", trace};
    hs[n++] = (SpHeader){"sp-timeout-ms", timeout};
    hs[n++] = (SpHeader){"sp-attempt", attempt_number};
    if (w->call.id) {
        hs[n++] = (SpHeader){"x-request-id", w->call.id};
    }
    if (w->key[0]) {
        hs[n++] = (SpHeader){"idempotency-key", w->key};
    }
    o.nheaders = n;
    w->attempts++;
    o.addr = choose_node(w);
    SpWeb_Fetch(w->c->web, &o);
}

void
SpCaller_Call(SpCaller *c, const SpCallerCall *call)
{
    PendingCall *w = g_new0(PendingCall, 1);

    w->c = c;
    w->arena = SpArena_New();
    w->call = *call;
    w->call.method = SpArena_Str(w->arena, call->method);
    w->call.path = SpArena_Str(w->arena, call->path);
    w->call.route = SpArena_Str(w->arena, call->route);
    w->call.id = SpArena_Str(w->arena, call->id);
    w->call.contact = SpArena_Str(w->arena, call->contact);
    w->call.body = SpArena_Dup(w->arena, call->body, call->body_len);
    w->trace[0] = SpRand(&c->rand);
    w->trace[1] = SpRand(&c->rand);
    w->started = SpClock_Now();
    w->deadline = w->started + call->timeout_ms * SP_MS;
    uv_timer_init(c->loop, &w->timer);
    w->timer.data = w;
    send_attempt(w);
}
