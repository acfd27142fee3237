/*
 * Connections between relays. Each relay opens one to every other it knows
 * and sends its calls there; the answers and the other's state come back on
 * it. A call over a connection that is lost may have run.
 */
#include <string.h>

#include "relay/frame.h"
#include "relay/relay.h"

/* The state is told this often; silence for longer means a lost link. */
#define STATE_US (400 * SP_MS)
#define SILENT_US (1500 * SP_MS)
/* After this silence a link is used only if there is no other. */
#define SUSPECT_US (700 * SP_MS)
#define CONNECT_US (1 * SP_SEC)
/* Pauses between tries to connect. */
#define RETRY_MIN_US (200 * SP_MS)
#define RETRY_MAX_US (2 * SP_SEC)
/* An address that no node answered at for so long is forgotten. */
#define FORGET_US (60 * SP_SEC)
/* A configuration is asked from one peer at a time, for so long. */
#define WANT_US (300 * SP_MS)
#define BACKLOG 512
/* A link that holds more than this takes no further call. */
#define MAX_QUEUE_BYTES ((size_t)16 << 20)

/* One TCP connection, of either direction. */
typedef struct Wire {
    uv_tcp_t tcp;
    uv_connect_t conn;
    Relay *n;
    Peer *peer; /* set on the side that opened it */
    GByteArray *in, *out;
    GHashTable *jobs; /* of the side that serves: seq to Job */
    int up, gone;
    int64_t heard_at, told_at;
    char name[SP_FLOW_NAME]; /* of the other side, once it said so */
} Wire;

struct Peer {
    Relay *n;
    char addr[SP_ADDR_BYTES];
    char name[SP_FLOW_NAME];
    char zone[SP_FLOW_NAME];
    char service[SP_FLOW_NAME];
    uint64_t born;
    int follows; /* 1: it follows the configuration, as last told */
    SpUpstream up;
    Wire *wire;
    GHashTable *calls; /* seq to Call */
    uint64_t seq;
    int64_t retry_at, backoff_us, seen_at;
};

struct Links {
    uv_tcp_t tcp;
    GHashTable *peers; /* address to Peer; they are never freed */
    GPtrArray *wires;
    uint64_t wanted; /* the configuration asked for last */
    int64_t wanted_at;
};

static int take_frame(void *ctx, FrameType type, FrameIn *f);

/*
 * Connections.
 */

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
drop_jobs(Wire *w)
{
    GHashTableIter it;
    gpointer j;

    g_hash_table_iter_init(&it, w->jobs);
    while (g_hash_table_iter_next(&it, NULL, &j)) {
        g_hash_table_iter_steal(&it);
        drop_job(j);
    }
}

static void
lose_calls(Peer *p)
{
    static const Result lost = {
        .kind = SP_BROKEN, .outcome = SP_UNKNOWN, .reached = 1};
    GList *list = g_hash_table_get_values(p->calls), *k;

    g_hash_table_remove_all(p->calls);
    for (k = list; k; k = k->next) {
        end_send(k->data, &lost);
    }
    g_list_free(list);
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
    /* a reset: what the other side has not received must not arrive later */
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
                  (int64_t)(SpRand(&w->n->rand) % RETRY_MIN_US);
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
    /* if it fails, the reading side learns that the connection broke */
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

/*
 * State and the list of nodes.
 */

static void
put_load(FrameOut *f, const Relay *n)
{
    Load l = own_load(n, SpHttp_Now());
    int i;

    put_uint(f, l.takes);
    put_uint(f, (uint64_t)l.busy);
    put_real(f, l.limit);
    put_uint(f, (uint64_t)l.run_us);
    for (i = 0; i < SP_MAX_RANKS; i++) {
        put_real(f, l.demand.offered[i]);
    }
    put_real(f, l.demand.room);
    put_uint(f, (uint64_t)l.follows);
    put_uint(f, n->routes ? n->routes->version : 0);
}

#define LOAD_ARGS (7 + SP_MAX_RANKS)

static void
send_bare(Wire *w, FrameType type)
{
    FrameOut f;

    begin_frame(&f, w->out, type, 0);
    end_frame(&f);
}

/* The side that opened a link takes the state of the other; what it says
   itself goes over the link that the other has opened. */
static void
send_state(Wire *w)
{
    FrameOut f;

    if (w->peer) {
        send_bare(w, FRAME_ALIVE);
        w->told_at = SpHttp_Now();
        return;
    }
    begin_frame(&f, w->out, FRAME_STATE, LOAD_ARGS);
    put_load(&f, w->n);
    end_frame(&f);
    w->told_at = SpHttp_Now();
}

static void
send_hello(Wire *w)
{
    Relay *n = w->n;
    GHashTableIter it;
    gpointer addr;
    FrameOut f;

    begin_frame(&f, w->out, FRAME_HELLO, 5 + LOAD_ARGS + 1);
    put_str(&f, n->set.name);
    put_str(&f, n->set.link);
    put_str(&f, n->set.zone);
    put_str(&f, n->set.service);
    put_uint(&f, n->born);
    put_load(&f, n);
    put_array(&f, g_hash_table_size(n->links->peers));
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, &addr, NULL)) {
        put_str(&f, addr);
    }
    end_frame(&f);
    w->told_at = SpHttp_Now();
}

