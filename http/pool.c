/*
 * HTTP client: a pool of persistent connections to one address, with at most
 * one request in flight on each.
 */
#include <string.h>

#include "http/priv.h"

#define MAX_HEAD_BYTES ((size_t)64 << 10)
/* A connection that has been idle for this long is checked for a close by the
   peer before it is reused. */
#define PEEK_IDLE_US (20 * SP_MS)
/* Connections are closed this long before the peer's keep-alive time-out, so
   that the peer does not close one just as a request is sent on it. */
#define IDLE_MARGIN_US (1 * SP_SEC)

typedef struct PoolConn {
    uv_tcp_t tcp;
    uv_connect_t connect_req;
    SpPool *p;
    uint64_t number;
    SpMsgReader r;
    SpExchange *x;
    int64_t since; /* start of the connect, the idle time or the request */
    int64_t idle_limit_us;
    int connected;
    int idle; /* in the pool's idle_conns */
    int no_reuse;
    int closing;
    int write_error; /* of queued bytes of the request; 0: none */
    int used;        /* a request before the present one was sent on it */
    SpRejected rejected;
} PoolConn;

struct SpExchange {
    PoolConn *c;
    char *out; /* request; NULL once it is passed to the socket */
    size_t out_len;
    int sent;
    int is_head;
    size_t max_response_bytes;
    guint key;
    int64_t key_until;
    SpReplyMatch (*match)(void *data, const SpMsg *m, int first);
    SpPoolDone done;
    void *data;
    SpMsg *response;
    const char *error;
};

struct SpPool {
    uv_loop_t *loop;
    SpPoolOpts o;
    struct sockaddr_in sa;
    GPtrArray *conns;
    GQueue idle_conns; /* of PoolConn, most recently used first */
    SpPoolCounts counts;
};

static void
on_closed(uv_handle_t *h)
{
    PoolConn *c = h->data;

    SpMsgReader_Clear(&c->r);
    SpRejected_Clear(&c->rejected);
    g_free(c);
}

static void
close_conn(PoolConn *c)
{
    if (c->closing) {
        return;
    }
    c->closing = 1;
    if (c->idle) {
        g_queue_remove(&c->p->idle_conns, c);
    }
    g_ptr_array_remove_fast(c->p->conns, c);
    uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
free_exchange(SpExchange *x)
{
    SpMsg_Free(x->response);
    g_free(x->out);
    g_free(x);
}

static void
finish(SpExchange *x, SpPoolStatus end, const char *error)
{
    if (x->c) {
        x->c->x = NULL;
    }
    x->done(x->data, end, end == SP_POOL_OK ? x->response : NULL, error);
    free_exchange(x);
}

/* Closes a broken connection and ends its exchange with an error. */
static void
fail(PoolConn *c, const char *error)
{
    SpExchange *x = c->x;

    c->x = NULL;
    close_conn(c);
    if (x) {
        x->c = NULL;
        finish(x, x->sent ? SP_POOL_NO_RESPONSE : SP_POOL_NOT_SENT, error);
    }
}

static SpReplyMatch
match_response(const PoolConn *c, const SpMsg *m)
{
    const SpExchange *x = c->x;

    return x->match ? x->match(x->data, m, !c->used) : SP_REPLY_FINAL;
}

static int
on_message(void *ctx, SpMsg *m)
{
    PoolConn *c = ctx;
    SpExchange *x = c->x;
    SpReplyMatch match;

    if (!x || x->response) {
        c->no_reuse = 1; /* unsolicited response */
        SpMsg_Free(m);
        return 1;
    }
    match = match_response(c, m);
    if (match == SP_REPLY_FAILURE) {
        x->error = "response-of-another";
        SpMsg_Free(m);
        return 1;
    }
    if (match == SP_REPLY_OTHER) {
        c->p->counts.discarded++;
        c->no_reuse = 1;
        SpMsg_Free(m);
        return 0;
    }
    if (match == SP_REPLY_REJECTION) {
        c->no_reuse |=
            !SpRejected_Add(&c->rejected, x->key, x->key_until, SpHttp_Now());
    }
    x->response = m;
    return 1;
}

/* Counts bytes that no request waits for. After a rejection they may be the
   answer of the instance to a request that it is taken not to have run. */
static void
count_unsolicited(PoolConn *c)
{
    c->p->counts.unsolicited++;
    SpLog(SP_LOG_INFO, "reply-unsolicited",
          "addr=%s conn=%" PRIu64 " idle_ms=%" PRId64 " rejections=%u",
          c->p->o.addr, c->number,
          c->idle ? (SpHttp_Now() - c->since) / SP_MS : 0,
          SpRejected_Count(&c->rejected));
}

static void
make_idle(PoolConn *c)
{
    c->since = SpHttp_Now();
    c->idle = 1;
    c->used = 1;
    g_queue_push_head(&c->p->idle_conns, c);
}

static void
set_idle_limit(PoolConn *c, const SpMsg *m)
{
    const char *s = SpMsg_Header(m, "keep-alive");
    const char *t = s ? strstr(s, "timeout=") : NULL;
    int64_t v = t ? g_ascii_strtoll(t + strlen("timeout="), NULL, 10) : 0;

    c->idle_limit_us = c->p->o.idle_us;
    if (v > 0) {
        c->idle_limit_us = MIN(c->idle_limit_us, v * SP_SEC - IDLE_MARGIN_US);
    }
}

static void
finish_response(PoolConn *c, int trailing)
{
    SpExchange *x = c->x;
    int unsent = uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp) > 0;

    set_idle_limit(c, x->response);
    if (trailing) {
        count_unsolicited(c);
    }
    /* Bytes after a response belong to no request. After an early response the
       peer still expects the rest of the request, so the connection cannot
       carry another one. */
    if (!x->response->keep_alive || c->no_reuse || trailing || unsent ||
        c->write_error || c->idle_limit_us <= 0) {
        x->c = NULL;
        c->x = NULL;
        close_conn(c);
    }
    else {
        c->x = NULL;
        x->c = NULL;
        make_idle(c);
    }
    finish(x, SP_POOL_OK, "");
}

