/* Connections to other relays. */
#include <string.h>

#include "relay/link.h"

/* A link that receives nothing for this long beyond the interval of the state
   messages is closed. */
#define SILENCE_SLACK_US (1100 * SP_MS)
#define CONNECT_TIMEOUT_US (1 * SP_SEC)
/* Maximum delay between attempts to connect. */
#define BACKOFF_MAX_US (2 * SP_SEC)
#define BACKLOG 512

static int handle_frame(void *ctx, FrameType type, FrameIn *f);

static void
on_conn_closed(uv_handle_t *h)
{
    LinkConn *conn = h->data;

    g_byte_array_unref(conn->in);
    g_byte_array_unref(conn->out);
    g_hash_table_destroy(conn->jobs);
    SpName_Free(conn->name);
    g_free(conn);
}

static int
is_active(const LinkConn *conn, int64_t now)
{
    return conn->used_at && now - conn->used_at < SP_ACTIVE_US;
}

void
mark_used(LinkConn *conn, int64_t now)
{
    if (!is_active(conn, now)) {
        conn->active_since = now;
    }
    conn->used_at = now;
}

int64_t
state_interval_us(const LinkConn *conn, int64_t now)
{
    return is_active(conn, now) ? SP_STATE_US : SP_STATE_IDLE_US;
}

/* The other side sends at the interval of an active link from the first call
   on, so what was received before was followed by a longer silence. */
static int64_t
expected_silence_us(const LinkConn *conn, int64_t now)
{
    return conn->received_at >= conn->active_since
               ? state_interval_us(conn, now)
               : SP_STATE_IDLE_US;
}

/* The time for which the link has been silent beyond the expected one. While
   this process stood still it heard nothing. */
static int64_t
silence_us(const LinkConn *conn, int64_t now)
{
    return now - MAX(conn->received_at, conn->n->woke_at) -
           expected_silence_us(conn, now);
}

int
is_suspect(const LinkConn *conn, int64_t now)
{
    return silence_us(conn, now) > SP_SUSPECT_US;
}

void
begin_link_frame(FrameOut *f, LinkConn *conn, FrameType type, size_t nargs)
{
    begin_frame(f, conn->out, type, nargs);
    f->count = &conn->n->links->sent[type];
}

/* Closes the socket and drops the jobs of its calls. */
static void
end_conn(LinkConn *conn)
{
    conn->closing = 1;
    release_reserved(conn);
    count_unsent(conn);
    g_ptr_array_remove_fast(conn->n->links->conns, conn);
    /* reset, so that data still in flight is discarded and not delivered after
       the calls have ended */
    if (uv_tcp_close_reset(&conn->tcp, on_conn_closed) != 0) {
        uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
    }
    drop_jobs(conn);
    if (conn->peer) {
        conn->peer->conn = NULL;
        conn->peer->upstream.accepts = SP_ACCEPT_NONE;
    }
}

void
close_unused(LinkConn *conn)
{
    SpLog(SP_LOG_DEBUG, "link-closed", "peer=%.128s addr=%s", conn->peer->name,
          conn->peer->addr);
    end_conn(conn);
}

/* Marks a member to which no link could be opened. */
static void
mark_unreachable(Peer *p)
{
    SpNodeInfo *m = SpDirectory_Get(p->n->directory, p->name);

    if (m && strcmp(m->addr, p->addr) == 0 && !m->unreachable) {
        m->unreachable = 1;
        p->n->links->refresh = 1;
    }
}

/* Closes a link that failed; its calls end as lost. */
static void
close_conn(LinkConn *conn, const char *why)
{
    Peer *p = conn->peer;

    if (conn->closing) {
        return;
    }
    end_conn(conn);
    if (!p) {
        return;
    }
    if (!conn->name[0]) {
        mark_unreachable(p);
    }
    else {
        p->n->links->lost++;
        SpLog(SP_LOG_WARN, "link-lost",
              "peer=%.128s addr=%s why=%s calls=%u silent_ms=%" PRId64,
              p->name, p->addr, why, g_hash_table_size(p->calls),
              (SpHttp_Now() - conn->received_at) / SP_MS);
    }
    p->reconnect_at = SpHttp_Now() + p->backoff_us +
                      (int64_t)(SpRand(&conn->n->rand) % SP_BACKOFF_MIN_US);
    p->backoff_us = MIN(p->backoff_us * 2, BACKOFF_MAX_US);
    fail_calls(p);
}

