#include <netinet/tcp.h>
#include <string.h>
#include <time.h>

#include "web/priv.h"

#define BACKLOG 1024
/* Reading from a client whose request is still pending stops when more than
   this many bytes are buffered. */
#define MAX_EARLY_BYTES (256 * 1024)

typedef struct Handler {
    h2o_handler_t super;
    SpWeb *web;
    SpWebHandler h;
    size_t header_bytes;
} Handler;

struct SpWebReq {
    h2o_req_t *req;        /* NULL once h2o has freed it */
    h2o_socket_t *watched; /* read for a disconnect while pending */
    Handler *handler;
    SpArena *arena;
    void *data;
    const char *method, *path, *body;
    size_t body_len;
    SpHeader *headers;
    size_t nheaders;
    int refs;
    int ended; /* response sent, or client disconnected */
};

/* Allocated in h2o's pool of the request; its dispose function is called when
   h2o frees the request. */
typedef struct RequestHook {
    SpWebReq *r;
} RequestHook;

int64_t
SpClock_Now(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

int64_t
SpClock_Wall(void)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * SP_SEC + t.tv_nsec / 1000;
}

static void
free_req(SpWebReq *r)
{
    if (!r->refs) {
        SpArena_Free(r->arena);
        g_free(r);
    }
}

static void
unwatch_socket(SpWebReq *r)
{
    if (r->watched) {
        g_hash_table_remove(r->handler->web->req_by_sock, r->watched);
        h2o_socket_read_stop(r->watched);
        r->watched = NULL;
    }
}

static void
notify_disconnect(SpWebReq *r)
{
    if (!r->ended) {
        r->ended = 1;
        r->refs++;
        r->handler->h.on_disconnect(r->handler->h.ctx, r);
        r->refs--;
    }
}

static void
on_req_disposed(void *p)
{
    RequestHook *hook = p;
    SpWebReq *r = hook->r;

    if (r->watched) {
        g_hash_table_remove(r->handler->web->req_by_sock, r->watched);
        r->watched = NULL;
    }
    notify_disconnect(r);
    r->req = NULL;
    free_req(r);
}

static const char *
copy_string(SpWebReq *r, h2o_iovec_t v)
{
    return SpArena_Dup(r->arena, v.base, v.len);
}

static size_t
copy_headers(SpWebReq *r, const h2o_headers_t *hs)
{
    size_t i, bytes = 0;

    r->headers = SpArena_Alloc(r->arena, (hs->size + 1) * sizeof(SpHeader));
    r->nheaders = hs->size;
    for (i = 0; i < hs->size; i++) {
        r->headers[i].name = copy_string(r, *hs->entries[i].name);
        r->headers[i].value = copy_string(r, hs->entries[i].value);
        bytes += hs->entries[i].name->len + hs->entries[i].value.len + 4;
    }
    return bytes;
}

/*
 * Reads from a client whose request is pending. Early data stays in the
 * buffer; an error or the end of the stream means that the client has
 * disconnected.
 */
static void
on_early_read(h2o_socket_t *sock, const char *err)
{
    GHashTable *req_by_sock = sock->on_close.data;
    SpWebReq *r = req_by_sock ? g_hash_table_lookup(req_by_sock, sock) : NULL;

    if (!r) {
        h2o_socket_read_stop(sock);
        return;
    }
    if (!err) {
        if (sock->input->size > MAX_EARLY_BYTES) {
            h2o_socket_read_stop(sock);
        }
        return;
    }
    unwatch_socket(r);
    notify_disconnect(r);
    r->req->http1_is_persistent = 0;
    r->req->res.status = 499;
    r->req->res.reason = "Client Closed Request";
    r->req->res.content_length = 0;
    h2o_send_inline(r->req, "", 0);
}

