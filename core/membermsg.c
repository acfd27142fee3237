/* The messages between members: encoding, decoding. */
#include <string.h>

#include "core/memberstate.h"

#define WIRE_VERSION 1
#define MAX_UPDATES 8
#define MEMBER_FIELDS 11
#define HEADER_FIELDS 11

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
    msgpack_pack_array(pk, MEMBER_FIELDS);
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

void
SpMembers_Send(SpMembers *ms, int64_t now, SpMemberMsg type, const char *peer,
               uint32_t number, const char *about)
{
    msgpack_sbuffer buf;
    msgpack_packer pk;

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, HEADER_FIELDS);
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
    if (type == SP_MEMBER_MSG_TABLE) {
        pack_table(ms, &pk, now);
    }
    else {
        pack_updates(ms, &pk, now);
    }
    ms->o.ops->send(ms->o.ctx, peer, buf.data, buf.size);
    msgpack_sbuffer_destroy(&buf);
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

int
SpMembers_ReadMember(const msgpack_object *o, SpMember *m, int64_t now)
{
    const msgpack_object *f;
    uint64_t inc, seq, state, slots, clock, age;

    memset(m, 0, sizeof *m);
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < MEMBER_FIELDS) {
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

int
SpMembers_ReadHeader(const msgpack_object *o, SpMemberHeader *h)
{
    const msgpack_object *f = o->via.array.ptr;
    uint64_t version, type, clock, number;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != HEADER_FIELDS) {
        return 0;
    }
    if (!get_uint(f, WIRE_VERSION, &version) || version != WIRE_VERSION ||
        !get_uint(f + 1, SP_MEMBER_MSG_TABLE, &type) ||
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
