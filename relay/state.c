/* Exchange of state and configuration between relays. */
#include <string.h>

#include "relay/link.h"

/* After this time without an answer, the next peer that reports the version is
   asked for the configuration. */
#define CONFIG_TIMEOUT_US (300 * SP_MS)

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
    put_uint(f, n->routes ? n->routes->version : 0);
}

#define LOAD_ARGS (7 + SP_MAX_RANKS)

static void
send_empty(LinkConn *conn, FrameType type)
{
    FrameOut f;

    begin_frame(&f, conn->out, type, 0);
    end_frame(&f);
}

/* State is sent to the side that opened the link. That side sends keep-alives
   only; its own state goes over the link that its peer has opened. */
void
send_state(LinkConn *conn)
{
    FrameOut f;

    if (conn->peer) {
        send_empty(conn, FRAME_ALIVE);
        conn->state_sent_at = SpHttp_Now();
        return;
    }
    begin_frame(&f, conn->out, FRAME_STATE, LOAD_ARGS);
    put_load(&f, conn->n);
    end_frame(&f);
    conn->state_sent_at = SpHttp_Now();
}

void
send_hello(LinkConn *conn)
{
    Relay *n = conn->n;
    GHashTableIter it;
    gpointer addr;
    FrameOut f;

    begin_frame(&f, conn->out, FRAME_HELLO, 5 + LOAD_ARGS + 1);
    put_str(&f, n->settings.name);
    put_str(&f, n->settings.link);
    put_str(&f, n->settings.zone);
    put_str(&f, n->settings.service);
    put_uint(&f, n->incarnation);
    put_load(&f, n);
    put_array(&f, g_hash_table_size(n->links->peers));
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, &addr, NULL)) {
        put_str(&f, addr);
    }
    end_frame(&f);
    conn->state_sent_at = SpHttp_Now();
}

static void
request_config(LinkConn *conn, uint64_t version)
{
    Relay *n = conn->n;
    Links *ls = n->links;
    int64_t now = SpHttp_Now();

    if (version <= (n->routes ? n->routes->version : 0) || !conn->peer ||
        (version <= ls->requested &&
         now - ls->requested_at < CONFIG_TIMEOUT_US)) {
        return;
    }
    ls->requested = version;
    ls->requested_at = now;
    send_empty(conn, FRAME_GET_CONFIG);
}

static void
read_load(LinkConn *conn, FrameIn *f)
{
    Load l;
    int i;
    uint64_t version;
    SpUpstream *u;

    l.accepts = (SpAcceptState)get_uint(f);
    l.busy = (int)get_uint(f);
    l.limit = get_real(f);
    l.run_us = (double)get_uint(f);
    for (i = 0; i < SP_MAX_RANKS; i++) {
        l.demand.offered[i] = get_real(f);
    }
    l.demand.capacity = get_real(f);
    l.follows = get_uint(f) != 0;
    version = get_uint(f);
    if (f->bad || !conn->peer) {
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
    request_config(conn, version);
}

int
handle_hello(LinkConn *conn, FrameIn *f)
{
    char addr[SP_ADDR_BYTES], zone[SP_FLOW_NAME], service[SP_FLOW_NAME];
    uint64_t incarnation;
    Peer *p = conn->peer;

    get_str(f, conn->name, sizeof conn->name);
    get_str(f, addr, sizeof addr);
    get_str(f, zone, sizeof zone);
    get_str(f, service, sizeof service);
    incarnation = get_uint(f);
    if (f->bad) {
        return 0;
    }
    if (!p) {
        send_hello(conn);
        on_peer_connected(conn->n, addr);
    }
    else {
        g_strlcpy(p->name, conn->name, sizeof p->name);
        g_strlcpy(p->upstream.name, conn->name, sizeof p->upstream.name);
        g_strlcpy(p->zone, zone, sizeof p->zone);
        p->upstream.same_zone = strcmp(zone, conn->n->settings.zone) == 0;
        p->incarnation = incarnation;
        p->upstream.fails = 0;
        p->upstream.avoid_until = 0;
        p->backoff_us = SP_BACKOFF_MIN_US;
        set_peer_service(p, service);
        SpLog(SP_LOG_INFO, "link-up",
              "peer=%s addr=%s zone=%s service=%s lifetime=%" PRIx64, p->name,
              p->addr, zone, service, incarnation);
    }
    read_load(conn, f);
    add_peers(conn->n, f);
    return !f->bad;
}

int
handle_config(LinkConn *conn, FrameIn *f)
{
    size_t n;
    const char *p = get_bin(f, &n);

    if (!f->bad) {
        apply_config(conn->n, p, n, conn->name);
    }
    return !f->bad;
}

int
send_config(LinkConn *conn)
{
    FrameOut f;

    if (conn->n->routes) {
        begin_frame(&f, conn->out, FRAME_CONFIG, 1);
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
