/* Client: requests through the pools of http/, one pool for each address. */
#include <string.h>

#include "web/priv.h"

/* Shorter than the idle time-out of the server, so that the server does not
   close a pooled connection just as a request is sent on it. */
#define POOL_IDLE_US (5 * SP_SEC)
#define CONNECT_US (60 * SP_SEC)
#define TICK_MS 20
#define DEFAULT_RESPONSE_BYTES ((size_t)16 << 20)

struct SpFetch {
    SpWeb *web;
    SpExchange *exchange; /* NULL once it has ended */
    SpArena *arena;
    SpFetchCb cb;
    void *data;
    SpHeader name; /* in the arena; name.name is NULL if there is none */
    uv_timer_t timer;
    int has_timer;
};

static void
on_tick(uv_timer_t *t)
{
    const SpWeb *w = t->data;
    guint i;

    /* a callback may add a pool */
    for (i = 0; i < w->pools->len; i++) {
        SpPool_Tick(g_ptr_array_index(w->pools, i), SpHttp_Now());
    }
}

static SpPool *
get_pool(SpWeb *w, const char *addr)
{
    SpPool *p = g_hash_table_lookup(w->pool_by_addr, addr);
    SpPoolOpts o = {.connect_us = CONNECT_US,
                    .idle_us = POOL_IDLE_US,
                    .body_bytes = DEFAULT_RESPONSE_BYTES};

    if (p) {
        return p;
    }
    if (!w->pools->len) {
        uv_timer_init(w->loop, &w->tick);
        w->tick.data = w;
        uv_timer_start(&w->tick, on_tick, TICK_MS, TICK_MS);
        uv_unref((uv_handle_t *)&w->tick);
    }
    g_strlcpy(o.addr, addr, sizeof o.addr);
    p = SpPool_New(w->loop, &o);
    g_ptr_array_add(w->pools, p);
    g_hash_table_insert(w->pool_by_addr, g_strdup(addr), p);
    return p;
}

static void
on_timer_closed(uv_handle_t *t)
{
    SpFetch *f = t->data;

    g_free(f);
}

static void
free_fetch(SpFetch *f)
{
    SpArena_Free(f->arena);
    if (f->has_timer) {
        uv_close((uv_handle_t *)&f->timer, on_timer_closed);
        return;
    }
    g_free(f);
}

static void
finish(SpFetch *f, const SpFetchResult *r)
{
    f->cb(f->data, r);
    free_fetch(f);
}

/* Copies the headers with their names in lower case. */
static const SpHeader *
copy_headers(SpArena *a, const SpMsg *m)
{
    SpHeader *hs =
        SpArena_Alloc(a, ((size_t)m->nheaders + 1) * sizeof(SpHeader));
    int i;

    for (i = 0; i < m->nheaders; i++) {
        char *name = g_ascii_strdown(m->headers[i].name, -1);
        hs[i].name = SpArena_Str(a, name);
        hs[i].value = m->headers[i].value;
        g_free(name);
    }
    return hs;
}

static void
on_done(void *data, SpPoolStatus end, const SpMsg *m, const char *error)
{
    static const SpFetchStatus ends[] = {
        [SP_POOL_OK] = SP_FETCH_OK,
        [SP_POOL_NOT_SENT] = SP_FETCH_CONNECT_FAILED,
        [SP_POOL_NO_RESPONSE] = SP_FETCH_NO_RESPONSE};
    SpFetch *f = data;
    SpFetchResult r = {.end = ends[end], .why = error};

    f->exchange = NULL;
    if (m) {
        r.status = m->status;
        r.headers = copy_headers(f->arena, m);
        r.nheaders = m->nheaders;
        r.body = SpArena_Dup(f->arena, m->body, m->body_len);
        r.body_len = m->body_len;
        r.named = f->name.name && SpMsg_Header(m, f->name.name);
    }
    finish(f, &r);
}

static SpReplyMatch
match_name(void *data, const SpMsg *m, int first)
{
    const SpFetch *f = data;
    const char *v = f->name.name ? SpMsg_Header(m, f->name.name) : NULL;

    (void)first;
    return !v || strcmp(v, f->name.value) == 0 ? SP_REPLY_FINAL
                                               : SP_REPLY_FAILURE;
}

static int
is_single_line(const char *s)
{
    return strpbrk(s, "\r\n") == NULL;
}

static GString *
build_head(SpFetch *f, const SpFetchOpts *o)
{
    GString *s = g_string_sized_new(512);
    int i;

    g_string_append_printf(s, "%s %s HTTP/1.1\r\nhost: %s\r\n", o->method,
                           o->path, o->addr);
    for (i = 0; i < o->nheaders; i++) {
        if (is_single_line(o->headers[i].name) &&
            is_single_line(o->headers[i].value)) {
            g_string_append_printf(s, "%s: %s\r\n", o->headers[i].name,
                                   o->headers[i].value);
        }
    }
    if (o->name) {
        f->name.name = SpArena_Str(f->arena, o->name->name);
        f->name.value = SpArena_Str(f->arena, o->name->value);
        g_string_append_printf(s, "%s: %s\r\n", f->name.name, f->name.value);
    }
    if (o->body_len || strcmp(o->method, "POST") == 0 ||
        strcmp(o->method, "PUT") == 0 || strcmp(o->method, "PATCH") == 0) {
        g_string_append_printf(s, "content-length: %zu\r\n", o->body_len);
    }
    g_string_append(s, "\r\n");
    return s;
}

static void
on_timeout(uv_timer_t *t)
{
    SpFetch *f = t->data;
    SpFetchResult r = {.end = SP_FETCH_NO_RESPONSE, .why = "timeout"};

    SpExchange_Abort(f->exchange);
    f->exchange = NULL;
    finish(f, &r);
}

static void
start_timer(SpFetch *f, int ms)
{
    f->has_timer = 1;
    uv_timer_init(f->web->loop, &f->timer);
    f->timer.data = f;
    uv_timer_start(&f->timer, on_timeout, (uint64_t)ms, 0);
}

SpFetch *
SpWeb_Fetch(SpWeb *w, const SpFetchOpts *o)
{
    SpFetch *f = g_new0(SpFetch, 1);
    SpPoolRequest request = {.body = o->body,
                             .body_len = o->body_len,
                             .max_response_bytes = o->max_response_bytes,
                             .is_head = strcmp(o->method, "HEAD") == 0,
                             .own_connection = o->own_connection,
                             .match = match_name,
                             .done = on_done,
                             .data = f};
    GString *head;

    f->web = w;
    f->arena = SpArena_New();
    f->cb = o->cb;
    f->data = o->data;
    head = build_head(f, o);
    request.head = head->str;
    request.head_len = head->len;
    if (o->timeout_ms > 0) {
        start_timer(f, o->timeout_ms);
    }
    f->exchange = SpPool_Send(get_pool(w, o->addr), &request);
    g_string_free(head, TRUE);
    return f;
}

void
SpFetch_Abort(SpFetch *f)
{
    if (f->exchange) {
        SpExchange_Abort(f->exchange);
        free_fetch(f);
    }
}

const char *
SpFetchResult_Header(const SpFetchResult *f, const char *name)
{
    int i;

    for (i = 0; i < f->nheaders; i++) {
        if (strcmp(f->headers[i].name, name) == 0) {
            return f->headers[i].value;
        }
    }
    return NULL;
}
