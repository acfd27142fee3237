/* Table of the other relays, and which of them are linked. */
#include <string.h>

#include "relay/link.h"

/* A node that was not reached for this long is given up: it gets no share of
   the links, and is tried rarely. */
#define RECONNECT_LIMIT_US (60 * SP_SEC)
/* Interval at which one of the nodes that were given up is tried again: the
   cost does not depend on their number. */
#define GONE_DIAL_US (1 * SP_SEC)
/* Interval at which the subset is chosen again if nothing has changed. */
#define REFRESH_US (1 * SP_SEC)
/* A service is in use for this long after the last request to it. */
#define SERVICE_USED_US (30 * SP_SEC)
/* An unwanted link is closed after this time without a new call. */
#define UNWANTED_US (2 * SP_SEC)

/* Instances to link for the service of this node, whose demand is summed up,
   for the services in use, and for the others. */
static const SpSubsetOpts own_subset = {NULL, NULL, 16, 8, 12};
static const SpSubsetOpts used_subset = {NULL, NULL, 16, 4, 10};
static const SpSubsetOpts idle_subset = {NULL, NULL, 2, 1, 3};

/* Enters the peer in the list of its service or removes it. */
static void
set_listed(Peer *p, int listed)
{
    GPtrArray *list;

    if (!p->service[0] || listed == p->listed) {
        return;
    }
    list = service_of(p->n, p->service)->upstreams;
    p->listed = listed;
    if (listed) {
        g_ptr_array_add(list, &p->upstream);
    }
    else {
        g_ptr_array_remove(list, &p->upstream);
    }
}

void
set_peer_name(Peer *p, const char *name)
{
    SpName_Set(&p->name, name);
    p->upstream.name = p->name;
}

void
set_peer_service(Peer *p, const char *service)
{
    if (strcmp(p->service, service) != 0) {
        set_listed(p, 0);
        SpName_Set(&p->service, service);
    }
    set_listed(p, p->wanted);
}

Peer *
find_peer(const Relay *n, const char *addr)
{
    return g_hash_table_lookup(n->links->peers, addr);
}

Peer *
find_peer_of(const Relay *n, const char *name)
{
    const SpNodeInfo *m = SpDirectory_Get(n->directory, name);
    Peer *p = m ? find_peer(n, m->addr) : NULL;

    return p && strcmp(p->name, name) == 0 ? p : NULL;
}

void
retry_peer(Relay *n, const char *addr, int64_t now)
{
    Peer *p = find_peer(n, addr);

    if (p && !p->conn) {
        p->backoff_us = SP_BACKOFF_MIN_US;
        p->reconnect_at = 0;
        p->seen_at = now;
    }
}

static Peer *
new_peer(Relay *n, const char *addr, int64_t now)
{
    Peer *p = g_new0(Peer, 1);

    p->n = n;
    p->zone = SpName_New("");
    p->service = SpName_New("");
    set_peer_name(p, "");
    g_strlcpy(p->addr, addr, sizeof p->addr);
    p->lost = new_past_runs();
    p->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    p->backoff_us = SP_BACKOFF_MIN_US;
    p->upstream.user = p;
    p->seen_at = now;
    g_hash_table_insert(n->links->peers, g_strdup(addr), p);
    return p;
}

Peer *
want_peer(Relay *n, const SpNodeInfo *m, int64_t now)
{
    Peer *p = find_peer(n, m->addr);
    int was_wanted = p && (p->was_wanted || p->wanted);

    if (!p) {
        p = new_peer(n, m->addr, now);
    }
    if (!p->conn) {
        set_peer_name(p, m->name);
    }
    if (!p->conn && !was_wanted) {
        p->seen_at = now;
    }
    p->wanted = 1;
    return p;
}

/*
 * Choice of the subset.
 */

static const SpSubsetOpts *
subset_for(const Relay *n, const Service *s, int64_t now)
{
    if (strcmp(s->name, n->settings.service) == 0) {
        return &own_subset;
    }
    return s->used_at && now - s->used_at < SERVICE_USED_US ? &used_subset
                                                            : &idle_subset;
}

static void
want_service(Relay *n, const char *name, const GPtrArray *list, int64_t now)
{
    Service *s = service_of(n, name);
    SpSubsetOpts o = *subset_for(n, s, now);
    guint i, chosen;

    o.self = n->settings.name;
    o.zone = n->settings.zone;
    chosen =
        SpSubset_Choose((SpNodeInfo **)list->pdata, list->len, &o, &s->linked);
    for (i = 0; i < chosen; i++) {
        want_peer(n, g_ptr_array_index(list, i), now);
    }
}

/* Returns a table of service name to GPtrArray of SpNodeInfo, without this
   node. */
static GHashTable *
group_members(const Relay *n)
{
    GHashTable *groups = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    SpDirectoryIter it = {0};
    SpNodeInfo *m;
    GPtrArray *list;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        if (m->gone || strcmp(m->name, n->settings.name) == 0) {
            continue;
        }
        list = g_hash_table_lookup(groups, m->service);
        if (!list) {
            list = g_ptr_array_new();
            g_hash_table_insert(groups, (gpointer)m->service, list);
        }
        g_ptr_array_add(list, m);
    }
    return groups;
}

