/*
 * Admission: which share of the new work of each rank a service takes.
 *
 * The node beside an instance counts the work that arrives, rank by rank, and
 * takes it for the admitted share of what is offered. It fills the capacity
 * of the instance with the ranks in their order, after a least share for
 * each, so that no kind of work is starved. Room is kept to work off a queue.
 */
#include <string.h>

#include "flow/flow.h"

#define STEP_US (100 * SP_MS)
/* Weight of one step in what is smoothed. */
#define STEP_WEIGHT 0.06
/* The share of the limit that may be filled. */
#define FILL 0.96
/* A queue longer than this share of the limit is worked off in DRAIN_US. */
#define QUEUE_SHARE 0.3
#define DRAIN_US (1000.0 * SP_MS)
#define LEAST_SHARE 0.02

/* The least share of each rank that is admitted. */
static const double least[SP_MAX_RANKS] = {0.6, 0.5, 0.2, 0.2};

static const SpShares all = {{1, 1, 1, 1}};

SpShares
SpShares_All(void)
{
    return all;
}

void
SpShares_Min(SpShares *s, const SpShares *t)
{
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        s->of[i] = MIN(s->of[i], t->of[i]);
    }
}

uint32_t
SpShares_Pack(const SpShares *s)
{
    uint32_t v = 0;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        v = v << 8 | (uint32_t)(CLAMP(s->of[i], 0.0, 1.0) * 255 + 0.5);
    }
    return v;
}

SpShares
SpShares_Unpack(uint32_t v)
{
    SpShares s;
    int i;

    for (i = SP_MAX_RANKS - 1; i >= 0; i--) {
        s.of[i] = (v & 255) / 255.0;
        v >>= 8;
    }
    return s;
}

void
SpAdmission_Init(SpAdmission *a)
{
    memset(a, 0, sizeof *a);
    a->shares = a->used = all;
}

void
SpAdmission_Arrived(SpAdmission *a, int rank)
{
    a->arrived[CLAMP(rank, 0, SP_MAX_RANKS - 1)]++;
}

/* What is offered, in slots: the arrivals over the share admitted. */
static double
offered(SpAdmission *a, double run_us, const SpShares *in_force)
{
    double sum = 0, now;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        now = a->arrived[i] * run_us / STEP_US;
        a->arrived[i] = 0;
        a->work[i] += STEP_WEIGHT * (now - a->work[i]);
        a->used.of[i] += STEP_WEIGHT * (in_force->of[i] - a->used.of[i]);
        a->offered[i] = a->work[i] / MAX(a->used.of[i], LEAST_SHARE);
        sum += a->offered[i];
    }
    return sum;
}

static void
fill_ranks(SpAdmission *a, double room)
{
    double sum = 0, scale, rest, take;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        sum += least[i] * a->offered[i];
    }
    scale = sum > room ? room / sum : 1;
    room -= scale * sum;
    for (i = 0; i < SP_MAX_RANKS; i++) {
        rest = (1 - scale * least[i]) * a->offered[i];
        take = CLAMP(room, 0.0, rest);
        room -= take;
        a->shares.of[i] =
            rest > 0 ? scale * least[i] + take / a->offered[i] : 1;
    }
}

int
SpAdmission_Step(SpAdmission *a, int64_t now, const SpLimiter *l,
                 const SpShares *in_force)
{
    double sum, room;

    if (now - a->at < STEP_US) {
        return 0;
    }
    a->at = now;
    sum = offered(a, l->run_us, in_force);
    room = FILL * l->limit -
           MAX(0, l->queued - l->limit * QUEUE_SHARE) * l->run_us / DRAIN_US;
    a->room = room;
    if (sum <= room) {
        a->shares = all;
    }
    else {
        fill_ranks(a, MAX(room, 0));
    }
    return 1;
}
