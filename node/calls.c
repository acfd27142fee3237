/* Passes calls between HTTP and core. */
#include <string.h>

#include "node/fns.h"

#define MAX_HEADERS 64
#define MAX_TIMEOUT_MS 600000

/*
 * Incoming requests.
 */

static Node *
node_of(void *ctx)
{
    return ctx;
}

/* Returns the idempotency key without the quotes of its header syntax; NULL if
   there is none. */
static const char *
unquoted_key(SpWebReq *web)
{
    const char *s = SpWebReq_Header(web, "idempotency-key");
    size_t n = s ? strlen(s) : 0;

    if (n >= 2 && s[0] == '"' && s[n - 1] == '"') {
        return SpArena_Dup(SpWebReq_Arena(web), s + 1, n - 2);
    }
    return n ? s : NULL;
}

static int64_t
header_int(SpWebReq *web, const char *name, int64_t lo, int64_t hi,
           int64_t fallback)
{
    const char *s = SpWebReq_Header(web, name);
    int64_t v;

    return s && SpParse_Int(s, strlen(s), lo, hi, &v) ? v : fallback;
}

static void
refuse_request(SpWebReq *web, SpKind k)
{
    const SpKindInfo *i = SpKind_Info(k);
    SpHeader hs[] = {{"sp-outcome", SpOutcome_Name(i->outcome)},
                     {"sp-kind", i->name},
                     {"content-type", "text/plain"}};
    char body[160];

    g_snprintf(body, sizeof body, "%s: %s\n", i->name, i->text);
    SpWebReq_Respond(web, i->status, hs, 3, body, strlen(body));
}

static void
start_call(Node *n, SpWebReq *web, SpCall *c)
{
    const SpDoc *d = SpCore_Doc(n->core);
    Call *call;
    SpHandle h;

    c->body = SpWebReq_Body(web, &c->body_len);
    if (d && c->body_len > (size_t)d->limits.body_bytes) {
        refuse_request(web, SP_TOO_LARGE);
        return;
    }
    call = g_new0(Call, 1);
    call->n = n;
    call->web = web;
    call->source = c->source;
    call->trace[0] = c->trace[0];
    call->trace[1] = c->trace[1];
    SpWebReq_Ref(web);
    SpWebReq_SetData(web, call);
    c->method = SpWebReq_Method(web);
    c->path = SpWebReq_Path(web);
    c->key = unquoted_key(web);
    c->user = call;
    h = SpCore_Call(n->core, SpClock_Now(), c);
    if (h) {
        call->h = h; /* if h is 0, call was answered and freed already */
    }
}

static void
fill_trace(SpWebReq *web, SpCall *c)
{
    uint64_t span;

    if (!parse_trace(SpWebReq_Header(web, "traceparent"), c->trace, &span)) {
        c->trace[0] = (uint64_t)g_random_int() << 32 | g_random_int();
        c->trace[1] = (uint64_t)g_random_int() << 32 | g_random_int();
        return;
    }
    if (c->source == SP_FROM_INSTANCE) {
        c->parent = span;
    }
}

static void
fill_timeout(SpWebReq *web, SpCall *c)
{
    c->timeout_us =
        header_int(web, "sp-timeout-ms", 1, MAX_TIMEOUT_MS, 0) * SP_MS;
    c->attempt = (int)header_int(web, "sp-attempt", 0, 1000, 0);
}

static void
on_inbound(void *ctx, SpWebReq *web)
{
    SpCall c = {.source = SP_FROM_CALLER};

    fill_trace(web, &c);
    fill_timeout(web, &c);
    start_call(node_of(ctx), web, &c);
}

/* Handles an announcement by the local instance of its state (up, cold or
   leaving) and its number of slots. Returns 0 for any other request. */
static int
handle_announcement(Node *n, SpWebReq *web)
{
    static const char *const names[] = {"up", "cold", "leaving"};
    const char *st = SpWebReq_Header(web, "sp-state");
    size_t i;

    if (strcmp(SpWebReq_Path(web), "/.sp/instance") != 0) {
        return 0;
    }
    for (i = 0; st && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(st, names[i]) == 0) {
            SpCore_InstanceAnnounced(
                n->core, SpClock_Now(), (SpInstState)i,
                (int)header_int(web, "sp-slots", 1, 100000, 0));
            SpWebReq_Respond(web, 204, NULL, 0, "", 0);
            return 1;
        }
    }
    refuse_request(web, SP_BAD_REQUEST);
    return 1;
}