static void
watch_socket(SpWebReq *r)
{
    h2o_conn_t *conn = r->req->conn;
    h2o_socket_t *sock;

    if (r->req->version >= 0x200) {
        return; /* HTTP/2: h2o frees the request when its stream is reset */
    }
    sock = conn->callbacks->get_socket(conn);
    if (!sock || sock->ssl) {
        return;
    }
    r->watched = sock;
    sock->on_close.data = r->handler->web->req_by_sock;
    g_hash_table_insert(r->handler->web->req_by_sock, sock, r);
    h2o_socket_read_start(sock, on_early_read);
}

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
    Handler *h = (Handler *)self;
    SpWebReq *r = g_new0(SpWebReq, 1);
    RequestHook *hook =
        h2o_mem_alloc_shared(&req->pool, sizeof *hook, on_req_disposed);
    size_t bytes;

    hook->r = r;
    r->req = req;
    r->handler = h;
    r->arena = SpArena_New();
    r->method = copy_string(r, req->method);
    r->path = copy_string(r, req->path);
    r->body = req->entity.base ? copy_string(r, req->entity) : "";
    r->body_len = req->entity.base ? req->entity.len : 0;
    bytes = copy_headers(r, &req->headers);
    if (bytes + req->path.len > h->header_bytes) {
        SpWebReq_Respond(r, 431, NULL, 0, "the request's head is too large\n",
                         32);
        return 0;
    }
    watch_socket(r);
    h->h.on_request(h->h.ctx, r);
    return 0;
}

SpWeb *
SpWeb_New(uv_loop_t *loop, const SpWebOpts *o)
{
    SpWeb *w = g_new0(SpWeb, 1);

    w->loop = loop;
    w->o = *o;
    w->listeners = g_ptr_array_new();
    w->clients = g_ptr_array_new();
    w->req_by_sock = g_hash_table_new(NULL, NULL);
    w->pools = g_ptr_array_new();
    w->pool_by_addr = g_hash_table_new(g_str_hash, g_str_equal);
    h2o_config_init(&w->conf);
    w->conf.server_name = h2o_iovec_init(H2O_STRLIT("siskinpond"));
    w->conf.max_request_entity_size = o->body_bytes;
    w->conf.http1.req_timeout = (uint64_t)o->idle_ms;
    w->conf.http2.idle_timeout = (uint64_t)o->idle_ms;
    return w;
}

static void
on_client_closed(uv_handle_t *t)
{
    Client *c = (Client *)t;

    c->l->nconns--;
    c->l->web->nconns--;
    forget_client(c);
    free(c);
}

static void
reject_client(Client *c)
{
    static const char text[] =
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n"
        "retry-after: 1\r\nsp-outcome: not-run\r\nsp-kind: queue-full\r\n"
        "content-length: 21\r\n\r\ntoo many connections\n";
    uv_buf_t buf = uv_buf_init((char *)text, sizeof text - 1);

    uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
    uv_close((uv_handle_t *)&c->tcp, on_client_closed);
}

static void
on_accept(uv_stream_t *s, int status)
{
    Listener *l = s->data;
    h2o_socket_t *sock;
    Client *c;

    if (status != 0) {
        return;
    }
    c = calloc(1, sizeof *c);
    c->l = l;
    uv_tcp_init(l->web->loop, &c->tcp);
    l->nconns++;
    l->web->nconns++;
    if (uv_accept(s, (uv_stream_t *)&c->tcp) != 0) {
        uv_close((uv_handle_t *)&c->tcp, on_client_closed);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    if (l->nconns > l->web->o.max_connections ||
        !SpWeb_FreeDescriptor(l->web)) {
        reject_client(c);
        return;
    }
    sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp, on_client_closed);
    watch_client(c, sock);
    h2o_accept(&l->accept, sock);
}

/* h2o requires that all hosts are registered before the context is set up. */
static h2o_hostconf_t *
add_host(SpWeb *w, const SpWebHandler *h)
{
    char name[32];
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    Handler *hd;

    g_snprintf(name, sizeof name, "listener%u", w->listeners->len);
    host = h2o_config_register_host(&w->conf,
                                    h2o_iovec_init(name, strlen(name)), 65535);
    path = h2o_config_register_path(host, "/", 0);
    hd = (Handler *)h2o_create_handler(path, sizeof *hd);
    hd->super.on_req = on_req;
    hd->web = w;
    hd->h = *h;
    hd->header_bytes = w->o.header_bytes;
    return host;
}

void
SpWeb_Start(SpWeb *w)
{
    static const SpWebHandler none = {NULL, NULL, NULL};

    if (!w->started) {
        w->started = 1;
        if (w->listeners->len == 0) {
            add_host(w, &none); /* h2o needs a host even without listeners */
        }
        h2o_context_init(&w->ctx, w->loop, &w->conf);
        watch_clients(w);
    }
}