static void
note_version(Wire *w, uint64_t version)
{
    Relay *n = w->n;
    Links *ls = n->links;
    int64_t now = SpHttp_Now();

    if (version <= (n->routes ? n->routes->version : 0) || !w->peer ||
        (version <= ls->wanted && now - ls->wanted_at < WANT_US)) {
        return;
    }
    ls->wanted = version;
    ls->wanted_at = now;
    send_bare(w, FRAME_WANT);
}

static void
take_load(Wire *w, FrameIn *f)
{
    Load l;
    int i;
    uint64_t version;
    SpUpstream *u;

    l.takes = (SpTakes)get_uint(f);
    l.busy = (int)get_uint(f);
    l.limit = get_real(f);
    l.run_us = (double)get_uint(f);
    for (i = 0; i < SP_MAX_RANKS; i++) {
        l.demand.offered[i] = get_real(f);
    }
    l.demand.room = get_real(f);
    l.follows = get_uint(f) != 0;
    version = get_uint(f);
    if (f->bad || !w->peer) {
        return;
    }
    w->peer->follows = l.follows;
    u = &w->peer->up;
    u->takes = l.takes;
    u->busy = l.busy;
    u->limit = l.limit;
    u->run_us = l.run_us;
    u->demand = l.demand;
    u->mine_told = u->mine;
    note_version(w, version);
}

static void
place_peer(Peer *p, const char *service)
{
    Relay *n = p->n;

    if (strcmp(p->service, service) == 0) {
        return;
    }
    if (p->service[0]) {
        g_ptr_array_remove(service_of(n, p->service)->ups, &p->up);
    }
    g_strlcpy(p->service, service, sizeof p->service);
    g_ptr_array_add(service_of(n, service)->ups, &p->up);
}

static void
take_peers(Relay *n, FrameIn *f)
{
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    char addr[SP_ADDR_BYTES];

    for (i = 0; i < count; i++) {
        FrameIn one = {&list[i], 1, 0, 0};
        get_str(&one, addr, sizeof addr);
        if (!one.bad) {
            meet_peer(n, addr);
        }
    }
}

/* It has just connected: so can this node, at once. */
static void
hear_peer(Relay *n, const char *addr)
{
    Peer *p;

    meet_peer(n, addr);
    p = g_hash_table_lookup(n->links->peers, addr);
    if (p && !p->wire) {
        p->retry_at = 0;
        p->seen_at = SpHttp_Now();
    }
}

static int
take_hello(Wire *w, FrameIn *f)
{
    char addr[SP_ADDR_BYTES], zone[SP_FLOW_NAME], service[SP_FLOW_NAME];
    uint64_t born;
    Peer *p = w->peer;

    get_str(f, w->name, sizeof w->name);
    get_str(f, addr, sizeof addr);
    get_str(f, zone, sizeof zone);
    get_str(f, service, sizeof service);
    born = get_uint(f);
    if (f->bad) {
        return 0;
    }
    if (!p) {
        send_hello(w);
        hear_peer(w->n, addr);
    }
    else {
        g_strlcpy(p->name, w->name, sizeof p->name);
        g_strlcpy(p->up.name, w->name, sizeof p->up.name);
        g_strlcpy(p->zone, zone, sizeof p->zone);
        p->up.near = strcmp(zone, w->n->set.zone) == 0;
        p->born = born;
        p->up.fails = 0;
        p->up.bad_until = 0;
        p->backoff_us = RETRY_MIN_US;
        place_peer(p, service);
        SpLog(SP_LOG_INFO, "link-up",
              "peer=%s addr=%s zone=%s service=%s lifetime=%" PRIx64, p->name,
              p->addr, zone, service, born);
    }
    take_load(w, f);
    take_peers(w->n, f);
    return !f->bad;
}