static void
on_outbound(void *ctx, SpWebReq *web)
{
    SpCall c = {.source = SP_FROM_INSTANCE};

    if (handle_announcement(node_of(ctx), web)) {
        return;
    }
    fill_trace(web, &c);
    fill_timeout(web, &c);
    start_call(node_of(ctx), web, &c);
}

static void
on_mesh(void *ctx, SpWebReq *web)
{
    Node *n = node_of(ctx);
    const char *s = SpWebReq_Header(web, "sp-call");
    SpCall c = {.source = SP_FROM_NODE};
    WireCall w;

    if (!s || !parse_wire_call(s, n->set.mesh_token, &w)) {
        SpLog(SP_LOG_WARN, "mesh-refused", "why=token");
        refuse_request(web, SP_UNAUTHORIZED);
        return;
    }
    fill_trace(web, &c);
    c.class = w.class;
    c.slice = w.slice;
    c.budget = w.budget;
    c.timeout_us = w.timeout_us;
    c.from = w.from;
    start_call(n, web, &c);
}

static void
on_disconnect(void *ctx, SpWebReq *web)
{
    Call *call = SpWebReq_Data(web);

    if (call && call->h) {
        SpCore_CallerLeft(node_of(ctx)->core, SpClock_Now(), call->h);
    }
}

int
listen_calls(Node *n, GError **err)
{
    SpWebHandler in = {on_inbound, on_disconnect, n};
    SpWebHandler out = {on_outbound, on_disconnect, n};
    SpWebHandler mesh = {on_mesh, on_disconnect, n};

    return SpWeb_Listen(n->web, n->set.inbound, &in, err) &&
           SpWeb_Listen(n->web, n->set.outbound, &out, err) &&
           SpWeb_Listen(n->web, n->set.mesh, &mesh, err);
}

/*
 * Outgoing requests and answers.
 */

typedef struct Headers {
    SpHeader list[MAX_HEADERS];
    int count;
} Headers;

static void
add_header(Headers *h, const char *name, const char *value)
{
    if (h->count < MAX_HEADERS) {
        h->list[h->count].name = name;
        h->list[h->count].value = value;
        h->count++;
    }
}

static void
forward_header(void *ctx, const char *name, const char *value)
{
    if (!is_unforwarded_header(name)) {
        add_header(ctx, name, value);
    }
}

static void
fill_answer(Call *call, const SpFetchResult *f, SpAnswer *a, Headers *hs)
{
    const char *wire = SpFetchResult_Header(f, "sp-answer");
    const char *key = SpFetchResult_Header(f, "idempotency-key");
    const char *outcome = SpFetchResult_Header(f, "sp-outcome");
    int i;

    SpAnswer_Init(a, SP_OK);
    a->status = f->status;
    for (i = 0; i < f->nheaders; i++) {
        forward_header(hs, f->headers[i].name, f->headers[i].value);
    }
    a->headers = hs->list;
    a->nheaders = hs->count;
    a->body = f->body;
    a->body_len = f->body_len;
    if (call->is_run) {
        if (outcome && strcmp(outcome, "not-run") == 0) {
            a->outcome = SP_NOT_RUN;
        }
    }
    else if (!wire || !parse_wire_answer(wire, a)) {
        a->kind = SP_BROKEN;
        a->outcome = SP_UNKNOWN;
    }
    if (key) {
        g_strlcpy(a->key, key, sizeof a->key);
    }
}

static void
on_fetched(void *data, const SpFetchResult *f)
{
    Call *call = data;
    SpCore *core = call->n->core;
    Headers hs = {.count = 0};
    SpAnswer a;

    call->fetch = NULL;
    if (call->is_run && f->end == SP_FETCH_OK) {
        call->n->instance_names = f->named;
    }
    if (f->end == SP_FETCH_OK) {
        fill_answer(call, f, &a, &hs);
    }
    else {
        SpAnswer_Init(&a, f->end == SP_FETCH_CONNECT_FAILED ? SP_UNREACHABLE
                                                            : SP_BROKEN);
        SpLog(SP_LOG_DEBUG, "fetch-failed", "why=\"%s\" run=%d",
              f->why ? f->why : "", call->is_run);
    }
    if (call->is_run) {
        SpCore_RunDone(core, SpClock_Now(), call->h, call->number, &a);
    }
    else {
        SpCore_SendDone(core, SpClock_Now(), call->h, call->number, &a);
    }
}

/*
 * run is the name of a run at the instance; NULL if the call goes to a node.
 * An instance that does not name the request in its response gets each on a
 * connection of its own: elsewhere a second response to an earlier request
 * could not be told from the one that is due.
 */
