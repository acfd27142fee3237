/* Retry budget: retries per first attempt in a sliding window. */
#include <string.h>

#include "flow/flow.h"

/* Weight of one attempt in the smoothed share of accepted attempts. */
#define OUTCOME_WEIGHT 0.02
/* Interval and factor of the changes of the highest cost. */
#define STEP_US (100 * SP_MS)
#define COST_STEP 1.25
/* What is unspent is to last this long. */
#define SPEND_US (3.0 * SP_SEC)
/* Bounds of the highest cost: the last call of a request of any rank is always
   cheap enough. */
#define MIN_MAX_COST 2.0
#define MAX_MAX_COST 32.0

void
SpRetryBudget_Init(SpRetryBudget *b, const SpRetryOpts *o)
{
    memset(b, 0, sizeof *b);
    b->o = *o;
    b->accepted = 1;
    b->max_cost = MAX_MAX_COST;
}

void
SpRetryBudget_SetBounds(SpRetryBudget *b, double ratio, double slack)
{
    b->o.ratio = ratio;
    b->o.slack = slack;
}

static int
advance_window(SpRetryBudget *b, int64_t now)
{
    int64_t bucket = now / (b->o.window_us / SP_RETRY_BUCKETS);

    while (b->bucket < bucket) {
        if (bucket - b->bucket > SP_RETRY_BUCKETS) {
            b->bucket = bucket - SP_RETRY_BUCKETS;
        }
        b->bucket++;
        b->first_attempts[b->bucket % SP_RETRY_BUCKETS] = 0;
        b->retries[b->bucket % SP_RETRY_BUCKETS] = 0;
    }
    return (int)(bucket % SP_RETRY_BUCKETS);
}

static double
sum_window(const uint32_t *counts)
{
    double sum = 0;
    int i;

    for (i = 0; i < SP_RETRY_BUCKETS; i++) {
        sum += counts[i];
    }
    return sum;
}

void
SpRetryBudget_CountFirst(SpRetryBudget *b, int64_t now)
{
    b->first_attempts[advance_window(b, now)]++;
}

void
SpRetryBudget_CountRetry(SpRetryBudget *b, int64_t now)
{
    b->retries[advance_window(b, now)]++;
}

void
SpRetryBudget_CountOutcome(SpRetryBudget *b, int accepted)
{
    b->accepted += OUTCOME_WEIGHT * ((accepted ? 1 : 0) - b->accepted);
}

/* Part of the budget that each rank may use, and the value of its requests. */
static const double rank_shares[SP_ROUTE_RANKS] = {1, 0.9, 0.5, 0.5};
static const double rank_values[SP_ROUTE_RANKS] = {1, 0.75, 0.5, 0.5};

static double
cost_of(const SpRetryBudget *b, int rank, double calls_left)
{
    double expected_rejects = calls_left * (1 - b->accepted);

    return (1 + expected_rejects) / rank_values[rank];
}

SpRetryRoom
SpRetryBudget_Room(SpRetryBudget *b, int64_t now, int rank)
{
    double share = rank_shares[CLAMP(rank, 0, SP_ROUTE_RANKS - 1)], limit;
    SpRetryRoom room = {share * b->o.ratio, 0};

    (void)advance_window(b, now);
    limit = b->o.ratio * sum_window(b->first_attempts) + b->o.slack;
    if (limit > 0) {
        room.unspent = 1 - sum_window(b->retries) / (share * limit);
        room.unspent = CLAMP(room.unspent, 0, 1);
    }
    return room;
}

/* Adapts the highest cost to what was spent since the last step. */
static void
step_cost(SpRetryBudget *b, int64_t now, double unspent)
{
    int64_t elapsed = now - b->step_at;

    if (elapsed < STEP_US) {
        return;
    }
    if (b->spent > unspent * (double)elapsed / SPEND_US) {
        b->max_cost /= COST_STEP;
    }
    else if (b->denied || elapsed > SPEND_US) {
        b->max_cost *= COST_STEP;
    }
    b->max_cost = CLAMP(b->max_cost, MIN_MAX_COST, MAX_MAX_COST);
    b->spent = b->denied = 0;
    b->step_at = now;
}

int
SpRetryBudget_Take(SpRetryBudget *b, int64_t now, int rank, double calls_left)
{
    int current = advance_window(b, now);
    double retries = sum_window(b->retries);
    double limit = b->o.ratio * sum_window(b->first_attempts) + b->o.slack;

    rank = CLAMP(rank, 0, SP_ROUTE_RANKS - 1);
    step_cost(b, now, MAX(limit - retries, 0));
    if (retries + 1 > rank_shares[rank] * limit) {
        return 0;
    }
    if (cost_of(b, rank, calls_left) > b->max_cost) {
        b->denied++;
        return 0;
    }
    b->retries[current]++;
    b->spent++;
    return 1;
}