/* Half of the memory for copies of bodies is in use: the links that bring more
   are not read until there is room again. Beyond the limit itself requests are
   refused. */
static int
is_memory_short(const Relay *n)
{
    return n->job_memory.used > n->job_memory.limit / 2;
}

static void on_conn_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf);

/* Answers give memory back, so they are read also while it is short for calls.
 */
static int
has_room(LinkConn *conn)
{
    return (conn->peer || !is_memory_short(conn->n)) &&
           reserve_for_message(conn);
}

/* While a link is held, nothing can be heard on it. */
static void
resume_reading(LinkConn *conn, int64_t now)
{
    conn->received_at = now;
    if (has_room(conn)) {
        conn->held = 0;
        uv_read_start((uv_stream_t *)&conn->tcp, SpHttp_Alloc, on_conn_read);
    }
}

static void
append_received(LinkConn *conn, const char *p, size_t n)
{
    g_byte_array_append(conn->in, (const guint8 *)p, (guint)n);
    conn->in_peak = MAX(conn->in_peak, conn->in->len);
}

/* A large message leaves a large buffer, which each link would keep. */
static void
shrink_received(LinkConn *conn)
{
    if (conn->in_peak <= SP_LINK_KEPT_BYTES || conn->in->len) {
        return;
    }
    g_byte_array_unref(conn->in);
    conn->in = g_byte_array_new();
    conn->in_peak = 0;
}

static void
on_conn_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
    LinkConn *conn = st->data;

    if (n == 0 || conn->closing) {
        return;
    }
    if (n < 0) {
        close_conn(conn, uv_err_name((int)n));
        return;
    }
    conn->received_at = SpHttp_Now();
    append_received(conn, buf->base, (size_t)n);
    if (!read_frames(conn->in, handle_frame, conn)) {
        close_conn(conn, "malformed");
        return;
    }
    shrink_received(conn);
    if (conn->closing) {
        return;
    }
    if (incomplete_frame(conn->in) != conn->reserved) {
        release_reserved(conn); /* that message is complete */
    }
    if (!has_room(conn)) {
        conn->held = 1;
        uv_read_stop(st);
    }
}

static LinkConn *
new_conn(Relay *n, Peer *p)
{
    LinkConn *conn = g_new0(LinkConn, 1);

    conn->n = n;
    conn->peer = p;
    conn->name = SpName_New("");
    conn->in = g_byte_array_new();
    conn->out = g_byte_array_new();
    conn->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    conn->received_at = SpHttp_Now();
    uv_tcp_init(n->loop, &conn->tcp);
    conn->tcp.data = conn;
    g_ptr_array_add(n->links->conns, conn);
    return conn;
}

static void
flush_conn(LinkConn *conn)
{
    gsize n = conn->out->len;

    if (conn->connected && !conn->closing && n) {
        /* an error is also reported to the reader, which closes the link */
        (void)SpHttp_Write((uv_stream_t *)&conn->tcp,
                           (char *)g_byte_array_steal(conn->out, NULL), n,
                           NULL);
    }
    if (n || conn->counted) {
        count_unsent(conn);
    }
}

void
flush_links(Relay *n)
{
    guint i;

    for (i = 0; i < n->links->conns->len; i++) {
        flush_conn(g_ptr_array_index(n->links->conns, i));
    }
}

int
has_unsent(const Relay *n)
{
    guint i;

    for (i = 0; i < n->links->conns->len; i++) {
        const LinkConn *conn = g_ptr_array_index(n->links->conns, i);
        if (conn->connected &&
            (conn->out->len || uv_stream_get_write_queue_size(
                                   (const uv_stream_t *)&conn->tcp))) {
            return 1;
        }
    }
    return 0;
}