static void
fetch(Call *call, const SpSend *s, const char *addr, Headers *hs,
      const SpHeader *run)
{
    const SpDoc *d = SpCore_Doc(call->n->core);
    SpFetchOpts o = {.addr = addr,
                     .method = s->method,
                     .path = s->path,
                     .headers = hs->list,
                     .nheaders = hs->count,
                     .body = s->body,
                     .body_len = s->body_len,
                     .max_response_bytes =
                         d ? (size_t)d->limits.answer_bytes : 1 << 20,
                     .name = run,
                     .own_connection = run && !call->n->instance_names,
                     .cb = on_fetched,
                     .data = call};

    call->h = s->request;
    call->number = s->number;
    call->fetch = SpWeb_Fetch(call->n->web, &o);
}

void
run_call(void *ctx, const SpSend *s)
{
    Node *n = node_of(ctx);
    Call *call = s->user;
    Headers hs = {.count = 0};
    char trace[64], timeout[24], class[8], number[24];
    const SpHeader run = {"sp-run", number};

    print_trace(trace, sizeof trace, s->trace, s->span);
    g_snprintf(timeout, sizeof timeout, "%" PRId64,
               MAX(1, s->timeout_us / SP_MS));
    g_snprintf(class, sizeof class, "%d", s->class);
    g_snprintf(number, sizeof number, "%" PRIu64, ++n->runs);
    add_header(&hs, "traceparent", trace);
    add_header(&hs, "sp-timeout-ms", timeout);
    add_header(&hs, "sp-class", class);
    if (s->key) {
        add_header(&hs, "idempotency-key", s->key);
    }
    SpWebReq_Each(call->web, forward_header, &hs);
    call->is_run = 1;
    fetch(call, s, n->set.instance, &hs, &run);
}

void
send_call(void *ctx, const SpSend *s)
{
    Node *n = node_of(ctx);
    Call *call = s->user;
    Headers hs = {.count = 0};
    WireCall w = {s->class, s->slice, s->budget, s->timeout_us, "", {0, 0}, 0};
    char trace[64], wire[320];

    g_strlcpy(w.from, n->set.name, sizeof w.from);
    print_trace(trace, sizeof trace, s->trace, s->span);
    print_wire_call(wire, sizeof wire, n->set.mesh_token, &w);
    add_header(&hs, "traceparent", trace);
    add_header(&hs, "sp-call", wire);
    if (s->key) {
        add_header(&hs, "idempotency-key", s->key);
    }
    SpWebReq_Each(call->web, forward_header, &hs);
    call->is_run = 0;
    fetch(call, s, s->mesh, &hs, NULL);
}

void
cancel_call(void *ctx, void *user)
{
    Call *call = user;

    (void)ctx;
    if (call->fetch) {
        SpFetch_Abort(call->fetch);
        call->fetch = NULL;
    }
}

void
answer_call(void *ctx, void *user, const SpAnswer *a)
{
    Call *call = user;
    const SpKindInfo *ki = SpKind_Info(a->kind);
    Headers hs = {.count = 0};
    char wire[320], retry[16], body[200], trace[40];
    const char *text = a->body;
    size_t len = a->body_len;
    int i;

    (void)ctx;
    for (i = 0; i < a->nheaders; i++) {
        add_header(&hs, a->headers[i].name, a->headers[i].value);
    }
    if (a->kind != SP_OK) {
        g_snprintf(body, sizeof body, "%s: %s\n", ki->name, ki->text);
        text = body;
        len = strlen(body);
        add_header(&hs, "content-type", "text/plain");
    }
    add_header(&hs, "sp-outcome", SpOutcome_Name(a->outcome));
    add_header(&hs, "sp-kind", ki->name);
    if (a->retry_ms > 0) {
        /* Retry-After has whole seconds; sp-answer has milliseconds */
        g_snprintf(retry, sizeof retry, "%d", (a->retry_ms + 999) / 1000);
        add_header(&hs, "retry-after", retry);
    }
    if (a->key[0]) {
        add_header(&hs, "idempotency-key", a->key);
    }
    if (call->source == SP_FROM_CALLER) {
        g_snprintf(trace, sizeof trace, "%016" PRIx64 "%016" PRIx64,
                   call->trace[0], call->trace[1]);
        add_header(&hs, "sp-trace", trace);
    }
    if (call->source == SP_FROM_NODE) {
        print_wire_answer(wire, sizeof wire, a);
        add_header(&hs, "sp-answer", wire);
    }
    SpWebReq_Respond(call->web, a->status, hs.list, hs.count, text, len);
}

void
free_call(void *ctx, void *user)
{
    Call *call = user;

    (void)ctx;
    cancel_call(ctx, call);
    SpWebReq_SetData(call->web, NULL);
    SpWebReq_Unref(call->web);
    g_free(call);
}
