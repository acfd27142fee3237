/* Table of the other relays and their links. */
#include <string.h>

#include "relay/link.h"

/* Connection attempts to an address stop after this time without success. */
#define RECONNECT_LIMIT_US (60 * SP_SEC)

void
set_peer_service(Peer *p, const char *service)
{
    Relay *n = p->n;

    if (strcmp(p->service, service) == 0) {
        return;
    }
    if (p->service[0]) {
        g_ptr_array_remove(service_of(n, p->service)->upstreams, &p->upstream);
    }
    g_strlcpy(p->service, service, sizeof p->service);
    g_ptr_array_add(service_of(n, service)->upstreams, &p->upstream);
}

void
add_peers(Relay *n, FrameIn *f)
{
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    char addr[SP_ADDR_BYTES];

    for (i = 0; i < count; i++) {
        FrameIn entry = {&list[i], 1, 0, 0};
        get_str(&entry, addr, sizeof addr);
        if (!entry.bad) {
            add_peer(n, addr);
        }
    }
}

/* Connects to the peer at the next tick, without the backoff: it has just
   shown that it is running. */
void
on_peer_connected(Relay *n, const char *addr)
{
    Peer *p;

    add_peer(n, addr);
    p = g_hash_table_lookup(n->links->peers, addr);
    if (p && !p->conn) {
        p->reconnect_at = 0;
        p->seen_at = SpHttp_Now();
    }
}

void
add_peer(Relay *n, const char *addr)
{
    Peer *p = g_hash_table_lookup(n->links->peers, addr);

    if (p) {
        /* the address was announced again: reset the backoff */
        if (!p->conn && p->backoff_us > SP_BACKOFF_MIN_US) {
            p->backoff_us = SP_BACKOFF_MIN_US;
        }
        return;
    }
    if (strcmp(addr, n->settings.link) == 0 ||
        !SpParse_Addr(addr, (char[64]){0}, 64, &(int){0})) {
        return;
    }
    p = g_new0(Peer, 1);
    p->n = n;
    g_strlcpy(p->addr, addr, sizeof p->addr);
    p->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    p->backoff_us = SP_BACKOFF_MIN_US;
    p->upstream.user = p;
    p->seen_at = SpHttp_Now();
    g_hash_table_insert(n->links->peers, g_strdup(addr), p);
    connect_peer(p);
}

void
tick_peer(Peer *p, int64_t now)
{
    if (p->conn) {
        p->seen_at = p->conn->connected ? now : p->seen_at;
        return;
    }
    if (now >= p->reconnect_at && now - p->seen_at < RECONNECT_LIMIT_US) {
        connect_peer(p);
    }
}

void
tick_links(Relay *n, int64_t now)
{
    GHashTableIter it;
    gpointer p;
    guint i;

    for (i = n->links->conns->len; i > 0; i--) {
        if (i <= n->links->conns->len) {
            tick_conn(g_ptr_array_index(n->links->conns, i - 1), now);
        }
    }
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        tick_peer(p, now);
    }
}

void
broadcast_state(Relay *n)
{
    guint i;

    for (i = 0; i < n->links->conns->len; i++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, i);
        if (conn->connected) {
            send_state(conn);
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
        up += q->conn && q->service[0];
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
        count += p->conn && p->conn->connected && p->follows &&
                 p->upstream.same_zone &&
                 now - p->conn->received_at < SP_SUSPECT_US &&
                 strcmp(p->name, n->settings.name) < 0;
    }
    return count;
}
