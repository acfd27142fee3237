/*
 * HTTP server: sends responses in the order of the requests.
 *
 * A connection that breaks while a response is sent is put on a list and
 * dropped at the end of the turn of the loop, so that SpHttpReq_Respond never
 * calls on_disconnect: its caller may be in the middle of a list of requests.
 */
#include <string.h>

#include "http/conn.h"

/* Requests of one connection that may be pending before reading pauses. */
#define MAX_PIPELINE 64
#define BACKLOG 1024
/* Room for the head of a response beside its header lines. */
#define RESPONSE_BYTES ((size_t)256)
/* An answer up to this size is always held: its request took more. */
#define SMALL_ANSWER_BYTES ((size_t)4 << 10)
/* Reading that has paused does not resume while this many bytes of responses
   are unsent. */
#define MAX_UNSENT_BYTES ((size_t)1 << 20)

void
drop_out(SpHttpReq *r)
{
    if (!r->out) {
        return;
    }
    r->c->ready -= r->out_len;
    if (r->c->out.memory) {
        SpBodyMemory_Release(r->c->out.memory, r->out_len);
    }
    g_free(r->out);
    r->out = NULL;
}

static void
free_req(SpHttpReq *r)
{
    drop_out(r);
    SpMsg_Free(r->msg);
    g_free(r);
}

static SpHeld *
held_by(const SpHttpServer *s)
{
    return s->o.bodies ? s->o.bodies->all : NULL;
}

static void
on_closed(uv_handle_t *h)
{
    Conn *c = h->data;

    SpMsgReader_Clear(&c->r);
    SpHeld_Release(held_by(c->s), SP_HELD_CONNECTIONS, SP_CONN_BYTES);
    g_free(c);
}

void
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
    SpOut_Clear(&c->out);
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

void
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

/* Returns 1 if no more requests are read ahead: the client has sent many, or
   memory is short. */
static int
has_enough(const Conn *c)
{
    return c->reqs.length >= MAX_PIPELINE ||
           (c->reqs.length && SpHeld_IsShort(held_by(c->s)));
}

void
resume_reading(Conn *c)
{
    if (c->read_paused && !c->broken && !c->dropped && !has_enough(c) &&
        c->out.unsent < MAX_UNSENT_BYTES) {
        c->read_paused = 0;
        uv_read_start((uv_stream_t *)&c->tcp, SpHttp_Alloc, on_read);
    }
}

/* Sends the responses that are next in request order. */
void
send_responses(Conn *c)
{
    SpHttpReq *r;

    if (c->broken || c->dropped) {
        return;
    }
    while ((r = g_queue_peek_head(&c->reqs)) != NULL && r->responded) {
        g_queue_pop_head(&c->reqs);
        c->since = SpHttp_Now();
        c->ready -= r->out_len;
        SpOut_Push(&c->out, r->out, r->out_len);
        r->out = NULL;
        free_req(r);
    }
    if (!SpOut_Flush(&c->out)) {
        mark_broken(c);
        return;
    }
    if (c->closing && g_queue_is_empty(&c->reqs)) {
        if (!c->out.unsent) {
            shutdown_conn(c);
        }
        return;
    }
    resume_reading(c);
}

static void
on_out_ready(void *ctx)
{
    send_responses(ctx);
}

static void
build_response(SpHttpReq *r, int status, const char *lines, const char *body,
               size_t n, int close)
{
    GString *s = g_string_sized_new(RESPONSE_BYTES + n);
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
    r->c->ready += r->out_len;
}

/* Takes the memory for the response, and builds it. Returns 0 if there is
   none. */
static int
hold_response(SpHttpReq *r, int status, const char *lines, const char *body,
              size_t n, int close)
{
    SpBodyMemory *memory = r->c->out.memory;
    size_t taken = RESPONSE_BYTES + strlen(lines) + n;

    if (!SpOut_Take(memory, taken, n <= SMALL_ANSWER_BYTES)) {
        return 0;
    }
    if (!r->c->broken) {
        build_response(r, status, lines, body, n, close);
    }
    if (memory) {
        SpBodyMemory_Release(memory, taken - r->out_len);
    }
    return 1;
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
    if (!hold_response(r, status, lines, body, n, c->closing && last)) {
        c->s->counts.answers_dropped++;
        (void)hold_response(r, 502, "", "", 0, c->closing && last);
    }
    r->responded = 1;
    send_responses(c);
}

