#include <string.h>

#include "core/members.h"
#include "base/packed.h"

#define WIRE_VERSION 1
#define MAX_UPDATES 8
#define INDIRECT_PROBES 3
/* Timeouts and intervals in protocol periods. */
#define ACK_PERIODS 0.4
#define SUSPECT_PERIODS 4.0
#define FORGET_PERIODS 300.0
#define SYNC_PERIODS 10.0
#define REJOIN_PERIODS 5.0

typedef enum { PING = 1, ACK, RELAY, SYNC, TABLE } MessageType;

typedef struct Pending {
    char name[SP_NAME_BYTES];
    uint32_t number; /* sequence number of the ping */
    int64_t sent;
    int relayed;
} Pending;

/* A ping sent on behalf of another node, which gets the answer forwarded. */
typedef struct ForwardedPing {
    uint32_t number;        /* of the ping sent */
    uint32_t origin_number; /* of the ping of the other node */
    char peer[SP_ADDR_BYTES];
    int64_t sent;
} ForwardedPing;

typedef struct Header {
    int type;
    char name[SP_NAME_BYTES];
    char peer[SP_ADDR_BYTES];
    uint64_t inc;
    int64_t clock_ms;
    uint64_t digest;
    uint32_t number;
    char about[SP_NAME_BYTES];
} Header;

struct SpMembers {
    SpMembersOpts o;
    GHashTable *by_name; /* of SpMember, owned by list */
    GPtrArray *list;
    SpMember *self;
    GArray *pending;   /* of Pending */
    GArray *forwarded; /* of ForwardedPing */
    uint64_t rand;
    uint32_t number;
    int64_t started_at, next_ping, next_sync, next_rejoin;
    guint next_index;
};

static const char *const state_names[] = {"up", "idle", "suspect", "leaving",
                                          "down"};

const char *
SpMemberState_Name(SpMemberState s)
{
    return (unsigned)s <= SP_MEMBER_DOWN ? state_names[s] : "?";
}

static int64_t
periods(const SpMembers *ms, double n)
{
    return (int64_t)(n * (double)ms->o.period_us);
}

static int
initial_sends_left(const SpMembers *ms)
{
    int bits = 1;
    guint n = ms->list->len;

    while (n >>= 1) {
        bits++;
    }
    return 3 * bits;
}

SpMembers *
SpMembers_New(const SpMembersOpts *o, int64_t now)
{
    SpMembers *ms = g_new0(SpMembers, 1);

    ms->o = *o;
    ms->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    ms->list = g_ptr_array_new_with_free_func(g_free);
    ms->pending = g_array_new(FALSE, TRUE, sizeof(Pending));
    ms->forwarded = g_array_new(FALSE, TRUE, sizeof(ForwardedPing));
    ms->rand = o->seed;
    ms->started_at = now;
    ms->next_ping = now;
    ms->next_sync = now + periods(ms, 1);
    ms->next_rejoin = now;
    ms->self = g_memdup2(&o->self, sizeof o->self);
    ms->self->sends_left = 30;
    ms->self->up_since = now;
    ms->self->changed_at = now;
    g_ptr_array_add(ms->list, ms->self);
    g_hash_table_insert(ms->by_name, ms->self->name, ms->self);
    return ms;
}

void
SpMembers_Free(SpMembers *ms)
{
    if (!ms) {
        return;
    }
    g_hash_table_destroy(ms->by_name);
    g_ptr_array_free(ms->list, TRUE);
    g_array_free(ms->pending, TRUE);
    g_array_free(ms->forwarded, TRUE);
    g_free(ms);
}

/*
 * Messages.
 */

static void
pack_str(msgpack_packer *pk, const char *s)
{
    size_t n = strlen(s);

    msgpack_pack_str(pk, n);
    msgpack_pack_str_body(pk, s, n);
}

static void
pack_member(const SpMembers *ms, msgpack_packer *pk, const SpMember *m,
            int64_t now)
{
    int64_t clock = m->clock_ms, age = (now - m->clock_at) / 1000;

    if (m == ms->self) {
        clock = SpMembers_Clock(ms, now);
        age = 0;
    }
    msgpack_pack_array(pk, 11);
    pack_str(pk, m->name);
    pack_str(pk, m->zone);
    pack_str(pk, m->service);
    pack_str(pk, m->mesh);
    pack_str(pk, m->peer);
    msgpack_pack_uint64(pk, m->inc);
    msgpack_pack_uint32(pk, m->seq);
    msgpack_pack_int(pk, (int)m->state);
    msgpack_pack_int(pk, m->slots);
    /* sent as clock + 1, since the field is unsigned; 0: unknown */
    msgpack_pack_uint64(pk, (uint64_t)(clock + 1));
    msgpack_pack_uint64(pk, (uint64_t)MAX(age, 0));
}

