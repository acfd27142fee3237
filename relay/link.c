/* Connections to other relays. */
#include <string.h>

#include "relay/link.h"

/* Interval of the state messages. */
#define STATE_US (400 * SP_MS)
/* A link that receives nothing for longer is closed. */
#define SILENT_US (1500 * SP_MS)
#define CONNECT_US (1 * SP_SEC)
/* Maximum delay between attempts to connect. */
#define RETRY_MAX_US (2 * SP_SEC)
#define BACKLOG 512

static int take_frame(void *ctx, FrameType type, FrameIn *f);

static void
on_wire_closed(uv_handle_t *h)
{
    Wire *w = h->data;

    g_byte_array_unref(w->in);
    g_byte_array_unref(w->out);
    g_hash_table_destroy(w->jobs);
    g_free(w);
}

static void
drop_wire(Wire *w, const char *why)
{
    Peer *p = w->peer;

    if (w->gone) {
        return;
    }
    w->gone = 1;
    g_ptr_array_remove_fast(w->n->links->wires, w);
    /* reset, so that data still in flight is discarded and not delivered after
       the calls have ended */
    if (uv_tcp_close_reset(&w->tcp, on_wire_closed) != 0) {
        uv_close((uv_handle_t *)&w->tcp, on_wire_closed);
    }
    drop_jobs(w);
    if (!p) {
        return;
    }
    if (w->up) {
        SpLog(SP_LOG_WARN, "link-lost",
              "peer=%s addr=%s why=%s calls=%u silent_ms=%" PRId64, p->name,
              p->addr, why, g_hash_table_size(p->calls),
              (SpHttp_Now() - w->heard_at) / SP_MS);
    }
    p->wire = NULL;
    p->up.takes = SP_TAKES_NONE;
    p->retry_at = SpHttp_Now() + p->backoff_us +
                  (int64_t)(SpRand(&w->n->rand) % SP_RECONNECT_US);
    p->backoff_us = MIN(p->backoff_us * 2, RETRY_MAX_US);
    lose_calls(p);
}

static void
on_wire_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
    Wire *w = st->data;

    if (n == 0 || w->gone) {
        return;
    }
    if (n < 0) {
        drop_wire(w, uv_err_name((int)n));
        return;
    }
    w->heard_at = SpHttp_Now();
    g_byte_array_append(w->in, (const guint8 *)buf->base, (guint)n);
    if (!read_frames(w->in, take_frame, w)) {
        drop_wire(w, "malformed");
    }
}

static Wire *
new_wire(Relay *n, Peer *p)
{
    Wire *w = g_new0(Wire, 1);

    w->n = n;
    w->peer = p;
    w->in = g_byte_array_new();
    w->out = g_byte_array_new();
    w->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    w->heard_at = SpHttp_Now();
    uv_tcp_init(n->loop, &w->tcp);
    w->tcp.data = w;
    g_ptr_array_add(n->links->wires, w);
    return w;
}

static void
flush_wire(Wire *w)
{
    gsize n = w->out->len;

    if (!w->up || w->gone || n == 0) {
        return;
    }
    /* an error is also reported to the reader, which closes the link */
    (void)SpHttp_Write((uv_stream_t *)&w->tcp,
                       (char *)g_byte_array_steal(w->out, NULL), n);
}

void
flush_links(Relay *n)
{
    guint i;

    for (i = 0; i < n->links->wires->len; i++) {
        flush_wire(g_ptr_array_index(n->links->wires, i));
    }
}

static int
take_frame(void *ctx, FrameType type, FrameIn *f)
{
    Wire *w = ctx;

    if (w->gone) {
        return 1;
    }
    switch (type) {
    case FRAME_HELLO:
        return take_hello(w, f);
    case FRAME_STATE:
        return take_state(w, f);
    case FRAME_ALIVE:
        return 1;
    case FRAME_CALL:
        return take_call(w, f);
    case FRAME_ANSWER:
        return take_answer(w, f);
    case FRAME_CANCEL:
        return take_cancel(w, f);
    case FRAME_WANT:
        return send_config(w);
    case FRAME_CONFIG:
        return take_config_frame(w, f);
    case FRAME_NTYPES:
        break;
    }
    return 0;
}

static void
on_connected(uv_connect_t *req, int status)
{
    Wire *w = req->handle->data;

    if (w->gone) {
        return;
    }
    if (status < 0) {
        drop_wire(w, uv_err_name(status));
        return;
    }
    w->up = 1;
    w->heard_at = SpHttp_Now();
    uv_tcp_nodelay(&w->tcp, 1);
    uv_read_start((uv_stream_t *)&w->tcp, SpHttp_Alloc, on_wire_read);
    send_hello(w);
}

void
connect_peer(Peer *p)
{
    struct sockaddr_in sa;
    Wire *w = new_wire(p->n, p);

    p->wire = w;
    if (!SpHttp_Addr(p->addr, &sa) ||
        uv_tcp_connect(&w->conn, &w->tcp, (const struct sockaddr *)&sa,
                       on_connected) != 0) {
        drop_wire(w, "connect");
    }
}

void
tick_wire(Wire *w, int64_t now)
{
    if (!w->up) {
        if (now - w->heard_at > CONNECT_US) {
            drop_wire(w, "connect-timeout");
        }
        return;
    }
    if (now - w->heard_at > SILENT_US) {
        drop_wire(w, "silent");
        return;
    }
    if (w->peer && now - w->heard_at > SP_SUSPECT_US) {
        /* avoid the peer until the link is closed or receives data again */
        w->peer->up.bad_until = now + SP_SUSPECT_US;
    }
    if (now - w->told_at > STATE_US) {
        send_state(w);
    }
}

static void
on_link(uv_stream_t *st, int status)
{
    Relay *n = st->data;
    Wire *w;

    if (status < 0) {
        SpLog(SP_LOG_WARN, "accept-failed", "why=\"%s\"", uv_strerror(status));
        return;
    }
    w = new_wire(n, NULL);
    if (uv_accept(st, (uv_stream_t *)&w->tcp) != 0) {
        drop_wire(w, "accept");
        return;
    }
    w->up = 1;
    w->told_at = w->heard_at;
    uv_tcp_nodelay(&w->tcp, 1);
    uv_read_start((uv_stream_t *)&w->tcp, SpHttp_Alloc, on_wire_read);
}

int
open_links(Relay *n, GError **err)
{
    Links *ls = g_new0(Links, 1);
    struct sockaddr_in sa;
    int e = UV_EINVAL;

    n->links = ls;
    ls->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ls->wires = g_ptr_array_new();
    uv_tcp_init(n->loop, &ls->tcp);
    ls->tcp.data = n;
    if (SpHttp_Addr(n->set.link, &sa)) {
        e = uv_tcp_bind(&ls->tcp, (const struct sockaddr *)&sa, 0);
    }
    if (e == 0) {
        e = uv_listen((uv_stream_t *)&ls->tcp, BACKLOG, on_link);
    }
    if (e != 0) {
        g_set_error(err, SP_ERROR, SP_ERROR_SYSTEM, "cannot listen on %s: %s",
                    n->set.link, uv_strerror(e));
        return 0;
    }
    return 1;
}
