/*
 * Admission control: the fraction of new requests of each rank that a service
 * accepts.
 *
 * The node of each instance measures the offered load by rank; an arrival is
 * scaled up by the share at which it was admitted. The nodes of a service
 * exchange these figures, and each allocates the total capacity to the ranks
 * in order, after a minimum share for every rank, so that none is starved.
 * Some capacity is reserved to drain the queue.
 */
#include <string.h>

#include "flow/flow.h"

#define STEP_US (100 * SP_MS)
/* Weight of one step in the smoothed rates. */
#define STEP_WEIGHT 0.25
/* Target utilization of the limit. */
#define TARGET_UTILIZATION 0.96
/* The part of the queue beyond this share of the limit is to be drained within
   DRAIN_US. */
#define QUEUE_ALLOWANCE 0.3
#define DRAIN_US (400.0 * SP_MS)
/* Lower bound of the share in 1/share: one arrival stands for at most 50
   offered requests. */
#define MIN_ARRIVAL_SHARE 0.02

/* Minimum share of the offered load that is admitted, by rank of the route. */
static const double min_shares[SP_ROUTE_RANKS] = {0.6, 0.5, 0.1, 0.1};

int
SpRank_Index(int rank)
{
    return CLAMP(rank, 0, SP_MAX_RANKS - 1);
}

SpShares
SpShares_All(void)
{
    SpShares s;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        s.of[i] = 1;
    }
    return s;
}

void
SpShares_Min(SpShares *s, const SpShares *t)
{
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        s->of[i] = MIN(s->of[i], t->of[i]);
    }
}

uint64_t
SpShares_Pack(const SpShares *s)
{
    uint64_t v = 0;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        v = v << 8 | (uint64_t)(CLAMP(s->of[i], 0.0, 1.0) * 255 + 0.5);
    }
    return v;
}

SpShares
SpShares_Unpack(uint64_t v)
{
    SpShares s;
    int i;

    for (i = SP_MAX_RANKS - 1; i >= 0; i--) {
        s.of[i] = (double)(v & 255) / 255.0;
        v >>= 8;
    }
    return s;
}

void
SpAdmission_Init(SpAdmission *a)
{
    SpRankMap ranks;

    memset(a, 0, sizeof *a);
    a->shares = SpShares_All();
    SpRankMap_Init(&ranks);
    SpAdmission_SetRanks(a, &ranks);
}

void
SpAdmission_SetRanks(SpAdmission *a, const SpRankMap *ranks)
{
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        a->floors[i] = min_shares[SpRankMap_RouteRank(ranks, i)];
    }
}

void
SpAdmission_CountArrival(SpAdmission *a, int rank, double share)
{
    a->arrived[SpRank_Index(rank)] += 1 / MAX(share, MIN_ARRIVAL_SHARE);
}

void
SpAdmission_UndoArrival(SpAdmission *a, int rank, double share)
{
    rank = SpRank_Index(rank);
    a->arrived[rank] -= 1 / MAX(share, MIN_ARRIVAL_SHARE);
}

void
SpDemand_Add(SpDemand *sum, const SpDemand *d)
{
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        sum->offered[i] += d->offered[i];
    }
    sum->capacity += d->capacity;
}

/* Smooths the arrival rate rather than the slots it needs, so that capacity is
   available at once when the instance gets faster. */
static void
update_rates(SpAdmission *a, double run_us, double elapsed_us)
{
    double now;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        now = a->arrived[i] * SP_SEC / elapsed_us;
        a->arrived[i] = 0;
        a->rate[i] += STEP_WEIGHT * (now - a->rate[i]);
        a->rate[i] = MAX(a->rate[i], 0);
        a->local.offered[i] = a->rate[i] * run_us / SP_SEC;
    }
}

/* Allocates the minimum shares first, then the ranks in order. */
static void
allocate_ranks(SpAdmission *a, const SpDemand *d)
{
    double sum = 0, remaining = d->capacity, scale, rest, granted;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        sum += a->floors[i] * d->offered[i];
    }
    scale = sum > remaining ? remaining / sum : 1;
    remaining -= scale * sum;
    for (i = 0; i < SP_MAX_RANKS; i++) {
        rest = (1 - scale * a->floors[i]) * d->offered[i];
        granted = CLAMP(remaining, 0.0, rest);
        remaining -= granted;
        a->shares.of[i] =
            rest > 0 ? scale * a->floors[i] + granted / d->offered[i] : 1;
    }
}

void
SpAdmission_Update(SpAdmission *a, int64_t now, const SpLimiter *l,
                   const SpDemand *others)
{
    double queue = MAX(0, l->queued - l->limit * QUEUE_ALLOWANCE);
    SpDemand total = *others;
    int64_t elapsed = now - a->at;

    if (elapsed < STEP_US) {
        return;
    }
    a->at = now;
    update_rates(a, l->run_us, (double)elapsed);
    a->local.capacity =
        TARGET_UTILIZATION * l->limit - queue * l->run_us / DRAIN_US;
    SpDemand_Add(&total, &a->local);
    total.capacity = MAX(total.capacity, 0);
    allocate_ranks(a, &total);
}
