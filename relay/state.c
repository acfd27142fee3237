/* Exchange of state and configuration between relays. */
#include <string.h>

#include "relay/link.h"

/* Time-out of a request for a configuration version before another peer is
   asked. */
#define WANT_US (300 * SP_MS)

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

/* State is sent to the side that opened the link. That side sends keep-alives
   only; its own state goes over the link that its peer has opened. */
void
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

void
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

int
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
        p->backoff_us = SP_RECONNECT_US;
        place_peer(p, service);
        SpLog(SP_LOG_INFO, "link-up",
              "peer=%s addr=%s zone=%s service=%s lifetime=%" PRIx64, p->name,
              p->addr, zone, service, born);
    }
    take_load(w, f);
    take_peers(w->n, f);
    return !f->bad;
}

int
take_config_frame(Wire *w, FrameIn *f)
{
    size_t n;
    const char *p = get_bin(f, &n);

    if (!f->bad) {
        take_config(w->n, p, n, w->name);
    }
    return !f->bad;
}

int
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

int
take_state(Wire *w, FrameIn *f)
{
    take_load(w, f);
    return !f->bad;
}