static int
get_str(const msgpack_object *o, char *to, size_t n)
{
    if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= n) {
        return 0;
    }
    memcpy(to, o->via.str.ptr, o->via.str.size);
    to[o->via.str.size] = '\0';
    return 1;
}

static int
get_uint(const msgpack_object *o, uint64_t max, uint64_t *to)
{
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max) {
        return 0;
    }
    *to = o->via.u64;
    return 1;
}

static int
get_member(const msgpack_object *o, SpMember *m, int64_t now)
{
    const msgpack_object *f;
    uint64_t inc, seq, state, slots, clock, age;

    memset(m, 0, sizeof *m);
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 11) {
        return 0;
    }
    f = o->via.array.ptr;
    if (!get_str(f, m->name, sizeof m->name) ||
        !get_str(f + 1, m->zone, sizeof m->zone) ||
        !get_str(f + 2, m->service, sizeof m->service) ||
        !get_str(f + 3, m->mesh, sizeof m->mesh) ||
        !get_str(f + 4, m->peer, sizeof m->peer) ||
        !get_uint(f + 5, UINT64_MAX, &inc) ||
        !get_uint(f + 6, UINT32_MAX, &seq) ||
        !get_uint(f + 7, SP_MEMBER_DOWN, &state) ||
        !get_uint(f + 8, 100000, &slots) ||
        !get_uint(f + 9, INT64_MAX, &clock) ||
        !get_uint(f + 10, INT64_MAX / 1000, &age)) {
        return 0;
    }
    if (!m->name[0] || !SpParse_Addr(m->mesh, NULL, 0, NULL) ||
        !SpParse_Addr(m->peer, NULL, 0, NULL)) {
        return 0;
    }
    m->inc = inc;
    m->seq = (uint32_t)seq;
    m->state = (SpMemberState)state;
    m->slots = (int)slots;
    m->clock_ms = (int64_t)clock - 1;
    m->clock_at = now - (int64_t)age * 1000;
    return 1;
}

static int
by_sends_left(const void *a, const void *b)
{
    const SpMember *const *x = a, *const *y = b;

    return (*y)->sends_left - (*x)->sends_left;
}

/* This node's entry first, then those that the most messages have yet to
 * carry. */
static void
pack_updates(SpMembers *ms, msgpack_packer *pk, int64_t now)
{
    GPtrArray *due = g_ptr_array_new();
    guint i, n;

    for (i = 1; i < ms->list->len; i++) {
        SpMember *m = g_ptr_array_index(ms->list, i);
        if (m->sends_left > 0) {
            g_ptr_array_add(due, m);
        }
    }
    g_ptr_array_sort(due, by_sends_left);
    n = MIN(due->len, MAX_UPDATES);
    msgpack_pack_array(pk, n + 1);
    pack_member(ms, pk, ms->self, now);
    for (i = 0; i < n; i++) {
        SpMember *m = g_ptr_array_index(due, i);
        m->sends_left--;
        pack_member(ms, pk, m, now);
    }
    g_ptr_array_free(due, TRUE);
}

static void
pack_table(SpMembers *ms, msgpack_packer *pk, int64_t now)
{
    guint i;

    msgpack_pack_array(pk, ms->list->len);
    for (i = 0; i < ms->list->len; i++) {
        pack_member(ms, pk, g_ptr_array_index(ms->list, i), now);
    }
}

static void
send_message(SpMembers *ms, int64_t now, MessageType type, const char *peer,
             uint32_t number, const char *about)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 11);
    msgpack_pack_int(&pk, WIRE_VERSION);
    msgpack_pack_int(&pk, (int)type);
    pack_str(&pk, ms->self->name);
    pack_str(&pk, ms->self->peer);
    msgpack_pack_uint64(&pk, ms->self->inc);
    msgpack_pack_uint64(&pk, (uint64_t)SpMembers_Clock(ms, now));
    msgpack_pack_uint64(&pk, SpMembers_Digest(ms));
    msgpack_pack_uint32(&pk, number);
    pack_str(&pk, about);
    ms->o.ops->pack(ms->o.ctx, &pk);
    if (type == TABLE) {
        pack_table(ms, &pk, now);
    }
    else {
        pack_updates(ms, &pk, now);
    }
    ms->o.ops->send(ms->o.ctx, peer, buf.data, buf.size);
    msgpack_sbuffer_destroy(&buf);
}

