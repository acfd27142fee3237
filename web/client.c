#include <string.h>

#include "web/priv.h"

/* Shorter than the idle time-out of the server, so that the server does not
   close a pooled connection just as a request is sent on it. */
#define POOL_IDLE_MS 5000

struct SpFetch {
    SpWeb *web;
    h2o_http1client_t *client;
    SpArena *arena;
    SpFetchCb cb;
    void *data;
    h2o_iovec_t reqbufs[2];
    int is_head;
    int has_length;
    SpHeader name; /* in the arena; name.name is NULL if there is none */
    int named;
    size_t max_response_bytes;
    int status;
    SpHeader *headers;
    int nheaders;
    GByteArray *body;
    uv_timer_t timer;
    int has_timer;
    int starting;            /* 1: within SpWeb_Fetch */
    const char *start_error; /* the connect failed within SpWeb_Fetch */
    int ended;
};

static h2o_socketpool_t *
get_pool(SpWeb *w, const char *addr)
{
    h2o_socketpool_t *p = g_hash_table_lookup(w->pools, addr);
    struct sockaddr_in sa;
    char ip[32];
    int port;

    if (p) {
        return p;
    }
    SpParse_Addr(addr, ip, sizeof ip, &port);
    uv_ip4_addr(ip, port, &sa);
    p = g_new0(h2o_socketpool_t, 1);
    h2o_socketpool_init_by_address(p, (struct sockaddr *)&sa, sizeof sa, 0,
                                   SIZE_MAX);
    h2o_socketpool_set_timeout(p, w->loop, POOL_IDLE_MS);
    g_hash_table_insert(w->pools, g_strdup(addr), p);
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
    if (f->body) {
        g_byte_array_free(f->body, TRUE);
    }
    if (f->has_timer) {
        uv_close((uv_handle_t *)&f->timer, on_timer_closed);
        return;
    }
    g_free(f);
}

static void
finish(SpFetch *f, SpFetchStatus end, const char *why)
{
    SpFetchResult r = {end,         why,  f->status, f->headers,
                       f->nheaders, NULL, 0,         f->named};

    if (f->ended) {
        return;
    }
    f->ended = 1;
    if (f->body) {
        r.body_len = f->body->len;
        g_byte_array_append(f->body, (const guint8 *)"", 1);
        r.body = (const char *)f->body->data;
    }
    f->cb(f->data, &r);
    free_fetch(f);
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
    SpFetch *f = client->data;
    h2o_buffer_t *in = client->sock->input;

    if (errstr && errstr != h2o_http1client_error_is_eos) {
        finish(f, SP_FETCH_NO_RESPONSE, "response truncated");
        return -1;
    }
    g_byte_array_append(f->body, (const guint8 *)in->bytes, (guint)in->size);
    h2o_buffer_consume(&client->sock->input, in->size);
    if (f->body->len > f->max_response_bytes) {
        finish(f, SP_FETCH_NO_RESPONSE, "response too large");
        return -1;
    }
    if (errstr && !f->has_length) {
        finish(f, SP_FETCH_NO_RESPONSE, "response without a length");
        return -1;
    }
    if (errstr) {
        finish(f, SP_FETCH_OK, NULL);
    }
    return 0;
}

static void
copy_headers(SpFetch *f, const h2o_header_t *hs, size_t n)
{
    size_t i;

    f->headers = SpArena_Alloc(f->arena, (n + 1) * sizeof(SpHeader));
    f->nheaders = (int)n;
    for (i = 0; i < n; i++) {
        f->headers[i].name =
            SpArena_Dup(f->arena, hs[i].name->base, hs[i].name->len);
        f->headers[i].value =
            SpArena_Dup(f->arena, hs[i].value.base, hs[i].value.len);
        if (strcmp(f->headers[i].name, "content-length") == 0 ||
            strcmp(f->headers[i].name, "transfer-encoding") == 0) {
            f->has_length = 1;
        }
    }
}

