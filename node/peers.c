/* Messages between nodes: one PULL socket in, a PUSH socket per peer out. */
#include <string.h>
#include <zmq.h>

#include "node/fns.h"

/* Peers that this node keeps a connection to, the latest used. */
#define MAX_LINKS 64
#define MAX_MESSAGE (4 << 20)
#define QUEUE_MESSAGES 64

typedef struct Link {
    char addr[SP_ADDR_BYTES];
    void *sock;
    uint64_t used;
} Link;

struct Peers {
    Node *n;
    void *ctx;
    void *in;
    uv_poll_t poll;
    Link links[MAX_LINKS];
    int nlinks;
    uint64_t turn;
    GHashTable *dropped; /* addresses cut off for a test */
};

static void
set_int(void *sock, int option, int v)
{
    zmq_setsockopt(sock, option, &v, sizeof v);
}

static void
set_common(Peers *ps, void *sock)
{
    set_int(sock, ZMQ_LINGER, 0);
    set_int(sock, ZMQ_SNDHWM, QUEUE_MESSAGES);
    set_int(sock, ZMQ_RCVHWM, 10000);
    set_int(sock, ZMQ_RECONNECT_IVL, 200);
    set_int(sock, ZMQ_RECONNECT_IVL_MAX, 5000);
    (void)ps;
}

void
poll_peers(Peers *ps)
{
    char *buf;
    zmq_msg_t m;

    for (;;) {
        zmq_msg_init(&m);
        if (zmq_msg_recv(&m, ps->in, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&m);
            return;
        }
        buf = zmq_msg_data(&m);
        SpCore_Peer(ps->n->core, SpClock_Now(), buf, zmq_msg_size(&m));
        zmq_msg_close(&m);
    }
}

static void
on_readable(uv_poll_t *p, int status, int events)
{
    (void)status;
    (void)events;
    poll_peers(p->data);
}

static void
zmq_fail(GError **err, const char *what, const char *addr)
{
    g_set_error(err, SP_ERROR, SP_ERROR_SYSTEM, "%s %s: %s", what, addr,
                zmq_strerror(zmq_errno()));
}

static int
bind_in(Peers *ps, GError **err)
{
    const SpNodeSettings *s = &ps->n->set;
    char url[64];
    int64_t max = MAX_MESSAGE;
    int fd;
    size_t n = sizeof fd;

    ps->in = zmq_socket(ps->ctx, ZMQ_PULL);
    set_common(ps, ps->in);
    zmq_setsockopt(ps->in, ZMQ_MAXMSGSIZE, &max, sizeof max);
    g_snprintf(url, sizeof url, "tcp://%s", s->peer);
    if (zmq_bind(ps->in, url) != 0) {
        zmq_fail(err, "cannot listen on", s->peer);
        zmq_close(ps->in);
        return 0;
    }
    zmq_getsockopt(ps->in, ZMQ_FD, &fd, &n);
    uv_poll_init(ps->n->loop, &ps->poll, fd);
    ps->poll.data = ps;
    uv_poll_start(&ps->poll, UV_READABLE, on_readable);
    return 1;
}

Peers *
open_peers(Node *n, GError **err)
{
    Peers *ps = g_new0(Peers, 1);

    ps->n = n;
    ps->ctx = zmq_ctx_new();
    ps->dropped = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    zmq_ctx_set(ps->ctx, ZMQ_IO_THREADS, 1);
    if (!bind_in(ps, err)) {
        g_hash_table_destroy(ps->dropped);
        zmq_ctx_destroy(ps->ctx);
        g_free(ps);
        return NULL;
    }
    return ps;
}

static Link *
oldest_link(Peers *ps)
{
    Link *l = &ps->links[0];
    int i;

    for (i = 1; i < ps->nlinks; i++) {
        if (ps->links[i].used < l->used) {
            l = &ps->links[i];
        }
    }
    return l;
}

static Link *
link_to(Peers *ps, const char *addr)
{
    char url[64];
    Link *l;
    int i;

    for (i = 0; i < ps->nlinks; i++) {
        if (strcmp(ps->links[i].addr, addr) == 0) {
            return &ps->links[i];
        }
    }
    if (ps->nlinks < MAX_LINKS) {
        l = &ps->links[ps->nlinks++];
    }
    else {
        l = oldest_link(ps);
        zmq_close(l->sock);
    }
    g_strlcpy(l->addr, addr, sizeof l->addr);
    l->sock = zmq_socket(ps->ctx, ZMQ_PUSH);
    set_common(ps, l->sock);
    g_snprintf(url, sizeof url, "tcp://%s", addr);
    zmq_connect(l->sock, url);
    return l;
}

void
send_peer(void *ctx, const char *addr, const void *p, size_t n)
{
    Node *node = ctx;
    Peers *ps = node->peers;
    Link *l;

    if (!ps || g_hash_table_contains(ps->dropped, addr)) {
        return;
    }
    l = link_to(ps, addr);
    l->used = ++ps->turn;
    /* a full queue loses the message; gossip sends it again */
    zmq_send(l->sock, p, n, ZMQ_DONTWAIT);
}

void
drop_peer(Peers *ps, const char *addr, int on)
{
    if (on) {
        g_hash_table_add(ps->dropped, g_strdup(addr));
    }
    else {
        g_hash_table_remove(ps->dropped, addr);
    }
}
