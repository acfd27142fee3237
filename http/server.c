/*
 * HTTP server: sends responses in the order of the requests.
 *
 * A connection that breaks while a response is sent is put on a list and
 * dropped at the end of the turn of the loop, so that SpHttpReq_Respond never
 * calls on_disconnect: its caller may be in the middle of a list of requests.
 */
#include <poll.h>
#include <string.h>

#include "http/priv.h"

/* Requests of one connection that may be pending before reading pauses. */
#define MAX_PIPELINE 64
/* Time for the client to close a connection after it has taken the last
   response. */
#define LINGER_US (1 * SP_SEC)
/* Time for the first or next request of a connection to arrive before
   SpHttpServer_CloseIdle takes the connection as idle. */
#define CLOSE_IDLE_US (200 * SP_MS)
#define BACKLOG 1024
/* Reading that has paused does not resume while this many bytes of responses
   are unsent. */
#define MAX_UNSENT_BYTES ((size_t)1 << 20)

typedef struct Listener {
    uv_tcp_t tcp;
    SpHttpServer *s;
    SpHttpHandler h;
} Listener;

typedef struct Conn {
    uv_tcp_t tcp;
    uv_shutdown_t shutdown_req;
    SpHttpServer *s;
    Listener *l;
    SpMsgReader r;
    GQueue reqs; /* of SpHttpReq, oldest first */
    int64_t opened_at;
    int64_t since;  /* start of the idle time or of the head being read, or
                       time of the last bytes of the body being read */
    int in_message; /* a request has been read in part */
    int closing;    /* no further request is accepted */
    int write_shut; /* the write side is shut down, or dropped is set */
    int broken;     /* to be dropped at the end of the turn */
    int dropped;    /* the handle is closing */
    int read_paused;
    size_t unsent;   /* bytes of responses that the socket has not accepted */
    int64_t sent_at; /* when unsent last changed, or the write side was shut */
} Conn;

struct SpHttpReq {
    Conn *c;
    SpMsg *msg;
    void *data;
    int responded;
    char *out;
    size_t out_len;
};

struct SpHttpServer {
    uv_loop_t *loop;
    SpHttpLimits limits;
    SpBodyMemory *memory;
    GPtrArray *conns;         /* of Conn */
    GPtrArray *broken;        /* of Conn */
    uv_prepare_t end_of_turn; /* active while there are broken connections */
    int draining;
};

static void send_responses(Conn *c);

static void
free_req(SpHttpReq *r)
{
    SpMsg_Free(r->msg);
    g_free(r->out);
    g_free(r);
}

static void
on_closed(uv_handle_t *h)
{
    Conn *c = h->data;

    SpMsgReader_Clear(&c->r);
    g_free(c);
}

static void
drop_conn(Conn *c)
{
    SpHttpReq *r;

    if (c->dropped) {
        return;
    }
    c->dropped = c->closing = c->write_shut = 1;
    if (c->broken) {
        g_ptr_array_remove_fast(c->s->broken, c);
    }
    while ((r = g_queue_pop_head(&c->reqs)) != NULL) {
        if (!r->responded) {
            c->l->h.on_disconnect(c->l->h.ctx, r);
        }
        free_req(r);
    }
    g_ptr_array_remove_fast(c->s->conns, c);
    uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
drop_broken(uv_prepare_t *p)
{
    const SpHttpServer *s = p->data;

    while (s->broken->len) {
        drop_conn(g_ptr_array_index(s->broken, 0));
    }
    uv_prepare_stop(p);
}

static void
mark_broken(Conn *c)
{
    if (c->broken || c->dropped) {
        return;
    }
    c->broken = c->closing = c->write_shut = 1;
    c->sent_at = SpHttp_Now();
    g_ptr_array_add(c->s->broken, c);
    uv_prepare_start(&c->s->end_of_turn, drop_broken);
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
    (void)req;
    (void)status; /* a read error or SpHttpServer_Tick closes the connection */
}

/* Shuts down the write side after the last response, so that the client closes
   the connection. */
static void
shutdown_conn(Conn *c)
{
    if (c->write_shut) {
        return;
    }
    c->write_shut = 1;
    c->sent_at = SpHttp_Now();
    if (uv_shutdown(&c->shutdown_req, (uv_stream_t *)&c->tcp, on_shutdown) !=
        0) {
        mark_broken(c);
    }
}

static void on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf);

static void
resume_reading(Conn *c)
{
    if (c->read_paused && !c->broken && !c->dropped &&
        c->reqs.length < MAX_PIPELINE &&
        uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp) <
            MAX_UNSENT_BYTES) {
        c->read_paused = 0;
        uv_read_start((uv_stream_t *)&c->tcp, SpHttp_Alloc, on_read);
    }
}

