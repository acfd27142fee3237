/* Exchange of state and configuration between relays. */
#include <string.h>

#include "relay/link.h"

/* After this time without an answer, the next peer that reports the version is
   asked for the configuration. */
#define CONFIG_TIMEOUT_US (300 * SP_MS)

/* The state is encoded again after this time at the earliest, unless a change
   is broadcast. */
#define STATE_MIN_US (100 * SP_MS)
/* Time for which a node waits for a node of its zone to report a version that
   another zone has reported. */
#define ZONE_WAIT_US (200 * SP_MS)

/* Fields of FRAME_STATE. */
#define LOAD_ARGS (7 + SP_MAX_RANKS)

static uint64_t
config_version(const Relay *n)
{
    return n->routes ? n->routes->version : 0;
}

static void
put_load(FrameOut *f, const Relay *n)
{
    Load l = local_load(n, SpHttp_Now());
    int i;

    put_uint(f, l.accepts);
    put_uint(f, (uint64_t)l.busy);
    put_real(f, l.limit);
    put_uint(f, (uint64_t)l.run_us);
    for (i = 0; i < SP_MAX_RANKS; i++) {
        put_real(f, l.demand.offered[i]);
    }
    put_real(f, l.demand.capacity);
    put_uint(f, (uint64_t)l.follows);
    put_uint(f, config_version(n));
}

/* Encodes the state once for all links; a new number shows that it differs
   from the one before. */
static void
update_state(Relay *n, int64_t now)
{
    Links *ls = n->links;
    GByteArray *state = g_byte_array_new();
    FrameOut f;

    begin_fields(&f, state);
    put_load(&f, n);
    if (state->len != ls->state->len ||
        memcmp(state->data, ls->state->data, state->len) != 0) {
        ls->state_number++;
    }
    g_byte_array_unref(ls->state);
    ls->state = state;
    ls->state_at = now;
}

static void
send_empty(LinkConn *conn, FrameType type)
{
    FrameOut f;

    begin_link_frame(&f, conn, type, 0);
    end_frame(&f);
}

static void
send_alive(LinkConn *conn)
{
    FrameOut f;

    begin_link_frame(&f, conn, FRAME_ALIVE, 1);
    put_uint(&f, config_version(conn->n));
    end_frame(&f);
}

/* State is sent to the side that opened the link, if it has changed. That side
   sends keep-alives only. */
void
send_state(LinkConn *conn)
{
    Links *ls = conn->n->links;
    int64_t now = SpHttp_Now();
    FrameOut f;

    conn->state_sent_at = now;
    if (now - ls->state_at >= STATE_MIN_US) {
        update_state(conn->n, now);
    }
    if (conn->peer || conn->sent_state == ls->state_number) {
        send_alive(conn);
        return;
    }
    conn->sent_state = ls->state_number;
    begin_link_frame(&f, conn, FRAME_STATE, LOAD_ARGS);
    put_fields(&f, ls->state);
    end_frame(&f);
}

void
broadcast_state(Relay *n)
{
    guint i;

    update_state(n, SpHttp_Now());
    for (i = 0; i < n->links->conns->len; i++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, i);
        if (conn->connected) {
            send_state(conn);
        }
    }
    flush_links(n);
}

void
send_hello(LinkConn *conn)
{
    Relay *n = conn->n;
    FrameOut f;

    begin_link_frame(&f, conn, FRAME_HELLO, 5 + LOAD_ARGS + 2);
    put_str(&f, n->settings.name);
    put_str(&f, n->settings.link);
    put_str(&f, n->settings.zone);
    put_str(&f, n->settings.service);
    put_uint(&f, n->incarnation);
    put_load(&f, n);
    put_uint(&f, SpDirectory_Count(n->directory));
    put_uint(&f, SpDirectory_Digest(n->directory));
    end_frame(&f);
    conn->state_sent_at = SpHttp_Now();
}

/*
 * Configuration.
 */

/* Requests the configuration of a version that the other side of the link has;
   another link is asked if it does not answer in time. */
static void
request_config(LinkConn *conn, int64_t now)
{
    Links *ls = conn->n->links;

    if (conn->version <= ls->requested &&
        now - ls->requested_at < CONFIG_TIMEOUT_US) {
        return;
    }
    ls->requested = conn->version;
    ls->requested_at = now;
    send_empty(conn, FRAME_GET_CONFIG);
}

static void
note_version(LinkConn *conn, uint64_t version)
{
    Links *ls = conn->n->links;

    if (version != conn->version) {
        conn->version = version;
        conn->version_at = SpHttp_Now();
    }
    ls->newest = MAX(ls->newest, version);
    if (conn->same_zone && version > config_version(conn->n)) {
        request_config(conn, SpHttp_Now());
    }
}

