/* Messages between nodes: one PULL socket to receive, and a PUSH socket for
   each peer to send. */
#include <string.h>
#include <zmq.h>

#include "node/fns.h"

/* Most connections open to peers at a time. At this limit the least recently
   used one is closed to make room for another. */
#define MAX_LINKS 64
#define MAX_MESSAGE_BYTES (4 << 20)
#define QUEUE_MESSAGES 64

typedef struct Link {
    char addr[SP_ADDR_BYTES];
    void *sock;
    uint64_t used;
} Link;

struct Peers {
    Node *n;
    void *ctx;
    void *receiver;
    void *zap;     /* ZAP authentication handler; NULL without keys */
    void *monitor; /* reports failed handshakes */
    int64_t refusal_logged_at; /* last log line on a failed handshake */
    uv_poll_t poll, zap_poll;
    Link links[MAX_LINKS];
    int nlinks;
    uint64_t use_count;  /* counts sends, to order the links by use */
    GHashTable *dropped; /* addresses that a test has cut off */
};

static void
set_int(void *sock, int option, int v)
{
    zmq_setsockopt(sock, option, &v, sizeof v);
}

static void
set_common_options(void *sock)
{
    set_int(sock, ZMQ_LINGER, 0);
    set_int(sock, ZMQ_SNDHWM, QUEUE_MESSAGES);
    set_int(sock, ZMQ_RCVHWM, 10000);
    set_int(sock, ZMQ_RECONNECT_IVL, 200);
    set_int(sock, ZMQ_RECONNECT_IVL_MAX, 5000);
}

/*
 * Authentication by the ZeroMQ Authentication Protocol (ZAP, ZeroMQ RFC 27).
 * A client is accepted if it has the public key of the mesh.
 */

static int
is_known_key(const Peers *ps, const void *key, size_t n)
{
    uint8_t raw[32];

    return n == sizeof raw && zmq_z85_decode(raw, ps->n->set.peer_public) &&
           memcmp(raw, key, sizeof raw) == 0;
}

static void
answer_zap(Peers *ps, int known, const void *id, size_t n)
{
    zmq_send(ps->zap, "1.0", 3, ZMQ_SNDMORE);
    zmq_send(ps->zap, id, n, ZMQ_SNDMORE);
    zmq_send(ps->zap, known ? "200" : "400", 3, ZMQ_SNDMORE);
    zmq_send(ps->zap, "", 0, ZMQ_SNDMORE);
    zmq_send(ps->zap, "", 0, ZMQ_SNDMORE);
    zmq_send(ps->zap, "", 0, 0);
}

/* Answers ZAP requests. Their frames: version, request id, domain, address,
   identity, mechanism, key. */
static void
poll_zap(Peers *ps)
{
    char frame[7][256] = {{0}};
    size_t size[7] = {0};
    int i, n, more, known;
    size_t len = sizeof more;

    for (;;) {
        for (i = 0, more = 1; more; i++) {
            n = zmq_recv(ps->zap, frame[MIN(i, 6)], sizeof frame[0],
                         ZMQ_DONTWAIT);
            if (n < 0) {
                return;
            }
            size[MIN(i, 6)] = MIN((size_t)n, sizeof frame[0]);
            zmq_getsockopt(ps->zap, ZMQ_RCVMORE, &more, &len);
        }
        known = i == 7 && size[5] == 5 && memcmp(frame[5], "CURVE", 5) == 0 &&
                is_known_key(ps, frame[6], size[6]);
        if (!known) {
            SpLog(SP_LOG_WARN, "peer-refused", "why=key address=%.*s",
                  i > 3 ? (int)size[3] : 0, frame[3]);
        }
        answer_zap(ps, known, frame[1], size[1]);
    }
}

/* Logs failed handshakes, at most one a second. A peer with a wrong key
   fails in the handshake, before a ZAP request is made for it. */
static void
poll_monitor(Peers *ps)
{
    char event[16], addr[64];
    int64_t now = SpClock_Now();
    int n;

    while (zmq_recv(ps->monitor, event, sizeof event, ZMQ_DONTWAIT) >= 0) {
        n = zmq_recv(ps->monitor, addr, sizeof addr, 0);
        if (n >= 0 && now - ps->refusal_logged_at > SP_SEC) {
            ps->refusal_logged_at = now;
            SpLog(SP_LOG_WARN, "peer-refused", "why=handshake at=%.*s",
                  MIN(n, (int)sizeof addr), addr);
        }
    }
}