/*
 * Calls.
 */

static void
answer_job(Job *j, const Result *r)
{
    Wire *w = j->owner;
    int64_t now = SpHttp_Now();
    Load l = own_load(j->n, now);
    SpShares path = path_shares(j->n, now, j->route);
    FrameOut f;

    g_hash_table_remove(w->jobs, &j->seq);
    begin_frame(&f, w->out, FRAME_ANSWER, 12);
    put_uint(&f, j->seq);
    put_uint(&f, r->kind);
    put_uint(&f, r->outcome);
    put_uint(&f, (uint64_t)r->reached);
    put_uint(&f, (uint64_t)r->below);
    put_uint(&f, SpShares_Pack(&path));
    put_uint(&f, (uint64_t)r->status);
    put_bin(&f, r->lines, r->lines_len);
    put_bin(&f, r->body, r->body_len);
    put_uint(&f, (uint64_t)l.busy);
    put_real(&f, l.limit);
    put_uint(&f, (uint64_t)l.run_us);
    end_frame(&f);
}

static int
take_call(Wire *w, FrameIn *f)
{
    JobOpts o = {.done = answer_job, .owner = w, .copy_body = 1};
    char id[SP_ID_ROOM], service[SP_FLOW_NAME], route[SP_FLOW_NAME];
    const char *head;
    size_t head_len;
    uint64_t *key;
    Job *j;

    o.seq = get_uint(f);
    get_str(f, id, sizeof id);
    get_str(f, service, sizeof service);
    get_str(f, route, sizeof route);
    o.share = get_real(f);
    o.rank = (int)get_uint(f);
    o.begun = (int)get_uint(f);
    o.again = (int)get_uint(f);
    o.idempotent = (int)get_uint(f);
    o.left_us = get_int(f) - stall_of(w->n);
    head = get_bin(f, &head_len);
    o.body = get_bin(f, &o.body_len);
    if (f->bad) {
        return 0;
    }
    o.id = id;
    o.service = service;
    o.route = route;
    o.head = g_string_new_len(head, (gssize)head_len);
    key = g_new(uint64_t, 1);
    *key = o.seq;
    j = start_job(w->n, &o);
    if (j) {
        g_hash_table_insert(w->jobs, key, j);
    }
    else {
        g_free(key);
    }
    return 1;
}

static int
take_cancel(Wire *w, FrameIn *f)
{
    uint64_t seq = get_uint(f);
    Job *j = g_hash_table_lookup(w->jobs, &seq);

    if (j) {
        g_hash_table_remove(w->jobs, &seq);
        drop_job(j);
    }
    return !f->bad;
}

static int
take_answer(Wire *w, FrameIn *f)
{
    Result r;
    Call *c;
    uint64_t seq = get_uint(f);

    memset(&r, 0, sizeof r);
    r.kind = (SpKind)get_uint(f);
    r.outcome = (SpOutcome)get_uint(f);
    r.reached = (int)get_uint(f);
    r.below = (int)get_uint(f);
    r.path = SpShares_Unpack((uint32_t)get_uint(f));
    r.status = (int)get_uint(f);
    r.lines = get_bin(f, &r.lines_len);
    r.body = get_bin(f, &r.body_len);
    if (f->bad || !w->peer || r.kind >= SP_NKINDS) {
        return 0;
    }
    w->peer->up.busy = (int)get_uint(f);
    w->peer->up.limit = get_real(f);
    w->peer->up.run_us = (double)get_uint(f);
    w->peer->up.mine_told = w->peer->up.mine;
    c = g_hash_table_lookup(w->peer->calls, &seq);
    if (c) {
        g_hash_table_remove(w->peer->calls, &seq);
        end_send(c, &r);
    }
    return !f->bad;
}

static int
take_config_frame(Wire *w, FrameIn *f)
{
    size_t n;
    const char *p = get_bin(f, &n);

    if (!f->bad) {
        take_config(w->n, p, n, w->name);
    }
    return !f->bad;
}

