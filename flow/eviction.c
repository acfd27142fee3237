/* Which client's connection is closed. */
#include "flow/eviction.h"

/* Pace below which a client that moves counts as late: a slow link. */
#define PACE_BYTES_PER_S 65536.0
/* A client that is late by less is in time: a lost packet is sent again within
   it. */
#define GRACE_US (500 * SP_MS)

int64_t
SpHolder_Late(const SpHolder *h, int64_t now)
{
    int64_t still = now - h->moved_at;
    int64_t behind = now - h->began -
                     (int64_t)((double)h->moved / PACE_BYTES_PER_S * SP_SEC);
    int64_t late = MAX(still, behind);

    return h->step == SP_HOLDER_WAITING || late < GRACE_US ? 0 : late;
}

void
SpEviction_Begin(SpEviction *e, SpNeed need, int64_t now)
{
    e->need = need;
    e->now = now;
    e->best = 0;
    e->chosen = NULL;
}

/*
 * For memory, the cost is the bytes held times the time for which they were
 * held in vain: of equal ones the one that has stood still longest goes first.
 * Descriptors cost all the same; there the order is by step, and one that has
 * had an answer goes last.
 */
static double
cost_of(const SpEviction *e, const SpHolder *h)
{
    static const double weight[] = {[SP_HOLDER_SILENT] = 1e14,
                                    [SP_HOLDER_SENDING] = 1e12,
                                    [SP_HOLDER_TAKING] = 1e12,
                                    [SP_HOLDER_IDLE] = 0,
                                    [SP_HOLDER_WAITING] = 0};
    double late = (double)SpHolder_Late(h, e->now);

    if (late <= 0) {
        return 0;
    }
    return e->need == SP_NEED_MEMORY ? late * (double)h->bytes
                                     : late + weight[h->step];
}

void
SpEviction_Consider(SpEviction *e, const SpHolder *h)
{
    double cost = cost_of(e, h);

    if (cost > e->best) {
        e->best = cost;
        e->chosen = h->user;
    }
}