/* Sends, in one write, the responses that are next in request order. */
static void
send_responses(Conn *c)
{
    GString *out = NULL;
    SpHttpReq *r;
    size_t n;

    if (c->broken || c->dropped) {
        return;
    }
    while ((r = g_queue_peek_head(&c->reqs)) != NULL && r->responded) {
        g_queue_pop_head(&c->reqs);
        if (!out) {
            out = g_string_sized_new(r->out_len + 1);
        }
        g_string_append_len(out, r->out, (gssize)r->out_len);
        free_req(r);
    }
    if (out) {
        n = out->len;
        if (SpHttp_Write((uv_stream_t *)&c->tcp, g_string_free(out, FALSE),
                         n) < 0) {
            mark_broken(c);
            return;
        }
        c->since = SpHttp_Now();
    }
    if (c->closing && g_queue_is_empty(&c->reqs)) {
        shutdown_conn(c);
        return;
    }
    resume_reading(c);
}

static void
build_response(SpHttpReq *r, int status, const char *lines, const char *body,
               size_t n, int close)
{
    GString *s = g_string_sized_new(256 + n);
    int no_body = status == 204 || status == 304 || status / 100 == 1;

    g_string_append_printf(s, "HTTP/1.1 %d %s\r\n%s", status,
                           SpHttp_Reason(status), lines);
    if (!no_body) {
        g_string_append_printf(s, "Content-Length: %zu\r\n", n);
    }
    g_string_append(s, close ? "Connection: close\r\n\r\n" : "\r\n");
    if (n && !no_body && !(r->msg && strcmp(r->msg->method, "HEAD") == 0)) {
        g_string_append_len(s, body, (gssize)n);
    }
    r->out_len = s->len;
    r->out = g_string_free(s, FALSE);
    r->responded = 1;
}

void
SpHttpReq_Respond(SpHttpReq *r, int status, const char *lines,
                  const char *body, size_t n)
{
    Conn *c = r->c;
    int last = g_queue_peek_tail(&c->reqs) == r;

    if (!r->msg->keep_alive || (c->s->draining && last)) {
        c->closing = 1;
    }
    build_response(r, status, lines, body, n, c->closing && last);
    send_responses(c);
}

/* Queues an error response to an unreadable request and closes after it. */
static void
reject(Conn *c, int status, const char *lines)
{
    SpHttpReq *r = g_new0(SpHttpReq, 1);

    r->c = c;
    c->closing = 1;
    build_response(r, status, lines, "", 0, 1);
    g_queue_push_tail(&c->reqs, r);
}

static int
on_message(void *ctx, SpMsg *m)
{
    Conn *c = ctx;
    SpHttpReq *r;

    c->in_message = 0;
    c->since = SpHttp_Now();
    if (c->closing) {
        SpMsg_Free(m);
        return 0;
    }
    r = g_new0(SpHttpReq, 1);
    r->c = c;
    r->msg = m;
    g_queue_push_tail(&c->reqs, r);
    if (!m->keep_alive) {
        c->closing = 1;
    }
    c->l->h.on_request(c->l->h.ctx, r);
    return 0;
}

static void
check_reader(Conn *c)
{
    if (c->closing) {
        return;
    }
    switch (c->r.state) {
    case SP_READ_OK:
        break;
    case SP_READ_INVALID:
        reject(c, 400, "");
        break;
    case SP_READ_HEAD_TOO_LARGE:
        reject(c, 431, "");
        break;
    case SP_READ_BODY_TOO_LARGE:
        reject(c, 413, "");
        break;
    case SP_READ_NO_MEMORY:
        reject(c, 503, "Retry-After: 1\r\n");
        break;
    }
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
    Conn *c = st->data;

    if (n == 0) {
        return;
    }
    if (n < 0) {
        drop_conn(c);
        return;
    }
    if (c->closing) {
        return; /* data after the last request is discarded */
    }
    if ((!c->in_message && !c->r.msg) || c->r.head_done) {
        c->since = SpHttp_Now();
    }
    SpMsgReader_Feed(&c->r, buf->base, (size_t)n);
    c->in_message = c->r.msg != NULL;
    check_reader(c);
    if (c->reqs.length >= MAX_PIPELINE) {
        c->read_paused = 1;
        uv_read_stop(st);
    }
    send_responses(c);
}

static void
on_connection(uv_stream_t *st, int status)
{
    Listener *l = st->data;
    Conn *c;

    if (status < 0) {
        SpLog(SP_LOG_WARN, "accept-failed", "why=\"%s\"", uv_strerror(status));
        return;
    }
    c = g_new0(Conn, 1);
    c->s = l->s;
    c->l = l;
    uv_tcp_init(l->s->loop, &c->tcp);
    c->tcp.data = c;
    SpMsgReader_Init(&c->r, HTTP_REQUEST);
    c->r.done = on_message;
    c->r.ctx = c;
    c->r.max_head = l->s->limits.header_bytes;
    c->r.max_body = l->s->limits.body_bytes;
    c->r.memory = l->s->memory;
    c->since = c->opened_at = SpHttp_Now();
    g_queue_init(&c->reqs);
    g_ptr_array_add(l->s->conns, c);
    if (uv_accept(st, (uv_stream_t *)&c->tcp) != 0) {
        drop_conn(c);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, SpHttp_Alloc, on_read);
}

