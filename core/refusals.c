#include "core/refusals.h"

struct SpRefusals {
    SpRefusal *ring;
    guint capacity;
    uint64_t total;
};

SpRefusals *
SpRefusals_New(guint capacity)
{
    SpRefusals *rs = g_new0(SpRefusals, 1);

    rs->capacity = capacity;
    rs->ring = g_new0(SpRefusal, capacity);
    return rs;
}

void
SpRefusals_Free(SpRefusals *rs)
{
    if (rs) {
        g_free(rs->ring);
        g_free(rs);
    }
}

void
SpRefusals_Add(SpRefusals *rs, const SpRefusal *r)
{
    rs->ring[rs->total++ % rs->capacity] = *r;
}

guint
SpRefusals_Count(const SpRefusals *rs)
{
    return (guint)MIN(rs->total, rs->capacity);
}

const SpRefusal *
SpRefusals_At(const SpRefusals *rs, guint i)
{
    return &rs->ring[(rs->total - 1 - i) % rs->capacity];
}

const SpRefusal *
SpRefusals_Find(const SpRefusals *rs, const uint64_t trace[2])
{
    guint i;

    for (i = 0; i < SpRefusals_Count(rs); i++) {
        const SpRefusal *r = SpRefusals_At(rs, i);
        if (r->trace[0] == trace[0] && r->trace[1] == trace[1]) {
            return r;
        }
    }
    return NULL;
}