/* Returns 0 if the response names another request. */
static int
check_name(SpFetch *f)
{
    SpFetchResult r = {.headers = f->headers, .nheaders = f->nheaders};
    const char *v =
        f->name.name ? SpFetchResult_Header(&r, f->name.name) : NULL;

    f->named = v != NULL;
    return !v || strcmp(v, f->name.value) == 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
        int status, h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers,
        int rlen)
{
    SpFetch *f = client->data;

    (void)minor_version;
    (void)msg;
    (void)rlen;
    if (errstr && errstr != h2o_http1client_error_is_eos) {
        finish(f, SP_FETCH_NO_RESPONSE, errstr);
        return NULL;
    }
    f->status = status;
    copy_headers(f, headers, num_headers);
    if (!check_name(f)) {
        finish(f, SP_FETCH_NO_RESPONSE, "response to another request");
        return NULL;
    }
    f->body = g_byte_array_new();
    if (status == 204 || status == 304 || f->is_head) {
        f->has_length = 1;
    }
    if (errstr) {
        finish(f, f->has_length ? SP_FETCH_OK : SP_FETCH_NO_RESPONSE,
               "response without a length");
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr,
           h2o_iovec_t **reqbufs, size_t *reqbufcnt, int *method_is_head)
{
    SpFetch *f = client->data;

    if (errstr && f->starting) {
        f->start_error = errstr;
        return NULL;
    }
    if (errstr) {
        finish(f, SP_FETCH_CONNECT_FAILED, errstr);
        return NULL;
    }
    *reqbufs = f->reqbufs;
    *reqbufcnt = f->reqbufs[1].len ? 2 : 1;
    *method_is_head = f->is_head;
    return on_head;
}

static int
is_single_line(const char *s)
{
    return strpbrk(s, "\r\n") == NULL;
}

static void
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
    f->reqbufs[0].base = SpArena_Dup(f->arena, s->str, s->len);
    f->reqbufs[0].len = s->len;
    f->reqbufs[1].base = SpArena_Dup(f->arena, o->body, o->body_len);
    f->reqbufs[1].len = o->body_len;
    g_string_free(s, TRUE);
}

static void
on_timeout(uv_timer_t *t)
{
    SpFetch *f = t->data;

    if (!f->ended) {
        h2o_http1client_cancel(f->client);
        finish(f, SP_FETCH_NO_RESPONSE, "timeout");
    }
}

static void
on_start_failed(uv_timer_t *t)
{
    SpFetch *f = t->data;

    finish(f, SP_FETCH_CONNECT_FAILED, f->start_error);
}

static void
start_timer(SpFetch *f, uv_timer_cb cb, int ms)
{
    if (!f->has_timer) {
        f->has_timer = 1;
        uv_timer_init(f->web->loop, &f->timer);
        f->timer.data = f;
    }
    uv_timer_start(&f->timer, cb, (uint64_t)ms, 0);
}

static void
connect_alone(SpFetch *f, const char *addr)
{
    char ip[32];
    int port;

    SpParse_Addr(addr, ip, sizeof ip, &port);
    h2o_http1client_connect(&f->client, f, &f->web->client,
                            h2o_iovec_init(ip, strlen(ip)), (uint16_t)port, 0,
                            on_connect);
}

SpFetch *
SpWeb_Fetch(SpWeb *w, const SpFetchOpts *o)
{
    SpFetch *f = g_new0(SpFetch, 1);

    f->web = w;
    f->arena = SpArena_New();
    f->cb = o->cb;
    f->data = o->data;
    f->max_response_bytes =
        o->max_response_bytes ? o->max_response_bytes : (16 << 20);
    f->is_head = strcmp(o->method, "HEAD") == 0;
    build_head(f, o);
    if (o->timeout_ms > 0) {
        start_timer(f, on_timeout, o->timeout_ms);
    }
    f->starting = 1;
    if (o->own_connection) {
        connect_alone(f, o->addr);
    }
    else {
        h2o_http1client_connect_with_pool(&f->client, f, &w->client,
                                          get_pool(w, o->addr), on_connect);
    }
    f->starting = 0;
    if (f->start_error) {
        start_timer(f, on_start_failed, 0);
    }
    return f;
}

void
SpFetch_Abort(SpFetch *f)
{
    if (!f->ended) {
        f->ended = 1;
        if (!f->start_error) {
            h2o_http1client_cancel(f->client);
        }
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