/*
 * Entries.
 */

static void
remove_member(SpMembers *ms, guint i)
{
    SpMember *m = g_ptr_array_index(ms->list, i);

    g_hash_table_remove(ms->by_name, m->name);
    g_ptr_array_remove_index_fast(ms->list, i);
}

static void
set_state(SpMembers *ms, int64_t now, SpMember *m, SpMemberState st)
{
    SpMemberState old = m->state;

    m->state = st;
    m->sends_left = initial_sends_left(ms);
    m->changed_at = now;
    if (st == SP_MEMBER_UP && old != SP_MEMBER_SUSPECT) {
        m->up_since = now;
    }
    ms->o.ops->changed(ms->o.ctx, m, old);
}

static int
is_newer(const SpMember *a, const SpMember *b)
{
    if (a->inc != b->inc) {
        return a->inc > b->inc;
    }
    if (a->seq != b->seq) {
        return a->seq > b->seq;
    }
    return a->state > b->state;
}

/* Overrides an entry received about this node: one with a higher incarnation,
   or one at least as recent as its own entry that gives another state. */
static void
refute(SpMembers *ms, int64_t now, const SpMember *m)
{
    if (m->inc > ms->self->inc) {
        ms->self->inc = m->inc + 1;
    }
    else if (m->inc < ms->self->inc || m->seq < ms->self->seq ||
             m->state == ms->self->state) {
        return;
    }
    ms->self->seq = m->seq + 1;
    set_state(ms, now, ms->self, ms->self->state);
}

/* Marks older entries with the same address and another name as down: their
   process has ended. */
static void
replace_same_address(SpMembers *ms, int64_t now, const SpMember *m)
{
    guint i;

    for (i = 1; i < ms->list->len; i++) {
        SpMember *other = g_ptr_array_index(ms->list, i);
        if (other != m && other->inc < m->inc &&
            other->state != SP_MEMBER_DOWN &&
            strcmp(other->mesh, m->mesh) == 0) {
            set_state(ms, now, other, SP_MEMBER_DOWN);
        }
    }
}

static void
merge(SpMembers *ms, int64_t now, const SpMember *in)
{
    SpMember *m = g_hash_table_lookup(ms->by_name, in->name);
    SpMemberState st = in->state;
    SpMember copy;

    if (m == ms->self) {
        refute(ms, now, in);
        return;
    }
    if (m && m->inc == in->inc && in->clock_ms > m->clock_ms) {
        m->clock_ms = in->clock_ms;
        m->clock_at = in->clock_at;
    }
    if (m && !is_newer(in, m)) {
        return;
    }
    if (!m) {
        if (st == SP_MEMBER_DOWN) {
            return;
        }
        m = g_memdup2(in, sizeof *in);
        m->state = SP_MEMBER_DOWN;
        g_ptr_array_add(ms->list, m);
        g_hash_table_insert(ms->by_name, m->name, m);
    }
    else {
        copy = *in;
        copy.state = m->inc == in->inc ? m->state : SP_MEMBER_DOWN;
        if (m->inc == in->inc) {
            copy.clock_ms = m->clock_ms;
            copy.clock_at = m->clock_at;
        }
        copy.up_since = m->up_since;
        *m = copy;
    }
    set_state(ms, now, m, st);
    if (st == SP_MEMBER_UP || st == SP_MEMBER_IDLE) {
        replace_same_address(ms, now, m);
    }
}

void
SpMembers_Join(SpMembers *ms, int64_t now, const char *peer)
{
    send_message(ms, now, SYNC, peer, ++ms->number, "");
}

void
SpMembers_SetSelf(SpMembers *ms, int64_t now, SpMemberState st, int slots)
{
    if (ms->self->state == st && ms->self->slots == slots) {
        return;
    }
    ms->self->seq++;
    ms->self->slots = slots;
    set_state(ms, now, ms->self, st);
}

void
SpMembers_UpdateClock(SpMembers *ms, int64_t now, const char *name,
                      uint64_t inc, int64_t clock_ms)
{
    SpMember *m = g_hash_table_lookup(ms->by_name, name);

    if (m && m->inc == inc && clock_ms > m->clock_ms) {
        m->clock_ms = clock_ms;
        m->clock_at = now;
    }
}