static int
send_config(Wire *w)
{
    FrameOut f;

    if (w->n->routes) {
        begin_frame(&f, w->out, FRAME_CONFIG, 1);
        put_bin(&f, w->n->routes->text, w->n->routes->text_len);
        end_frame(&f);
    }
    return 1;
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
        take_load(w, f);
        return !f->bad;
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

uint64_t
send_link(Peer *p, Call *c, const JobOpts *o)
{
    Wire *w = p->wire;
    uint64_t *key;
    FrameOut f;

    if (!w || !w->up ||
        uv_stream_get_write_queue_size((uv_stream_t *)&w->tcp) >
            MAX_QUEUE_BYTES) {
        return 0;
    }
    key = g_new(uint64_t, 1);
    *key = ++p->seq;
    g_hash_table_insert(p->calls, key, c);
    begin_frame(&f, w->out, FRAME_CALL, 12);
    put_uint(&f, *key);
    put_str(&f, o->id);
    put_str(&f, o->service);
    put_str(&f, o->route);
    put_real(&f, o->share);
    put_uint(&f, (uint64_t)o->rank);
    put_uint(&f, (uint64_t)o->begun);
    put_uint(&f, (uint64_t)o->again);
    put_uint(&f, (uint64_t)o->idempotent);
    put_int(&f, o->left_us);
    put_bin(&f, o->head->str, o->head->len);
    put_bin(&f, o->body, o->body_len);
    end_frame(&f);
    return *key;
}

void
cancel_link(Peer *p, uint64_t seq)
{
    FrameOut f;

    if (!g_hash_table_remove(p->calls, &seq) || !p->wire) {
        return;
    }
    begin_frame(&f, p->wire->out, FRAME_CANCEL, 1);
    put_uint(&f, seq);
    end_frame(&f);
}

/*
 * Peers.
 */

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

static void
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
meet_peer(Relay *n, const char *addr)
{
    Peer *p = g_hash_table_lookup(n->links->peers, addr);

    if (p) {
        /* somebody has just seen it: no need to wait for the next try */
        if (!p->wire && p->backoff_us > RETRY_MIN_US) {
            p->backoff_us = RETRY_MIN_US;
        }
        return;
    }
    if (strcmp(addr, n->set.link) == 0 ||
        !SpParse_Addr(addr, (char[64]){0}, 64, &(int){0})) {
        return;
    }
    p = g_new0(Peer, 1);
    p->n = n;
    g_strlcpy(p->addr, addr, sizeof p->addr);
    p->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    p->backoff_us = RETRY_MIN_US;
    p->up.user = p;
    p->seen_at = SpHttp_Now();
    g_hash_table_insert(n->links->peers, g_strdup(addr), p);
    connect_peer(p);
}

static void
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
    if (w->peer && now - w->heard_at > SUSPECT_US) {
        /* calls go elsewhere while the silence may still end */
        w->peer->up.bad_until = now + SUSPECT_US;
    }
    if (now - w->told_at > STATE_US) {
        send_state(w);
    }
}

static void
tick_peer(Peer *p, int64_t now)
{
    if (p->wire) {
        p->seen_at = p->wire->up ? now : p->seen_at;
        return;
    }
    if (now >= p->retry_at && now - p->seen_at < FORGET_US) {
        connect_peer(p);
    }
}

void
tick_links(Relay *n, int64_t now)
{
    GHashTableIter it;
    gpointer p;
    guint i;

    for (i = n->links->wires->len; i > 0; i--) {
        if (i <= n->links->wires->len) {
            tick_wire(g_ptr_array_index(n->links->wires, i - 1), now);
        }
    }
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        tick_peer(p, now);
    }
}

void
tell_links(Relay *n)
{
    guint i;

    for (i = 0; i < n->links->wires->len; i++) {
        Wire *w = g_ptr_array_index(n->links->wires, i);
        if (w->up) {
            send_state(w);
        }
    }
    flush_links(n);
}

guint
count_links(const Relay *n)
{
    GHashTableIter it;
    gpointer p;
    guint up = 0;

    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Peer *q = p;
        up += q->wire && q->service[0];
    }
    return up;
}

int
count_followers(const Relay *n)
{
    int64_t now = SpHttp_Now();
    GHashTableIter it;
    gpointer v;
    int count = 0;

    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Peer *p = v;
        count += p->wire && p->wire->up && p->follows && p->up.near &&
                 now - p->wire->heard_at < SUSPECT_US &&
                 strcmp(p->name, n->set.name) < 0;
    }
    return count;
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