SpHttpServer *
SpHttpServer_New(uv_loop_t *loop, const SpHttpLimits *l, SpBodyMemory *memory)
{
    SpHttpServer *s = g_new0(SpHttpServer, 1);

    s->loop = loop;
    s->limits = *l;
    s->memory = memory;
    s->conns = g_ptr_array_new();
    s->broken = g_ptr_array_new();
    uv_prepare_init(loop, &s->end_of_turn);
    s->end_of_turn.data = s;
    /* http_parser's own limit must not be lower than header_bytes */
    http_parser_set_max_header_size(1u << 30);
    return s;
}

void
SpHttpServer_SetLimits(SpHttpServer *s, const SpHttpLimits *l)
{
    guint i;

    s->limits = *l;
    for (i = 0; i < s->conns->len; i++) {
        Conn *c = g_ptr_array_index(s->conns, i);
        c->r.max_head = l->header_bytes;
        c->r.max_body = l->body_bytes;
    }
}

int
SpHttpServer_Listen(SpHttpServer *s, const char *addr, const SpHttpHandler *h,
                    GError **err)
{
    Listener *l = g_new0(Listener, 1);

    l->s = s;
    l->h = *h;
    if (!SpHttp_ListenTcp(s->loop, &l->tcp, addr, BACKLOG, on_connection,
                          err)) {
        return 0;
    }
    l->tcp.data = l;
    return 1;
}

/* Returns 1 while the client has not yet taken what was sent to it. */
static int
is_sending(Conn *c, int64_t now)
{
    size_t unsent = uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp);

    if (unsent != c->unsent) {
        c->unsent = unsent;
        c->sent_at = now;
    }
    return unsent > 0;
}

/* Returns 1 if the client has closed, also while bytes before the close have
   not been read. */
static int
has_client_left(const Conn *c)
{
    uv_os_fd_t fd;
    struct pollfd p = {.events = POLLRDHUP};

    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0) {
        return 1;
    }
    p.fd = fd;
    return poll(&p, 1, 0) > 0;
}

/* Looks at a connection that is not being read because too many of its
   requests are pending. */
static void
check_paused(Conn *c)
{
    if (has_client_left(c)) {
        drop_conn(c);
        return;
    }
    resume_reading(c);
}

static void
check_timeouts(Conn *c, const SpHttpLimits *limits, int64_t now)
{
    if (is_sending(c, now)) {
        if (now - c->sent_at > limits->idle_us) {
            drop_conn(c);
        }
        return;
    }
    if (c->write_shut) {
        if (now - c->sent_at > LINGER_US) {
            drop_conn(c);
        }
        return;
    }
    if (!g_queue_is_empty(&c->reqs)) {
        return;
    }
    if (c->in_message &&
        now - c->since >
            (c->r.head_done ? limits->idle_us : limits->header_us)) {
        reject(c, 408, "");
        send_responses(c);
    }
    else if (!c->in_message &&
             now - MAX(c->since, c->sent_at) > limits->idle_us) {
        c->closing = 1;
        shutdown_conn(c);
    }
}

void
SpHttpServer_Tick(SpHttpServer *s, int64_t now)
{
    guint i;

    for (i = s->conns->len; i > 0; i--) {
        Conn *c = g_ptr_array_index(s->conns, i - 1);
        if (c->read_paused) {
            check_paused(c);
        }
        if (!c->dropped) {
            check_timeouts(c, &s->limits, now);
        }
    }
}

void
SpHttpServer_Drain(SpHttpServer *s)
{
    s->draining = 1;
}

/* Returns 1 if nothing was sent for CLOSE_IDLE_US after the connection was
   opened or its last response was taken. */
static int
is_idle(const Conn *c, int64_t now)
{
    return !c->reqs.length && !c->in_message && !c->write_shut &&
           now - MAX(c->since, c->sent_at) > CLOSE_IDLE_US &&
           !SpHttp_IsReadable((const uv_handle_t *)&c->tcp);
}

void
SpHttpServer_CloseIdle(SpHttpServer *s)
{
    int64_t now = SpHttp_Now();
    guint i;

    for (i = s->conns->len; i > 0; i--) {
        Conn *c = g_ptr_array_index(s->conns, i - 1);
        if (is_idle(c, now)) {
            c->closing = 1;
            shutdown_conn(c);
        }
    }
}

int
SpHttpServer_Connections(const SpHttpServer *s)
{
    return (int)s->conns->len;
}

const SpMsg *
SpHttpReq_Msg(const SpHttpReq *r)
{
    return r->msg;
}

int64_t
SpHttpReq_OpenedAt(const SpHttpReq *r)
{
    return r->c->opened_at;
}

void
SpHttpReq_SetData(SpHttpReq *r, void *data)
{
    r->data = data;
}

void *
SpHttpReq_Data(const SpHttpReq *r)
{
    return r->data;
}