static int
handle_frame(void *ctx, FrameType type, FrameIn *f)
{
    LinkConn *conn = ctx;

    if (conn->closing) {
        return 1;
    }
    switch (type) {
    case FRAME_HELLO:
        return handle_hello(conn, f);
    case FRAME_STATE:
        return handle_state(conn, f);
    case FRAME_ALIVE:
        return handle_alive(conn, f);
    case FRAME_CALL:
        return handle_call(conn, f);
    case FRAME_ANSWER:
        return handle_answer(conn, f);
    case FRAME_CANCEL:
        return handle_cancel(conn, f);
    case FRAME_GET_CONFIG:
        return send_config(conn);
    case FRAME_CONFIG:
        return handle_config(conn, f);
    case FRAME_DIGEST:
        return handle_digest(conn, f);
    case FRAME_MEMBERS:
        return handle_members(conn, f);
    case FRAME_STOPPING:
        return handle_stopping(conn, f);
    case FRAME_ARRIVALS:
        return handle_arrivals(conn, f);
    case FRAME_USAGE:
        return handle_usage(conn, f);
    case FRAME_WORDS:
        return handle_words(conn, f);
    case FRAME_SUMS:
        return handle_sums(conn, f);
    case FRAME_RUNS:
        return handle_runs(conn, f);
    case FRAME_DEPARTURE:
        return handle_departure(conn, f);
    case FRAME_NTYPES:
        break;
    }
    return 0;
}

static void
on_connected(uv_connect_t *req, int status)
{
    LinkConn *conn = req->handle->data;

    if (conn->closing) {
        return;
    }
    if (status < 0) {
        close_conn(conn, uv_err_name(status));
        return;
    }
    conn->connected = 1;
    conn->received_at = SpHttp_Now();
    conn->n->links->opened++;
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, SpHttp_Alloc, on_conn_read);
    send_hello(conn);
}

void
connect_peer(Peer *p)
{
    struct sockaddr_in sa;
    LinkConn *conn = new_conn(p->n, p);

    p->conn = conn;
    if (!SpHttp_ParseAddr(p->addr, &sa) ||
        uv_tcp_connect(&conn->connect_req, &conn->tcp,
                       (const struct sockaddr *)&sa, on_connected) != 0) {
        close_conn(conn, "connect");
    }
}

void
tick_conn(LinkConn *conn, int64_t now)
{
    if (!conn->connected) {
        if (now - MAX(conn->received_at, conn->n->woke_at) >
            CONNECT_TIMEOUT_US) {
            close_conn(conn, "connect-timeout");
        }
        return;
    }
    if (conn->held) {
        resume_reading(conn, now);
    }
    if (silence_us(conn, now) > SILENCE_SLACK_US) {
        close_conn(conn, "silent");
        return;
    }
    if (conn->peer && is_suspect(conn, now)) {
        /* avoid the peer until the link is closed or receives data again */
        conn->peer->upstream.avoid_until =
            MAX(conn->peer->upstream.avoid_until, now + 2 * SP_RELAY_TICK_US);
    }
    if (now - conn->state_sent_at >= state_interval_us(conn, now)) {
        send_state(conn);
    }
}

static void
on_incoming(uv_stream_t *st, int status)
{
    Relay *n = st->data;
    LinkConn *conn;

    if (status < 0) {
        SpLog(SP_LOG_WARN, "accept-failed", "why=\"%s\"", uv_strerror(status));
        return;
    }
    conn = new_conn(n, NULL);
    if (uv_accept(st, (uv_stream_t *)&conn->tcp) != 0) {
        close_conn(conn, "accept");
        return;
    }
    conn->connected = 1;
    conn->state_sent_at = conn->received_at;
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, SpHttp_Alloc, on_conn_read);
}

int
open_links(Relay *n, GError **err)
{
    Links *ls = g_new0(Links, 1);

    n->links = ls;
    ls->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ls->conns = g_ptr_array_new();
    ls->rumors = g_ptr_array_new_with_free_func(g_free);
    ls->departures = new_departures();
    ls->state = g_byte_array_new();
    if (!SpHttp_ListenTcp(n->loop, &ls->tcp, n->settings.link, BACKLOG,
                          on_incoming, err)) {
        return 0;
    }
    ls->tcp.data = n;
    return 1;
}