void
reject(Conn *c, int status, const char *lines)
{
    SpHttpReq *r = g_new0(SpHttpReq, 1);

    r->c = c;
    c->closing = 1;
    (void)hold_response(r, status, lines, "", 0, 1);
    r->responded = 1;
    g_queue_push_tail(&c->reqs, r);
}

static int
on_message(void *ctx, SpMsg *m)
{
    Conn *c = ctx;
    SpHttpReq *r;

    c->in_message = 0;
    c->read_bytes = 0;
    c->served = 1;
    c->since = c->began = SpHttp_Now();
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
note_read(Conn *c, size_t n)
{
    c->read_at = SpHttp_Now();
    if (!c->in_message) {
        c->began = c->read_at;
        c->read_bytes = 0;
    }
    if (!c->in_message || c->r.head_done) {
        c->since = c->read_at;
    }
    c->read_bytes += n;
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
    note_read(c, (size_t)n);
    c->s->reading = c;
    SpMsgReader_Feed(&c->r, buf->base, (size_t)n);
    c->s->reading = NULL;
    c->in_message = SpMsgReader_IsInMessage(&c->r);
    check_reader(c);
    if (has_enough(c)) {
        c->read_paused = 1;
        uv_read_stop(st);
    }
    send_responses(c);
}

static void
on_turned_away(uv_handle_t *h)
{
    g_free(h);
}

/* Closes a new connection: nothing of it has been read. */
static void
turn_away(SpHttpServer *s, uv_stream_t *st)
{
    uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);

    s->counts.turned_away++;
    uv_tcp_init(s->loop, tcp);
    (void)uv_accept(st, (uv_stream_t *)tcp);
    uv_close((uv_handle_t *)tcp, on_turned_away);
}

static Conn *
new_conn(Listener *l)
{
    Conn *c = g_new0(Conn, 1);
    SpHttpServer *s = l->s;

    c->s = s;
    c->l = l;
    uv_tcp_init(s->loop, &c->tcp);
    c->tcp.data = c;
    SpMsgReader_Init(&c->r, HTTP_REQUEST);
    c->r.done = on_message;
    c->r.ctx = c;
    c->r.max_head = s->limits.header_bytes;
    c->r.max_body = s->limits.body_bytes;
    c->r.memory = s->o.bodies;
    c->out.stream = (uv_stream_t *)&c->tcp;
    c->out.memory = s->o.answers;
    c->out.ready = on_out_ready;
    c->out.ctx = c;
    g_queue_init(&c->out.bufs);
    c->since = c->opened_at = SpHttp_Now();
    g_queue_init(&c->reqs);
    g_ptr_array_add(s->conns, c);
    SpHeld_Add(held_by(s), SP_HELD_CONNECTIONS, SP_CONN_BYTES);
    return c;
}

static void
on_connection(uv_stream_t *st, int status)
{
    Listener *l = st->data;
    SpHttpServer *s = l->s;
    Conn *c;

    if (status < 0) {
        SpLog(SP_LOG_WARN, "accept-failed", "why=\"%s\"", uv_strerror(status));
        return;
    }
    if (s->o.connections && s->conns->len >= (guint)s->o.connections &&
        !SpHttpServer_FreeDescriptor(s)) {
        turn_away(s, st);
        return;
    }
    c = new_conn(l);
    if (uv_accept(st, (uv_stream_t *)&c->tcp) != 0) {
        drop_conn(c);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, SpHttp_Alloc, on_read);
}

SpHttpServer *
SpHttpServer_New(uv_loop_t *loop, const SpHttpLimits *l, const SpHttpOpts *o)
{
    SpHttpServer *s = g_new0(SpHttpServer, 1);

    s->loop = loop;
    s->limits = *l;
    s->o = *o;
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
