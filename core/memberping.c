/* Failure detection, and what is done with a message. */
#include <string.h>

#include "base/packed.h"
#include "core/memberstate.h"

#define INDIRECT_PROBES 3
/* Timeouts and intervals in protocol periods. */
#define ACK_PERIODS 0.4
#define SUSPECT_PERIODS 4.0
#define FORGET_PERIODS 300.0
#define SYNC_PERIODS 10.0
#define REJOIN_PERIODS 5.0

void
SpMembers_Join(SpMembers *ms, int64_t now, const char *peer)
{
    SpMembers_Send(ms, now, SP_MEMBER_MSG_SYNC, peer, ++ms->number, "");
}

static void
ping(SpMembers *ms, int64_t now, const SpMember *m)
{
    SpPendingPing p = {"", 0, now, 0};

    g_strlcpy(p.name, m->name, sizeof p.name);
    p.number = ++ms->number;
    g_array_append_val(ms->pending, p);
    SpMembers_Send(ms, now, SP_MEMBER_MSG_PING, m->peer, p.number, "");
}

void
SpMembers_Ping(SpMembers *ms, int64_t now, const char *name)
{
    const SpMember *m = g_hash_table_lookup(ms->by_name, name);

    if (m && m != ms->self) {
        SpMembers_Send(ms, now, SP_MEMBER_MSG_PING, m->peer, ++ms->number, "");
    }
}

/* Returns a random member other than this node: one that is down if down is 1,
   else one that is not; with near, only of the local zone. NULL if there is
   none. */
static SpMember *
random_member(SpMembers *ms, int down, int near)
{
    guint k, n = ms->list->len;
    guint at = n ? (guint)(SpRand(&ms->rand) % n) : 0;

    for (k = 0; k < n; k++) {
        SpMember *m = g_ptr_array_index(ms->list, (at + k) % n);
        if (m != ms->self && (m->state == SP_MEMBER_DOWN) == down &&
            (!near || strcmp(m->zone, ms->self->zone) == 0)) {
            return m;
        }
    }
    return NULL;
}

static void
relay_ping(SpMembers *ms, int64_t now, SpPendingPing *p)
{
    int i;

    p->relayed = 1;
    for (i = 0; i < INDIRECT_PROBES; i++) {
        const SpMember *m = random_member(ms, 0, 0);
        if (m && strcmp(m->name, p->name) != 0) {
            SpMembers_Send(ms, now, SP_MEMBER_MSG_RELAY, m->peer, p->number,
                           p->name);
        }
    }
}

static void
check_pending(SpMembers *ms, int64_t now)
{
    guint i = 0;

    while (i < ms->pending->len) {
        SpPendingPing *p = &g_array_index(ms->pending, SpPendingPing, i);
        SpMember *m = g_hash_table_lookup(ms->by_name, p->name);
        if (!m || m->state == SP_MEMBER_DOWN ||
            now - p->sent > SpMembers_Periods(ms, 2 * ACK_PERIODS)) {
            if (m && m->state <= SP_MEMBER_IDLE) {
                SpMembers_SetState(ms, now, m, SP_MEMBER_SUSPECT);
            }
            else if (m && m->state == SP_MEMBER_LEAVING) {
                SpMembers_SetState(ms, now, m, SP_MEMBER_DOWN);
            }
            g_array_remove_index_fast(ms->pending, i);
            continue;
        }
        if (!p->relayed &&
            now - p->sent > SpMembers_Periods(ms, ACK_PERIODS)) {
            relay_ping(ms, now, p);
        }
        i++;
    }
    for (i = 0; i < ms->forwarded->len;) {
        if (now - g_array_index(ms->forwarded, SpForwardedPing, i).sent >
            SpMembers_Periods(ms, 2)) {
            g_array_remove_index_fast(ms->forwarded, i);
        }
        else {
            i++;
        }
    }
}

static void
check_states(SpMembers *ms, int64_t now)
{
    guint i = 1;

    while (i < ms->list->len) {
        SpMember *m = g_ptr_array_index(ms->list, i);
        int64_t age = now - m->changed_at;
        if (m->state == SP_MEMBER_SUSPECT &&
            age > SpMembers_Periods(ms, SUSPECT_PERIODS)) {
            SpMembers_SetState(ms, now, m, SP_MEMBER_DOWN);
        }
        else if (m->state == SP_MEMBER_DOWN &&
                 age > SpMembers_Periods(ms, FORGET_PERIODS)) {
            SpMembers_Remove(ms, i);
            continue;
        }
        i++;
    }
}

/* Contacts a member that is down and one of the configured addresses, so that
   the parts of the mesh find each other again after a network partition. */
static void
rejoin(SpMembers *ms, int64_t now)
{
    const SpMember *m = random_member(ms, 1, 0);
    const char *c;

    if (m) {
        SpMembers_Send(ms, now, SP_MEMBER_MSG_SYNC, m->peer, ++ms->number, "");
    }
    if (ms->o.ncontacts) {
        c = ms->o.contacts[SpRand(&ms->rand) % (unsigned)ms->o.ncontacts];
        if (strcmp(c, ms->self->peer) != 0) {
            SpMembers_Send(ms, now, SP_MEMBER_MSG_SYNC, c, ++ms->number, "");
        }
    }
}

/* Returns the next member in round-robin order that is not down, so that each
   is pinged within a bounded time; NULL if there is none but this node. */
static SpMember *
next_member(SpMembers *ms)
{
    guint k, n = ms->list->len;

    for (k = 0; k < n; k++) {
        SpMember *m = g_ptr_array_index(ms->list, ms->next_index++ % n);
        if (m != ms->self && m->state != SP_MEMBER_DOWN) {
            return m;
        }
    }
    return NULL;
}

