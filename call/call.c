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
    SpCallRequest call;
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
choose_node(PendingCall *p)
{
    const SpCaller *c = p->c;

    if (p->call.contact && p->attempts + p->key_requests <= 1) {
        return p->call.contact;
    }
    return c->o.contacts[SpRand(&p->c->rand) % (unsigned)c->o.ncontacts];
}

static void
on_closed(uv_handle_t *t)
{
    PendingCall *p = t->data;

    SpArena_Free(p->arena);
    g_free(p);
}

static void
finish(PendingCall *p, SpCallResult *r)
{
    r->key = p->key[0] ? p->key : NULL;
    r->attempts = p->attempts;
    r->duration_us = SpClock_Now() - p->started;
    if (r->outcome == SP_NOT_RUN && p->maybe_ran) {
        r->outcome = SP_UNKNOWN;
    }
    p->call.cb(p->call.data, r);
    uv_close((uv_handle_t *)&p->timer, on_closed);
}

static void send_attempt(PendingCall *p);

static void
on_retry_timer(uv_timer_t *t)
{
    send_attempt(t->data);
}

static int
remaining_ms(const PendingCall *p)
{
    return (int)((p->deadline - SpClock_Now()) / SP_MS);
}

/* Returns 0 if no retry is left or the deadline would pass before it. */
static int
schedule_retry(PendingCall *p, const SpFetchResult *f)
{
    const char *after = SpFetchResult_Header(f, "retry-after");
    int64_t secs = 0;
    double ms;

    if (p->attempts + p->key_requests >
        p->c->o.retries + (p->call.route ? 1 : 0)) {
        return 0;
    }
    ms = p->c->o.wait_ms * (0.5 + SpRand_Unit(&p->c->rand));
    if (p->c->o.honor_retry_after && after &&
        SpParse_Int(after, strlen(after), 0, 3600, &secs)) {
        ms += (double)secs * 1000 * (0.5 + SpRand_Unit(&p->c->rand));
    }
    if (ms >= remaining_ms(p)) {
        return 0;
    }
    uv_timer_start(&p->timer, on_retry_timer, (uint64_t)ms, 0);
    return 1;
}

static void
fill_result(SpCallResult *r, const SpFetchResult *f)
{
    const char *outcome = SpFetchResult_Header(f, "sp-outcome");

    memset(r, 0, sizeof *r);
    r->status = f->status;
    r->body = f->body;
    r->body_len = f->body_len;
    r->kind = SpFetchResult_Header(f, "sp-kind");
    r->outcome = outcome ? SpOutcome_ByName(outcome) : SP_UNKNOWN;
    if (f->end != SP_FETCH_OK) {
        r->status = 0;
        r->kind = f->end == SP_FETCH_CONNECT_FAILED ? "unreachable" : "broken";
        r->outcome =
            f->end == SP_FETCH_CONNECT_FAILED ? SP_NOT_RUN : SP_UNKNOWN;
    }
    if (!r->kind) {
        r->kind = "foreign";
    }
}

/*
 * Returns 1 for a client error that a retry cannot change. 409 and 410 depend
 * on the state of the key, so a retry may get another response.
 */
static int
is_final(int status)
{
    return status >= 400 && status < 500 && status != 409 && status != 410;
}

static void
on_response(void *data, const SpFetchResult *f)
{
    PendingCall *p = data;
    SpCallResult r;

    fill_result(&r, f);
    if ((r.outcome == SP_DONE && r.status < 500) || is_final(r.status)) {
        finish(p, &r);
        return;
    }
    if (f->end == SP_FETCH_OK && r.outcome == SP_NOT_RUN && p->call.route) {
        p->key[0] = '\0'; /* nothing ran or will run under this key */
        p->maybe_ran = 0;
    }
    if (r.outcome != SP_NOT_RUN) {
        p->maybe_ran = 1;
    }
    if (!schedule_retry(p, f)) {
        finish(p, &r);
    }
}

static void
on_key(void *data, const SpFetchResult *f)
{
    PendingCall *p = data;
    json_t *j = f->body ? json_loadb(f->body, f->body_len, 0, NULL) : NULL;
    const char *key = json_string_value(json_object_get(j, "key"));
    SpCallResult r;

    if (f->end == SP_FETCH_OK && f->status == 201 && key) {
        g_strlcpy(p->key, key, sizeof p->key);
        json_decref(j);
        send_attempt(p);
        return;
    }
    json_decref(j);
    fill_result(&r, f);
    r.outcome = SP_NOT_RUN; /* without a key the call was not sent */
    if (!schedule_retry(p, f)) {
        finish(p, &r);
    }
}

static void
request_key(PendingCall *p)
{
    char path[160];
    SpFetchOpts o = {.method = "POST",
                     .path = path,
                     .max_response_bytes = 4096,
                     .timeout_ms = MAX(1, remaining_ms(p)),
                     .cb = on_key,
                     .data = p};

    p->key_requests++;
    o.addr = choose_node(p);
    g_snprintf(path, sizeof path, "/.sp/keys/%s", p->call.route);
    SpWeb_Fetch(p->c->web, &o);
}

static void
send_attempt(PendingCall *p)
{
    char trace[64], timeout[16], attempt_number[16];
    SpHeader hs[6];
    int n = 0;
    SpFetchOpts o = {.method = p->call.method,
                     .path = p->call.path,
                     .headers = hs,
                     .body = p->call.body,
                     .body_len = p->call.body_len,
                     .max_response_bytes = MAX_RESPONSE_BYTES,
                     .timeout_ms = MAX(1, remaining_ms(p)) + 50,
                     .cb = on_response,
                     .data = p};

    if (p->call.route && !p->key[0]) {
        request_key(p);
        return;
    }
    g_snprintf(trace, sizeof trace,
               "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-01",
               p->trace[0], p->trace[1], p->trace[0] | 1);
    g_snprintf(timeout, sizeof timeout, "%d", MAX(1, remaining_ms(p)));
    g_snprintf(attempt_number, sizeof attempt_number, "%d", p->attempts);
    hs[n++] = (SpHeader){"traceparent", trace};
    hs[n++] = (SpHeader){"sp-timeout-ms", timeout};
    hs[n++] = (SpHeader){"sp-attempt", attempt_number};
    if (p->call.id) {
        hs[n++] = (SpHeader){"x-request-id", p->call.id};
    }
    if (p->key[0]) {
        hs[n++] = (SpHeader){"idempotency-key", p->key};
    }
    o.nheaders = n;
    p->attempts++;
    o.addr = choose_node(p);
    SpWeb_Fetch(p->c->web, &o);
}

void
SpCaller_Call(SpCaller *c, const SpCallRequest *call)
{
    PendingCall *p = g_new0(PendingCall, 1);

    p->c = c;
    p->arena = SpArena_New();
    p->call = *call;
    p->call.method = SpArena_Str(p->arena, call->method);
    p->call.path = SpArena_Str(p->arena, call->path);
    p->call.route = SpArena_Str(p->arena, call->route);
    p->call.id = SpArena_Str(p->arena, call->id);
    p->call.contact = SpArena_Str(p->arena, call->contact);
    p->call.body = SpArena_Dup(p->arena, call->body, call->body_len);
    p->trace[0] = SpRand(&c->rand);
    p->trace[1] = SpRand(&c->rand);
    p->started = SpClock_Now();
    p->deadline = p->started + call->timeout_ms * SP_MS;
    uv_timer_init(c->loop, &p->timer);
    p->timer.data = p;
    send_attempt(p);
}