static int
open_monitor(Peers *ps)
{
    static const char url[] = "inproc://refused";

    if (zmq_socket_monitor(ps->receiver, url,
                           ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_AUTH) != 0) {
        return 0;
    }
    ps->monitor = zmq_socket(ps->ctx, ZMQ_PAIR);
    set_int(ps->monitor, ZMQ_LINGER, 0);
    return zmq_connect(ps->monitor, url) == 0;
}

static void
on_zap(uv_poll_t *p, int status, int events)
{
    (void)status;
    (void)events;
    poll_zap(p->data);
}

static void
watch_socket(Peers *ps, void *sock, uv_poll_t *poll, uv_poll_cb cb)
{
    int fd;
    size_t n = sizeof fd;

    zmq_getsockopt(sock, ZMQ_FD, &fd, &n);
    uv_poll_init(ps->n->loop, poll, fd);
    poll->data = ps;
    uv_poll_start(poll, UV_READABLE, cb);
}

static int
open_zap(Peers *ps)
{
    if (!ps->n->set.peer_public[0]) {
        return 1;
    }
    ps->zap = zmq_socket(ps->ctx, ZMQ_REP);
    set_int(ps->zap, ZMQ_LINGER, 0);
    if (zmq_bind(ps->zap, "inproc://zeromq.zap.01") != 0) {
        return 0;
    }
    if (!open_monitor(ps)) {
        return 0;
    }
    watch_socket(ps, ps->zap, &ps->zap_poll, on_zap);
    set_int(ps->receiver, ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(ps->receiver, ZMQ_CURVE_SECRETKEY, ps->n->set.peer_secret,
                   40);
    zmq_setsockopt(ps->receiver, ZMQ_ZAP_DOMAIN, "siskinpond", 10);
    return 1;
}

static void
set_client_keys(const Peers *ps, void *sock)
{
    const SpNodeSettings *s = &ps->n->set;

    if (s->peer_public[0]) {
        zmq_setsockopt(sock, ZMQ_CURVE_SERVERKEY, s->peer_public, 40);
        zmq_setsockopt(sock, ZMQ_CURVE_PUBLICKEY, s->peer_public, 40);
        zmq_setsockopt(sock, ZMQ_CURVE_SECRETKEY, s->peer_secret, 40);
    }
}

void
poll_peers(Peers *ps)
{
    char *buf;
    zmq_msg_t m;

    if (ps->zap) {
        poll_zap(ps);
        poll_monitor(ps);
    }
    for (;;) {
        zmq_msg_init(&m);
        if (zmq_msg_recv(&m, ps->receiver, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&m);
            return;
        }
        buf = zmq_msg_data(&m);
        SpCore_PeerMessage(ps->n->core, SpClock_Now(), buf, zmq_msg_size(&m));
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
set_zmq_error(GError **err, const char *what, const char *addr)
{
    g_set_error(err, SP_ERROR, SP_ERROR_SYSTEM, "%s %s: %s", what, addr,
                zmq_strerror(zmq_errno()));
}

static int
open_receiver(Peers *ps, GError **err)
{
    const SpNodeSettings *s = &ps->n->set;
    char url[64];
    int64_t max = MAX_MESSAGE_BYTES;

    ps->receiver = zmq_socket(ps->ctx, ZMQ_PULL);
    set_common_options(ps->receiver);
    zmq_setsockopt(ps->receiver, ZMQ_MAXMSGSIZE, &max, sizeof max);
    g_snprintf(url, sizeof url, "tcp://%s", s->peer);
    if (!open_zap(ps)) {
        set_zmq_error(err, "cannot set up authentication for", s->peer);
        zmq_close(ps->receiver);
        return 0;
    }
    if (zmq_bind(ps->receiver, url) != 0) {
        set_zmq_error(err, "cannot listen on", s->peer);
        zmq_close(ps->receiver);
        return 0;
    }
    watch_socket(ps, ps->receiver, &ps->poll, on_readable);
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
    if (!open_receiver(ps, err)) {
        g_hash_table_destroy(ps->dropped);
        zmq_ctx_destroy(ps->ctx);
        g_free(ps);
        return NULL;
    }
    return ps;
}

static Link *
least_recent_link(Peers *ps)
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
get_link(Peers *ps, const char *addr)
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
        l = least_recent_link(ps);
        zmq_close(l->sock);
    }
    g_strlcpy(l->addr, addr, sizeof l->addr);
    l->sock = zmq_socket(ps->ctx, ZMQ_PUSH);
    set_common_options(l->sock);
    set_client_keys(ps, l->sock);
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
    l = get_link(ps, addr);
    l->used = ++ps->use_count;
    /* if the queue is full the message is lost; gossip repeats its content */
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
