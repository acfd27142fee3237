/*
 * The links between the relays of spmesh, passed on by a proxy beside each
 * relay. Faults hold bytes back in one or both directions, delay them, reset
 * connections, or make them silent for good.
 */
#include <string.h>

#include "standin/mesh.h"

#define BACKLOG 256
/* A direction is not read while it holds more than this. */
#define MAX_HELD_BYTES ((size_t)1 << 20)

enum { TO_NODE, FROM_NODE, WAYS };

typedef struct Chunk {
    int64_t due;
    size_t len; /* 0: the end of the stream */
    char bytes[];
} Chunk;

/* One direction of a link: what arrives on tcp goes to the other one's. */
typedef struct Way {
    struct Link *link;
    uv_tcp_t tcp;
    GQueue chunks; /* of Chunk */
    size_t held;   /* bytes in chunks */
    int reading;
} Way;

typedef struct Link {
    Node *n; /* the relay that was connected to */
    uv_connect_t connect_req;
    Way ways[WAYS]; /* TO_NODE reads from the peer */
    int connected, closing, open_handles;
    int silent; /* for good */
} Link;

static void
on_closed(uv_handle_t *h)
{
    Way *w = h->data;
    Link *l = w->link;
    int i;

    if (--l->open_handles > 0) {
        return;
    }
    for (i = 0; i < WAYS; i++) {
        g_queue_clear_full(&l->ways[i].chunks, g_free);
    }
    g_free(l);
}

static void
close_link(Link *l, int reset)
{
    int i;

    if (l->closing) {
        return;
    }
    l->closing = 1;
    g_ptr_array_remove_fast(l->n->m->links, l);
    for (i = 0; i < WAYS; i++) {
        uv_tcp_t *t = &l->ways[i].tcp;
        if (!reset || uv_tcp_close_reset(t, on_closed) != 0) {
            uv_close((uv_handle_t *)t, on_closed);
        }
    }
}

static uv_stream_t *
output_of(Way *w)
{
    Link *l = w->link;

    return (uv_stream_t *)&l
        ->ways[w == &l->ways[TO_NODE] ? FROM_NODE : TO_NODE]
        .tcp;
}

static int
is_held_back(const Way *w)
{
    const Link *l = w->link;
    const MeshNet *net = &l->n->net;

    return !l->connected ||
           (w == &l->ways[TO_NODE] ? net->holds_in : net->holds_out) > 0;
}

/* Sends what is due; closes the link at the end of a stream. */
static void
pass_on(Way *w, int64_t now)
{
    Chunk *c;

    while (!is_held_back(w) && (c = g_queue_peek_head(&w->chunks)) &&
           c->due <= now) {
        int at_end = c->len == 0;
        w->held -= c->len;
        if (!at_end && !w->link->silent) {
            SpHttp_Write(output_of(w), g_memdup2(c->bytes, c->len), c->len,
                         NULL);
        }
        g_free(g_queue_pop_head(&w->chunks));
        if (at_end) {
            close_link(w->link, 0);
            return;
        }
    }
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf);

static void
set_reading(Way *w)
{
    int wanted = w->held < MAX_HELD_BYTES &&
                 uv_stream_get_write_queue_size(output_of(w)) < MAX_HELD_BYTES;

    if (wanted == w->reading) {
        return;
    }
    w->reading = wanted;
    if (wanted) {
        uv_read_start((uv_stream_t *)&w->tcp, SpHttp_Alloc, on_read);
    }
    else {
        uv_read_stop((uv_stream_t *)&w->tcp);
    }
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    Way *w = s->data;
    size_t len = n > 0 ? (size_t)n : 0;
    int64_t now = SpHttp_Now();
    Chunk *c;

    if (n == 0) {
        return;
    }
    if (n < 0 && n != UV_EOF) {
        close_link(w->link, 1);
        return;
    }
    c = g_malloc(sizeof *c + len);
    c->due = now + (int64_t)(w->link->n->net.delay_s * SP_SEC);
    c->len = len;
    memcpy(c->bytes, buf->base, len);
    g_queue_push_tail(&w->chunks, c);
    w->held += len;
    if (len == 0) {
        uv_read_stop(s);
    }
    pass_on(w, now);
}

static void
on_connected(uv_connect_t *req, int status)
{
    Link *l = ((Way *)req->handle->data)->link;

    if (l->closing) {
        return;
    }
    if (status < 0) {
        close_link(l, 1);
        return;
    }
    l->connected = 1;
    uv_tcp_nodelay(&l->ways[FROM_NODE].tcp, 1);
    set_reading(&l->ways[FROM_NODE]);
}

static void
on_conn(uv_stream_t *listener, int status)
{
    Node *n = listener->data;
    Link *l;
    struct sockaddr_in sa;
    char addr[32];
    int i;

    if (status < 0) {
        return;
    }
    l = g_new0(Link, 1);
    l->n = n;
    l->open_handles = WAYS;
    g_ptr_array_add(n->m->links, l);
    for (i = 0; i < WAYS; i++) {
        l->ways[i].link = l;
        uv_tcp_init(n->m->loop, &l->ways[i].tcp);
        l->ways[i].tcp.data = &l->ways[i];
        g_queue_init(&l->ways[i].chunks);
    }
    g_snprintf(addr, sizeof addr, "%s:%d", n->ip, MESH_LINK_PORT);
    SpHttp_ParseAddr(addr, &sa);
    if (uv_accept(listener, (uv_stream_t *)&l->ways[TO_NODE].tcp) != 0 ||
        uv_tcp_connect(&l->connect_req, &l->ways[FROM_NODE].tcp,
                       (const struct sockaddr *)&sa, on_connected) != 0) {
        close_link(l, 1);
        return;
    }
    uv_tcp_nodelay(&l->ways[TO_NODE].tcp, 1);
    set_reading(&l->ways[TO_NODE]);
}

int
listen_for_links(Node *n)
{
    GError *err = NULL;
    char addr[32];

    g_snprintf(addr, sizeof addr, "%s:%d", n->ip, MESH_PROXY_PORT);
    n->proxy.data = n;
    if (!SpHttp_ListenTcp(n->m->loop, &n->proxy, addr, BACKLOG, on_conn,
                          &err)) {
        fprintf(stderr, "spmesh: %s\n", err->message);
        g_error_free(err);
        return 0;
    }
    n->proxy.data = n;
    return 1;
}

void
tick_links(Mesh *m, int64_t now)
{
    guint i;
    int k;

    for (i = m->links->len; i > 0; i--) {
        Link *l = g_ptr_array_index(m->links, i - 1);
        for (k = 0; k < WAYS && !l->closing; k++) {
            pass_on(&l->ways[k], now);
        }
        for (k = 0; k < WAYS && !l->closing; k++) {
            set_reading(&l->ways[k]);
        }
    }
}

void
break_links(Node *n, double share, int silently)
{
    guint i;

    for (i = n->m->links->len; i > 0; i--) {
        Link *l = g_ptr_array_index(n->m->links, i - 1);
        if (l->n != n || !mesh_chance(n->m, share)) {
            continue;
        }
        if (silently) {
            l->silent = 1;
        }
        else {
            close_link(l, 1);
        }
    }
}