int
SpWeb_Listen(SpWeb *w, const char *addr, const SpWebHandler *h, GError **err)
{
    Listener *l = g_new0(Listener, 1);
    struct sockaddr_in sa;
    char ip[32];
    int port, rc;

    g_assert(!w->started);
    l->web = w;
    l->hosts[0] = add_host(w, h);
    l->accept.hosts = l->hosts;
    l->accept.ctx = &w->ctx;
    g_ptr_array_add(w->listeners, l);
    SpParse_Addr(addr, ip, sizeof ip, &port);
    uv_ip4_addr(ip, port, &sa);
    uv_tcp_init(w->loop, &l->tcp);
    l->tcp.data = l;
    rc = uv_tcp_bind(&l->tcp, (struct sockaddr *)&sa, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&l->tcp, BACKLOG, on_accept);
    }
    if (rc != 0) {
        g_set_error(err, SP_ERROR, SP_ERROR_SYSTEM, "cannot listen on %s: %s",
                    addr, uv_strerror(rc));
        return 0;
    }
    return 1;
}

void
SpWeb_Close(SpWeb *w)
{
    guint i;

    for (i = 0; i < w->listeners->len; i++) {
        Listener *l = g_ptr_array_index(w->listeners, i);
        if (!uv_is_closing((uv_handle_t *)&l->tcp)) {
            uv_close((uv_handle_t *)&l->tcp, NULL);
        }
    }
    if (w->started) {
        h2o_context_request_shutdown(&w->ctx);
    }
}

int
SpWeb_Connections(const SpWeb *w)
{
    return w->nconns;
}

const char *
SpWebReq_Method(const SpWebReq *r)
{
    return r->method;
}

const char *
SpWebReq_Path(const SpWebReq *r)
{
    return r->path;
}

const char *
SpWebReq_Header(const SpWebReq *r, const char *name)
{
    size_t i;

    for (i = 0; i < r->nheaders; i++) {
        if (strcmp(r->headers[i].name, name) == 0) {
            return r->headers[i].value;
        }
    }
    return NULL;
}

void
SpWebReq_Each(const SpWebReq *r,
              void (*f)(void *ctx, const char *name, const char *value),
              void *ctx)
{
    size_t i;

    for (i = 0; i < r->nheaders; i++) {
        f(ctx, r->headers[i].name, r->headers[i].value);
    }
}

const char *
SpWebReq_Body(const SpWebReq *r, size_t *n)
{
    *n = r->body_len;
    return r->body;
}

SpArena *
SpWebReq_Arena(const SpWebReq *r)
{
    return r->arena;
}

void
SpWebReq_SetData(SpWebReq *r, void *data)
{
    r->data = data;
}

void *
SpWebReq_Data(const SpWebReq *r)
{
    return r->data;
}

void
SpWebReq_Ref(SpWebReq *r)
{
    r->refs++;
}

void
SpWebReq_Unref(SpWebReq *r)
{
    r->refs--;
    if (!r->req) {
        free_req(r);
    }
}

static const char *
reason_phrase(int status)
{
    static const struct {
        int status;
        const char *text;
    } known[] = {{200, "OK"},
                 {201, "Created"},
                 {204, "No Content"},
                 {303, "See Other"},
                 {400, "Bad Request"},
                 {401, "Unauthorized"},
                 {403, "Forbidden"},
                 {404, "Not Found"},
                 {405, "Method Not Allowed"},
                 {409, "Conflict"},
                 {410, "Gone"},
                 {413, "Payload Too Large"},
                 {422, "Unprocessable Content"},
                 {428, "Precondition Required"},
                 {431, "Request Header Fields Too Large"},
                 {499, "Client Closed Request"},
                 {500, "Internal Server Error"},
                 {502, "Bad Gateway"},
                 {503, "Service Unavailable"},
                 {504, "Gateway Timeout"}};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(known); i++) {
        if (known[i].status == status) {
            return known[i].text;
        }
    }
    return "Status";
}

void
SpWebReq_Respond(SpWebReq *r, int status, const SpHeader *hs, int nhs,
                 const char *body, size_t n)
{
    h2o_req_t *req = r->req;
    int i;

    if (!req || r->ended) {
        return;
    }
    unwatch_socket(r);
    r->ended = 1;
    req->res.status = status;
    req->res.reason = reason_phrase(status);
    req->res.content_length = n;
    for (i = 0; i < nhs; i++) {
        h2o_iovec_t name = h2o_strdup(&req->pool, hs[i].name, SIZE_MAX);
        h2o_iovec_t value = h2o_strdup(&req->pool, hs[i].value, SIZE_MAX);
        h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
                              name.len, 1, NULL, value.base, value.len);
    }
    h2o_send_inline(req, body, n);
}
