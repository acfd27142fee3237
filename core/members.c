/* The table of members. */
#include <string.h>

#include "core/memberstate.h"

/* Messages that carry the entry of a node that has just started. */
#define FIRST_SENDS 30

static const char *const state_names[] = {"up", "idle", "suspect", "leaving",
                                          "down"};

const char *
SpMemberState_Name(SpMemberState s)
{
    return (unsigned)s <= SP_MEMBER_DOWN ? state_names[s] : "?";
}

int64_t
SpMembers_Periods(const SpMembers *ms, double n)
{
    return (int64_t)(n * (double)ms->o.period_us);
}

int
SpMembers_InitialSends(const SpMembers *ms)
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
    ms->pending = g_array_new(FALSE, TRUE, sizeof(SpPendingPing));
    ms->forwarded = g_array_new(FALSE, TRUE, sizeof(SpForwardedPing));
    ms->rand = o->seed;
    ms->started_at = now;
    ms->next_ping = now;
    ms->next_sync = now + SpMembers_Periods(ms, 1);
    ms->next_rejoin = now;
    ms->self = g_memdup2(&o->self, sizeof o->self);
    ms->self->sends_left = FIRST_SENDS;
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

void
SpMembers_Remove(SpMembers *ms, guint i)
{
    SpMember *m = g_ptr_array_index(ms->list, i);

    g_hash_table_remove(ms->by_name, m->name);
    g_ptr_array_remove_index_fast(ms->list, i);
}

void
SpMembers_SetState(SpMembers *ms, int64_t now, SpMember *m, SpMemberState st)
{
    SpMemberState old = m->state;

    m->state = st;
    m->sends_left = SpMembers_InitialSends(ms);
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
    SpMembers_SetState(ms, now, ms->self, ms->self->state);
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
            SpMembers_SetState(ms, now, other, SP_MEMBER_DOWN);
        }
    }
}

void
SpMembers_Merge(SpMembers *ms, int64_t now, const SpMember *in)
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
    SpMembers_SetState(ms, now, m, st);
    if (st == SP_MEMBER_UP || st == SP_MEMBER_IDLE) {
        replace_same_address(ms, now, m);
    }
}

void
SpMembers_SetSelf(SpMembers *ms, int64_t now, SpMemberState st, int slots)
{
    if (ms->self->state == st && ms->self->slots == slots) {
        return;
    }
    ms->self->seq++;
    ms->self->slots = slots;
    SpMembers_SetState(ms, now, ms->self, st);
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