/* A version that no node of this zone has is requested from another zone: the
   text would otherwise cross zones once for each node. A node that has no
   configuration does not wait. */
void
tick_config_requests(Relay *n, int64_t now)
{
    uint64_t version = config_version(n);
    guint i;

    if (n->links->newest <= version) {
        return;
    }
    for (i = 0; i < n->links->conns->len; i++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, i);
        if (conn->connected && conn->version > version &&
            (conn->same_zone || !version ||
             now - conn->version_at > ZONE_WAIT_US)) {
            request_config(conn, now);
        }
    }
}

/*
 * Received state.
 */

static void
read_load(LinkConn *conn, FrameIn *f)
{
    uint64_t accepts = get_uint(f), version;
    Load l;
    int i;
    SpUpstream *u;

    f->bad |= accepts > SP_ACCEPT_ALL;
    l.accepts = (SpAcceptState)accepts;
    l.busy = (int)get_uint(f);
    l.limit = get_real(f);
    l.run_us = (double)get_uint(f);
    for (i = 0; i < SP_MAX_RANKS; i++) {
        l.demand.offered[i] = get_real(f);
    }
    l.demand.capacity = get_real(f);
    l.follows = get_uint(f) != 0;
    version = get_uint(f);
    if (f->bad) {
        return;
    }
    note_version(conn, version);
    if (!conn->peer) {
        return;
    }
    conn->peer->follows = l.follows;
    u = &conn->peer->upstream;
    u->accepts = l.accepts;
    u->busy = l.busy;
    u->limit = l.limit;
    u->run_us = l.run_us;
    u->demand = l.demand;
    u->in_flight_reported = u->in_flight;
}

/* The node at the address of the link, which may have replaced another. */
static void
identify_peer(Peer *p, const SpNodeInfo *m)
{
    set_peer_name(p, m->name);
    SpName_Set(&p->zone, m->zone);
    p->upstream.same_zone = p->conn->same_zone;
    p->incarnation = m->started_us;
    p->upstream.fails = 0;
    p->upstream.avoid_until = 0;
    p->backoff_us = SP_BACKOFF_MIN_US;
    set_peer_service(p, m->service);
    send_past_runs(p->conn, p->lost);
    free_past_runs(p->lost);
    p->lost = new_past_runs();
    SpLog(SP_LOG_INFO, "link-up",
          "peer=%.128s addr=%s zone=%.128s service=%.128s started_us=%" PRIu64,
          p->name, p->addr, p->zone, p->service, p->incarnation);
}

/* A node that knows far fewer members than the other side, after a start
   without the store, asks for them at once. */
static void
compare_members(LinkConn *conn, FrameIn *f)
{
    uint64_t count = get_uint(f), digest = get_uint(f);
    const SpDirectory *dir = conn->n->directory;

    if (!f->bad && count > 2 * (uint64_t)SpDirectory_Count(dir) &&
        digest != SpDirectory_Digest(dir)) {
        send_digest(conn);
    }
}

int
handle_hello(LinkConn *conn, FrameIn *f)
{
    Relay *n = conn->n;
    SpNodeInfo m = {0};

    m.name = get_text(f);
    get_addr(f, m.addr, sizeof m.addr);
    m.zone = get_text(f);
    m.service = get_text(f);
    m.started_us = get_uint(f);
    if (f->bad || !m.name[0] || !m.service[0]) {
        return 0;
    }
    SpName_Set(&conn->name, m.name);
    conn->up_at = SpHttp_Now();
    conn->same_zone = strcmp(m.zone, n->settings.zone) == 0;
    add_member(n, &m, 0);
    mark_reachable(n, m.name);
    if (conn->peer) {
        identify_peer(conn->peer, &m);
    }
    else {
        send_hello(conn);
        retry_peer(n, m.addr, SpHttp_Now());
    }
    tell_departure(conn);
    read_load(conn, f);
    compare_members(conn, f);
    return !f->bad;
}

int
handle_alive(LinkConn *conn, FrameIn *f)
{
    uint64_t version = get_uint(f);

    if (!f->bad) {
        note_version(conn, version);
    }
    return !f->bad;
}

int
handle_config(LinkConn *conn, FrameIn *f)
{
    size_t n;
    const char *p = get_bin(f, &n);

    if (!f->bad) {
        (void)apply_config(conn->n, p, n, conn->name);
    }
    return !f->bad;
}

int
send_config(LinkConn *conn)
{
    FrameOut f;

    if (conn->n->routes) {
        begin_link_frame(&f, conn, FRAME_CONFIG, 1);
        put_bin(&f, conn->n->routes->text, conn->n->routes->text_len);
        end_frame(&f);
    }
    return 1;
}

int
handle_state(LinkConn *conn, FrameIn *f)
{
    read_load(conn, f);
    return !f->bad;
}
