/*
 * Exchange of the directory of members between relays.
 *
 * A change is passed on once by each node that learns it, to a few others.
 * That reaches nearly all nodes in a few steps; the rest learn it by comparing
 * digests with a random node every second.
 */
#include <string.h>

#include "relay/link.h"

/* A change goes to one node of any zone and to the others of this zone. */
#define FANOUT 3
#define DIGEST_US (1 * SP_SEC)
/* If digests differ, the entries learned within this time are sent first. */
#define RECENT_US (10 * SP_SEC)
/* One answer in this many has the whole directory: the entry that differs can
   be older than RECENT_US. */
#define WHOLE_ONE_IN 8
/* Fields of a member in FRAME_MEMBERS. */
#define MEMBER_FIELDS 5

static void
put_member(FrameOut *f, const SpNodeInfo *m)
{
    put_array(f, MEMBER_FIELDS);
    put_str(f, m->name);
    put_str(f, m->addr);
    put_str(f, m->zone);
    put_str(f, m->service);
    put_uint(f, m->started_us);
}

static void
send_members(LinkConn *conn, const GPtrArray *list, int wants_answer)
{
    FrameOut f;
    guint i;

    begin_link_frame(&f, conn, FRAME_MEMBERS, 3);
    put_uint(&f, SpDirectory_Digest(conn->n->directory));
    put_uint(&f, (uint64_t)wants_answer);
    put_array(&f, list->len);
    for (i = 0; i < list->len; i++) {
        put_member(&f, g_ptr_array_index(list, i));
    }
    end_frame(&f);
}

/* Sends the entries that the other side is likely to lack. */
static void
send_difference(LinkConn *conn, int wants_answer)
{
    Relay *n = conn->n;
    int64_t since = SpHttp_Now() - RECENT_US;
    GPtrArray *recent = g_ptr_array_new(), *all = g_ptr_array_new();
    SpDirectoryIter it = {0};
    SpNodeInfo *m;
    int whole = SpRand(&n->rand) % WHOLE_ONE_IN == 0;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        g_ptr_array_add(all, m);
        if (m->learned_at > since) {
            g_ptr_array_add(recent, m);
        }
    }
    send_members(conn, whole || recent->len == 0 ? all : recent, wants_answer);
    g_ptr_array_unref(recent);
    g_ptr_array_unref(all);
}

void
send_digest(LinkConn *conn)
{
    FrameOut f;

    begin_link_frame(&f, conn, FRAME_DIGEST, 1);
    put_uint(&f, SpDirectory_Digest(conn->n->directory));
    end_frame(&f);
}

int
handle_digest(LinkConn *conn, FrameIn *f)
{
    uint64_t digest = get_uint(f);

    if (!f->bad && digest != SpDirectory_Digest(conn->n->directory)) {
        send_difference(conn, 1);
    }
    return !f->bad;
}

/* A later start under the name of this node is an earlier process whose clock
   was ahead: this node claims a later one. */
static void
defend_own_entry(Relay *n, const SpNodeInfo *m)
{
    SpNodeInfo self = *m;

    if (m->started_us < n->incarnation) {
        return;
    }
    n->incarnation = m->started_us + 1;
    self.started_us = n->incarnation;
    g_strlcpy(self.addr, n->settings.link, sizeof self.addr);
    self.zone = n->settings.zone;
    self.service = n->settings.service;
    if (SpDirectory_Put(n->directory, &self, SpHttp_Now())) {
        g_ptr_array_add(n->links->rumors, g_strdup(self.name));
    }
}

void
add_member(Relay *n, const SpNodeInfo *m, int from_store)
{
    int64_t now = SpHttp_Now();

    if (strcmp(m->name, n->settings.name) == 0) {
        if (strcmp(m->addr, n->settings.link) != 0) {
            defend_own_entry(n, m);
        }
        return;
    }
    if (strcmp(m->addr, n->settings.link) == 0 ||
        !SpParse_Addr(m->addr, (char[SP_NODE_ADDR]){0}, SP_NODE_ADDR,
                      &(int){0}) ||
        !SpDirectory_Put(n->directory, m, now)) {
        return;
    }
    retry_peer(n, m->addr, now);
    n->links->refresh = 1;
    if (!from_store) {
        g_ptr_array_add(n->links->rumors, g_strdup(m->name));
    }
}

static int
read_member(FrameIn *list, const msgpack_object *o, SpNodeInfo *m)
{
    FrameIn f = {.arena = list->arena};

    memset(m, 0, sizeof *m);
    if (o->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    f.args = o->via.array.ptr;
    f.n = o->via.array.size;
    m->name = get_text(&f);
    get_addr(&f, m->addr, sizeof m->addr);
    m->zone = get_text(&f);
    m->service = get_text(&f);
    m->started_us = get_uint(&f);
    list->arena = f.arena;
    return !f.bad && m->name[0] && m->service[0];
}

int
handle_members(LinkConn *conn, FrameIn *f)
{
    uint64_t digest = get_uint(f);
    int wants_answer = get_uint(f) != 0;
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    SpNodeInfo m;

    for (i = 0; i < count; i++) {
        if (!read_member(f, &list[i], &m)) {
            return 0;
        }
        add_member(conn->n, &m, 0);
    }
    if (wants_answer && digest != SpDirectory_Digest(conn->n->directory)) {
        send_difference(conn, 0);
    }
    return !f->bad;
}

/* Returns a random link whose other side is known, or NULL. */
static LinkConn *
random_conn(Relay *n, int same_zone_only)
{
    const GPtrArray *conns = n->links->conns;
    guint i, at = conns->len ? (guint)(SpRand(&n->rand) % conns->len) : 0;

    for (i = 0; i < conns->len; i++) {
        LinkConn *conn = g_ptr_array_index(conns, (at + i) % conns->len);
        if (conn->connected && conn->name[0] &&
            (conn->same_zone || !same_zone_only)) {
            return conn;
        }
    }
    return NULL;
}

static void
spread_rumors(Relay *n)
{
    GPtrArray *rumors = n->links->rumors, *list = g_ptr_array_new();
    guint i;

    for (i = 0; i < rumors->len; i++) {
        SpNodeInfo *m =
            SpDirectory_Get(n->directory, g_ptr_array_index(rumors, i));
        if (m) {
            g_ptr_array_add(list, m);
        }
    }
    for (i = 0; i < FANOUT && list->len; i++) {
        LinkConn *conn = random_conn(n, i > 0);
        if (conn) {
            send_members(conn, list, 0);
        }
    }
    g_ptr_array_set_size(rumors, 0);
    g_ptr_array_unref(list);
}

void
tick_gossip(Relay *n, int64_t now)
{
    LinkConn *conn;

    if (n->links->rumors->len) {
        spread_rumors(n);
    }
    if (now < n->links->digest_at) {
        return;
    }
    n->links->digest_at =
        now + DIGEST_US / 2 + (int64_t)(SpRand(&n->rand) % DIGEST_US);
    conn = random_conn(n, SpRand(&n->rand) % FANOUT != 0);
    if (conn) {
        send_digest(conn);
    }
}