void
refresh_links(Relay *n, int64_t now)
{
    GHashTable *groups = group_members(n);
    GHashTableIter it;
    gpointer name, value;

    n->links->refresh = 0;
    n->links->refreshed_at = now;
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((Peer *)value)->was_wanted = ((Peer *)value)->wanted;
        ((Peer *)value)->wanted = 0;
        ((Peer *)value)->contact = 0;
    }
    g_hash_table_iter_init(&it, groups);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        want_service(n, name, value, now);
    }
    want_contacts(n, now);
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Peer *p = value;
        set_listed(p, p->wanted);
    }
    g_hash_table_destroy(groups);
}

void
use_service(Relay *n, Service *s, int64_t now)
{
    if (!s->used_at || now - s->used_at >= SERVICE_USED_US) {
        n->links->refresh = 1;
    }
    s->used_at = now;
}

/* Tries all nodes that were given up again: the cut that separated them may
   have ended. */
static void
revive_gone(const Relay *n)
{
    SpDirectoryIter it = {0};
    SpNodeInfo *m;
    int revived = 0;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        revived += m->gone;
        m->gone = 0;
    }
    SpLog(SP_LOG_INFO, "peers-revived", "nodes=%d", revived);
}

void
mark_reachable(Relay *n, const char *name)
{
    SpNodeInfo *m = SpDirectory_Get(n->directory, name);

    if (!m || (!m->unreachable && !m->gone)) {
        return;
    }
    m->unreachable = 0;
    if (m->gone) {
        revive_gone(n);
    }
    n->links->refresh = 1;
}

/* Returns a random one of the nodes that were given up; NULL if there are
   none. */
static const SpNodeInfo *
pick_gone(Relay *n)
{
    const SpNodeInfo *picked = NULL;
    SpDirectoryIter it = {0};
    SpNodeInfo *m;
    uint64_t seen = 0;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        if (m->gone && SpRand(&n->rand) % ++seen == 0) {
            picked = m;
        }
    }
    return picked;
}

/* Opens a link to a node that was given up. If it answers, it is no longer
   taken as gone (mark_reachable). */
static void
dial_gone(Relay *n, int64_t now)
{
    const SpNodeInfo *m;
    Peer *p;

    if (now - n->links->gone_dialed_at < GONE_DIAL_US) {
        return;
    }
    n->links->gone_dialed_at = now;
    m = pick_gone(n);
    if (!m) {
        return;
    }
    p = find_peer(n, m->addr);
    if (!p) {
        p = new_peer(n, m->addr, now);
        set_peer_name(p, m->name);
    }
    if (!p->conn) {
        connect_peer(p);
    }
}

/* Gives a node up that has not been reached for RECONNECT_LIMIT_US. */
static void
give_up(Peer *p)
{
    SpNodeInfo *m = SpDirectory_Get(p->n->directory, p->name);

    if (m && strcmp(m->addr, p->addr) == 0 && !m->gone) {
        m->gone = 1;
        p->n->links->refresh = 1;
        SpLog(SP_LOG_INFO, "peer-gone", "peer=%.128s addr=%s", p->name,
              p->addr);
    }
}

/*
 * Timer and counts.
 */

static void
tick_peer(Peer *p, int64_t now)
{
    LinkConn *conn = p->conn;

    expire_past_runs(p->lost, now);
    if (conn && !p->wanted && g_hash_table_size(p->calls) == 0 &&
        now - MAX(conn->used_at, p->seen_at) > UNWANTED_US) {
        close_unused(conn);
        return;
    }
    if (conn) {
        p->seen_at = conn->connected && p->wanted ? now : p->seen_at;
        return;
    }
    if (!p->wanted || now < p->reconnect_at) {
        return;
    }
    if (now - p->seen_at > RECONNECT_LIMIT_US) {
        give_up(p);
        return;
    }
    connect_peer(p);
}

void
tick_links(Relay *n, int64_t now)
{
    Links *ls = n->links;
    GHashTableIter it;
    gpointer p;
    guint i;

    if (ls->refresh || now - ls->refreshed_at > REFRESH_US) {
        refresh_links(n, now);
    }
    for (i = ls->conns->len; i > 0; i--) {
        if (i <= ls->conns->len) {
            tick_conn(g_ptr_array_index(ls->conns, i - 1), now);
        }
    }
    g_hash_table_iter_init(&it, ls->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        tick_peer(p, now);
    }
    dial_gone(n, now);
    tick_config_requests(n, now);
    tick_gossip(n, now);
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
        up += q->conn && q->listed;
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
                 p->upstream.same_zone && !is_suspect(p->conn, now) &&
                 strcmp(p->name, n->settings.name) < 0;
    }
    return count;
}

void
print_links(const Relay *n, GString *s)
{
    const Links *ls = n->links;
    int i;

    g_string_append_printf(
        s,
        "sp_members %u\nsp_link_connections %u\n"
        "sp_links_opened_total %" PRIu64 "\nsp_links_lost_total %" PRIu64 "\n",
        SpDirectory_Count(n->directory), ls->conns->len, ls->opened, ls->lost);
    for (i = 0; i < FRAME_NTYPES; i++) {
        g_string_append_printf(
            s,
            "sp_link_frames_total{type=\"%s\"} %" PRIu64 "\n"
            "sp_link_bytes_total{type=\"%s\"} %" PRIu64 "\n",
            FrameType_Name((FrameType)i), ls->sent[i].frames,
            FrameType_Name((FrameType)i), ls->sent[i].bytes);
    }
}