void
SpMembers_Tick(SpMembers *ms, int64_t now)
{
    SpMember *m, *near;

    check_pending(ms, now);
    if (now >= ms->next_ping) {
        m = next_member(ms);
        near = random_member(ms, 0, 1);
        if (m) {
            ping(ms, now, m);
        }
        if (near && near != m) {
            ping(ms, now, near);
        }
        check_states(ms, now);
        ms->next_ping = now + ms->o.period_us;
    }
    if (now >= ms->next_sync) {
        m = random_member(ms, 0, 0);
        if (m) {
            SpMembers_Send(ms, now, SP_MEMBER_MSG_SYNC, m->peer, ++ms->number,
                           "");
        }
        ms->next_sync =
            now + SpMembers_Periods(ms, SYNC_PERIODS *
                                            (0.5 + SpRand_Unit(&ms->rand)));
    }
    if (now >= ms->next_rejoin) {
        rejoin(ms, now);
        ms->next_rejoin =
            now + (ms->list->len < 2 ? SpMembers_Periods(ms, 0.5)
                                     : SpMembers_Periods(ms, REJOIN_PERIODS));
    }
}

static void
forward_ack(SpMembers *ms, int64_t now, uint32_t number, const char *about)
{
    guint i;

    for (i = 0; i < ms->forwarded->len; i++) {
        SpForwardedPing *p = &g_array_index(ms->forwarded, SpForwardedPing, i);
        if (p->number == number) {
            SpMembers_Send(ms, now, SP_MEMBER_MSG_ACK, p->peer,
                           p->origin_number, about);
            g_array_remove_index_fast(ms->forwarded, i);
            return;
        }
    }
}

static void
handle_ack(SpMembers *ms, int64_t now, const SpMemberHeader *h)
{
    guint i;

    for (i = 0; i < ms->pending->len; i++) {
        if (g_array_index(ms->pending, SpPendingPing, i).number == h->number) {
            g_array_remove_index_fast(ms->pending, i);
            return;
        }
    }
    forward_ack(ms, now, h->number, h->name);
}

static void
handle_relay(SpMembers *ms, int64_t now, const SpMemberHeader *h)
{
    const SpMember *m = g_hash_table_lookup(ms->by_name, h->about);
    SpForwardedPing p = {0, h->number, "", now};

    if (!m || m == ms->self) {
        return;
    }
    p.number = ++ms->number;
    g_strlcpy(p.peer, h->peer, sizeof p.peer);
    g_array_append_val(ms->forwarded, p);
    SpMembers_Send(ms, now, SP_MEMBER_MSG_PING, m->peer, p.number, "");
}

static void
handle_message(SpMembers *ms, int64_t now, const SpMemberHeader *h)
{
    switch (h->type) {
    case SP_MEMBER_MSG_PING:
        SpMembers_Send(ms, now, SP_MEMBER_MSG_ACK, h->peer, h->number, "");
        break;
    case SP_MEMBER_MSG_ACK:
        handle_ack(ms, now, h);
        break;
    case SP_MEMBER_MSG_RELAY:
        handle_relay(ms, now, h);
        break;
    case SP_MEMBER_MSG_SYNC:
        SpMembers_Send(ms, now,
                       h->digest == SpMembers_Digest(ms) ? SP_MEMBER_MSG_ACK
                                                         : SP_MEMBER_MSG_TABLE,
                       h->peer, h->number, "");
        break;
    case SP_MEMBER_MSG_TABLE:
        if (h->digest != SpMembers_Digest(ms) && !h->about[0]) {
            SpMembers_Send(ms, now, SP_MEMBER_MSG_TABLE, h->peer, h->number,
                           "reply");
        }
        break;
    default:
        break;
    }
}

/* Pings the sender of a message if it is marked suspect or down here. It then
   learns of that state and refutes it; only the member itself can do so. */
static void
ping_suspect(SpMembers *ms, int64_t now, const SpMemberHeader *h)
{
    SpMember *m = g_hash_table_lookup(ms->by_name, h->name);

    if (m && m->inc == h->inc &&
        (m->state == SP_MEMBER_SUSPECT || m->state == SP_MEMBER_DOWN)) {
        m->sends_left = 2 * SpMembers_InitialSends(ms);
        SpMembers_Send(ms, now, SP_MEMBER_MSG_PING, h->peer, ++ms->number, "");
    }
}

int
SpMembers_Receive(SpMembers *ms, int64_t now, const void *p, size_t n)
{
    msgpack_unpacked u;
    const msgpack_object *list;
    SpMemberHeader h;
    SpMember m;
    size_t off = 0;
    uint32_t i;
    int ok;

    msgpack_unpacked_init(&u);
    ok = SpPacked_Check(p, n) &&
         msgpack_unpack_next(&u, p, n, &off) == MSGPACK_UNPACK_SUCCESS &&
         off == n && SpMembers_ReadHeader(&u.data, &h);
    if (ok && strcmp(h.name, ms->self->name) != 0) {
        list = &u.data.via.array.ptr[10];
        for (i = 0; i < list->via.array.size; i++) {
            if (SpMembers_ReadMember(&list->via.array.ptr[i], &m, now)) {
                SpMembers_Merge(ms, now, &m);
            }
        }
        SpMembers_UpdateClock(ms, now, h.name, h.inc, h.clock_ms);
        ms->o.ops->unpack(ms->o.ctx, g_hash_table_lookup(ms->by_name, h.name),
                          &u.data.via.array.ptr[9]);
        handle_message(ms, now, &h);
        ping_suspect(ms, now, &h);
    }
    msgpack_unpacked_destroy(&u);
    return ok;
}