static const char *const read_errors[] = {
    [SP_READ_OK] = "",
    [SP_READ_INVALID] = "not-http",
    [SP_READ_HEAD_TOO_LARGE] = "head-too-large",
    [SP_READ_BODY_TOO_LARGE] = "body-too-large",
    [SP_READ_NO_MEMORY] = "no-memory-for-body"};

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
    PoolConn *c = st->data;
    size_t consumed;

    if (n == 0) {
        return;
    }
    if (n < 0) {
        if (c->x &&
            SpHttp_IsClosedByFin((uv_handle_t *)st, n, c->write_error) &&
            SpMsgReader_End(&c->r) && c->x->response) {
            c->no_reuse = 1;
            finish_response(c, 0);
            return;
        }
        fail(c, n == UV_EOF ? "closed" : "reset");
        return;
    }
    if (!c->x) {
        count_unsolicited(c);
        close_conn(c);
        return;
    }
    if (c->x->error) {
        fail(c, c->x->error); /* the request was not sent: not its response */
        return;
    }
    c->r.skip_body = c->x->is_head;
    c->r.max_body = c->x->max_response_bytes ? c->x->max_response_bytes
                                             : c->p->o.body_bytes;
    consumed = SpMsgReader_Feed(&c->r, buf->base, (size_t)n);
    if (c->x->response) {
        finish_response(c, consumed < (size_t)n || c->r.msg != NULL);
        return;
    }
    if (c->x->error || c->r.state != SP_READ_OK) {
        fail(c, c->x->error ? c->x->error : read_errors[c->r.state]);
    }
}

static void
transmit(PoolConn *c)
{
    SpExchange *x = c->x;
    ssize_t n;
    char *p = x->out;

    x->out = NULL;
    n = SpHttp_Write((uv_stream_t *)&c->tcp, p, x->out_len, &c->write_error);
    x->sent = n >= 0;
    if (n < 0) {
        x->error = "write";
        /* done must not be called from within SpPool_Send: the read callback
           or SpPool_Tick reports the error */
        c->no_reuse = 1;
    }
}

static void
on_connect(uv_connect_t *req, int status)
{
    PoolConn *c = req->handle->data;

    if (c->closing) {
        return;
    }
    if (status < 0) {
        fail(c, "connect");
        return;
    }
    c->connected = 1;
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, SpHttp_Alloc, on_read);
    if (c->x) {
        transmit(c);
        if (!c->x->sent) {
            fail(c, "write");
        }
    }
    else {
        make_idle(c);
    }
}