/*
 * Failure detection.
 */

static void
ping(SpMembers *ms, int64_t now, const SpMember *m)
{
    Pending p = {"", 0, now, 0};

    g_strlcpy(p.name, m->name, sizeof p.name);
    p.number = ++ms->number;
    g_array_append_val(ms->pending, p);
    send_message(ms, now, PING, m->peer, p.number, "");
}

void
SpMembers_Ping(SpMembers *ms, int64_t now, const char *name)
{
    const SpMember *m = g_hash_table_lookup(ms->by_name, name);

    if (m && m != ms->self) {
        send_message(ms, now, PING, m->peer, ++ms->number, "");
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
relay_ping(SpMembers *ms, int64_t now, Pending *p)
{
    int i;

    p->relayed = 1;
    for (i = 0; i < INDIRECT_PROBES; i++) {
        const SpMember *m = random_member(ms, 0, 0);
        if (m && strcmp(m->name, p->name) != 0) {
            send_message(ms, now, RELAY, m->peer, p->number, p->name);
        }
    }
}

static void
check_pending(SpMembers *ms, int64_t now)
{
    guint i = 0;

    while (i < ms->pending->len) {
        Pending *p = &g_array_index(ms->pending, Pending, i);
        SpMember *m = g_hash_table_lookup(ms->by_name, p->name);
        if (!m || m->state == SP_MEMBER_DOWN ||
            now - p->sent > periods(ms, 2 * ACK_PERIODS)) {
            if (m && m->state <= SP_MEMBER_IDLE) {
                set_state(ms, now, m, SP_MEMBER_SUSPECT);
            }
            else if (m && m->state == SP_MEMBER_LEAVING) {
                set_state(ms, now, m, SP_MEMBER_DOWN);
            }
            g_array_remove_index_fast(ms->pending, i);
            continue;
        }
        if (!p->relayed && now - p->sent > periods(ms, ACK_PERIODS)) {
            relay_ping(ms, now, p);
        }
        i++;
    }
    for (i = 0; i < ms->forwarded->len;) {
        if (now - g_array_index(ms->forwarded, ForwardedPing, i).sent >
            periods(ms, 2)) {
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
            age > periods(ms, SUSPECT_PERIODS)) {
            set_state(ms, now, m, SP_MEMBER_DOWN);
        }
        else if (m->state == SP_MEMBER_DOWN &&
                 age > periods(ms, FORGET_PERIODS)) {
            remove_member(ms, i);
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
        send_message(ms, now, SYNC, m->peer, ++ms->number, "");
    }
    if (ms->o.ncontacts) {
        c = ms->o.contacts[SpRand(&ms->rand) % (unsigned)ms->o.ncontacts];
        if (strcmp(c, ms->self->peer) != 0) {
            send_message(ms, now, SYNC, c, ++ms->number, "");
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
            send_message(ms, now, SYNC, m->peer, ++ms->number, "");
        }
        ms->next_sync =
            now + periods(ms, SYNC_PERIODS * (0.5 + SpRand_Unit(&ms->rand)));
    }
    if (now >= ms->next_rejoin) {
        rejoin(ms, now);
        ms->next_rejoin =
            now + (ms->list->len < 2 ? periods(ms, 0.5)
                                     : periods(ms, REJOIN_PERIODS));
    }
}

static void
forward_ack(SpMembers *ms, int64_t now, uint32_t number, const char *about)
{
    guint i;

    for (i = 0; i < ms->forwarded->len; i++) {
        ForwardedPing *p = &g_array_index(ms->forwarded, ForwardedPing, i);
        if (p->number == number) {
            send_message(ms, now, ACK, p->peer, p->origin_number, about);
            g_array_remove_index_fast(ms->forwarded, i);
            return;
        }
    }
}

static void
handle_ack(SpMembers *ms, int64_t now, const Header *h)
{
    guint i;

    for (i = 0; i < ms->pending->len; i++) {
        if (g_array_index(ms->pending, Pending, i).number == h->number) {
            g_array_remove_index_fast(ms->pending, i);
            return;
        }
    }
    forward_ack(ms, now, h->number, h->name);
}

static void
handle_relay(SpMembers *ms, int64_t now, const Header *h)
{
    const SpMember *m = g_hash_table_lookup(ms->by_name, h->about);
    ForwardedPing p = {0, h->number, "", now};

    if (!m || m == ms->self) {
        return;
    }
    p.number = ++ms->number;
    g_strlcpy(p.peer, h->peer, sizeof p.peer);
    g_array_append_val(ms->forwarded, p);
    send_message(ms, now, PING, m->peer, p.number, "");
}

static int
get_header(const msgpack_object *o, Header *h)
{
    const msgpack_object *f = o->via.array.ptr;
    uint64_t version, type, clock, number;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 11) {
        return 0;
    }
    if (!get_uint(f, WIRE_VERSION, &version) || version != WIRE_VERSION ||
        !get_uint(f + 1, TABLE, &type) ||
        !get_str(f + 2, h->name, sizeof h->name) ||
        !get_str(f + 3, h->peer, sizeof h->peer) ||
        !get_uint(f + 4, UINT64_MAX, &h->inc) ||
        !get_uint(f + 5, INT64_MAX, &clock) ||
        !get_uint(f + 6, UINT64_MAX, &h->digest) ||
        !get_uint(f + 7, UINT32_MAX, &number) ||
        !get_str(f + 8, h->about, sizeof h->about)) {
        return 0;
    }
    h->type = (int)type;
    h->clock_ms = (int64_t)clock;
    h->number = (uint32_t)number;
    return SpParse_Addr(h->peer, NULL, 0, NULL) &&
           f[10].type == MSGPACK_OBJECT_ARRAY;
}

static void
handle_message(SpMembers *ms, int64_t now, const Header *h)
{
    switch (h->type) {
    case PING:
        send_message(ms, now, ACK, h->peer, h->number, "");
        break;
    case ACK:
        handle_ack(ms, now, h);
        break;
    case RELAY:
        handle_relay(ms, now, h);
        break;
    case SYNC:
        send_message(ms, now, h->digest == SpMembers_Digest(ms) ? ACK : TABLE,
                     h->peer, h->number, "");
        break;
    case TABLE:
        if (h->digest != SpMembers_Digest(ms) && !h->about[0]) {
            send_message(ms, now, TABLE, h->peer, h->number, "reply");
        }
        break;
    default:
        break;
    }
}

/* Pings the sender of a message if it is marked suspect or down here. It then
   learns of that state and refutes it; only the member itself can do so. */
static void
ping_suspect(SpMembers *ms, int64_t now, const Header *h)
{
    SpMember *m = g_hash_table_lookup(ms->by_name, h->name);

    if (m && m->inc == h->inc &&
        (m->state == SP_MEMBER_SUSPECT || m->state == SP_MEMBER_DOWN)) {
        m->sends_left = 2 * initial_sends_left(ms);
        send_message(ms, now, PING, h->peer, ++ms->number, "");
    }
}

int
SpMembers_Receive(SpMembers *ms, int64_t now, const void *p, size_t n)
{
    msgpack_unpacked u;
    const msgpack_object *list;
    Header h;
    SpMember m;
    size_t off = 0;
    uint32_t i;
    int ok;

    msgpack_unpacked_init(&u);
    ok = SpPacked_Check(p, n) &&
         msgpack_unpack_next(&u, p, n, &off) == MSGPACK_UNPACK_SUCCESS &&
         off == n && get_header(&u.data, &h);
    if (ok && strcmp(h.name, ms->self->name) != 0) {
        list = &u.data.via.array.ptr[10];
        for (i = 0; i < list->via.array.size; i++) {
            if (get_member(&list->via.array.ptr[i], &m, now)) {
                merge(ms, now, &m);
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

const SpMember *
SpMembers_Self(const SpMembers *ms)
{
    return ms->self;
}

const SpMember *
SpMembers_Find(const SpMembers *ms, const char *name)
{
    return g_hash_table_lookup(ms->by_name, name);
}

guint
SpMembers_Count(const SpMembers *ms)
{
    return ms->list->len;
}

const SpMember *
SpMembers_At(const SpMembers *ms, guint i)
{
    return g_ptr_array_index(ms->list, i);
}

uint64_t
SpMembers_Digest(const SpMembers *ms)
{
    uint64_t sum = 0;
    guint i;

    for (i = 0; i < ms->list->len; i++) {
        const SpMember *m = g_ptr_array_index(ms->list, i);
        if (m->state != SP_MEMBER_DOWN) {
            sum +=
                SpHash(m->name, strlen(m->name),
                       m->inc ^ ((uint64_t)m->seq << 8) ^ (uint64_t)m->state);
        }
    }
    return sum;
}

int64_t
SpMembers_Clock(const SpMembers *ms, int64_t now)
{
    return (now - ms->started_at) / 1000;
}