static PoolConn *
open_conn(SpPool *p)
{
    PoolConn *c = g_new0(PoolConn, 1);

    c->p = p;
    uv_tcp_init(p->loop, &c->tcp);
    c->tcp.data = c;
    SpMsgReader_Init(&c->r, HTTP_RESPONSE);
    c->r.done = on_message;
    c->r.ctx = c;
    c->r.max_head = MAX_HEAD_BYTES;
    c->r.max_body = p->o.body_bytes;
    c->r.memory = p->o.memory;
    c->since = SpHttp_Now();
    g_ptr_array_add(p->conns, c);
    c->number = ++p->counts.opened;
    return c;
}

static int
is_closed_or_readable(PoolConn *c)
{
    return SpHttp_Now() - c->since >= PEEK_IDLE_US &&
           SpHttp_IsReadable((const uv_handle_t *)&c->tcp);
}

/* Takes an idle connection that may carry a request with this key; NULL if
   there is none. */
static PoolConn *
take_idle(SpPool *p, guint key)
{
    int64_t now = SpHttp_Now();
    GList *k, *next;

    for (k = p->idle_conns.head; k; k = next) {
        PoolConn *c = k->data;
        next = k->next;
        if (now - c->since >= c->idle_limit_us || is_closed_or_readable(c)) {
            close_conn(c);
            continue;
        }
        if (key && SpRejected_Has(&c->rejected, key, now)) {
            continue;
        }
        g_queue_delete_link(&p->idle_conns, k);
        c->idle = 0;
        return c;
    }
    return NULL;
}

static SpExchange *
new_exchange(const SpPoolRequest *o)
{
    SpExchange *x = g_new0(SpExchange, 1);

    x->is_head = o->is_head;
    x->max_response_bytes = o->max_response_bytes;
    x->key = o->key;
    x->key_until = o->key_until;
    x->match = o->match;
    x->done = o->done;
    x->data = o->data;
    x->out_len = o->head_len + o->body_len;
    x->out = g_malloc(x->out_len);
    memcpy(x->out, o->head, o->head_len);
    if (o->body_len) {
        memcpy(x->out + o->head_len, o->body, o->body_len);
    }
    return x;
}

SpExchange *
SpPool_Send(SpPool *p, const SpPoolRequest *o)
{
    SpExchange *x = new_exchange(o);
    PoolConn *c = o->own_connection ? NULL : take_idle(p, o->key);

    if (c) {
        c->x = x;
        x->c = c;
        c->since = SpHttp_Now();
        transmit(c);
        return x;
    }
    c = open_conn(p);
    c->x = x;
    x->c = c;
    c->no_reuse = o->own_connection;
    if (uv_tcp_connect(&c->connect_req, &c->tcp,
                       (const struct sockaddr *)&p->sa, on_connect) != 0) {
        c->since = 0; /* the next SpPool_Tick reports a connect time-out */
    }
    return x;
}

void
SpExchange_Abort(SpExchange *x)
{
    if (x->c) {
        x->c->x = NULL;
        close_conn(x->c);
    }
    free_exchange(x);
}

void
SpPool_Tick(SpPool *p, int64_t now)
{
    guint i;

    for (i = p->conns->len; i > 0; i--) {
        PoolConn *c = g_ptr_array_index(p->conns, i - 1);
        if (!c->connected && now - c->since > p->o.connect_us) {
            fail(c, "connect-timeout");
        }
        else if (c->x && c->no_reuse && c->x->error) {
            fail(c, c->x->error);
        }
        else if (c->idle && now - c->since > c->idle_limit_us) {
            close_conn(c);
        }
        i = MIN(i, p->conns->len + 1); /* done may close other connections */
    }
}

void
SpPool_CloseIdle(SpPool *p)
{
    PoolConn *c;

    while ((c = g_queue_pop_head(&p->idle_conns)) != NULL) {
        c->idle = 0;
        close_conn(c);
    }
}

uint64_t
SpExchange_Connection(const SpExchange *x)
{
    return x->c ? x->c->number : 0;
}

SpPoolCounts
SpPool_Counts(const SpPool *p)
{
    return p->counts;
}

SpPool *
SpPool_New(uv_loop_t *loop, const SpPoolOpts *o)
{
    SpPool *p = g_new0(SpPool, 1);

    p->loop = loop;
    p->o = *o;
    p->conns = g_ptr_array_new();
    g_queue_init(&p->idle_conns);
    if (!SpHttp_ParseAddr(o->addr, &p->sa)) {
        SpLog(SP_LOG_ERROR, "bad-address", "addr=%s", o->addr);
    }
    return p;
}

void
SpPool_Free(SpPool *p)
{
    SpPool_CloseIdle(p);
    g_ptr_array_free(p->conns, TRUE);
    g_free(p);
}
