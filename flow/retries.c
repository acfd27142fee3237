/* Retry budget: retries per first attempt in a sliding window. */
#include <string.h>

#include "flow/flow.h"

void
SpRetryBudget_Init(SpRetryBudget *b, const SpRetryOpts *o)
{
    memset(b, 0, sizeof *b);
    b->o = *o;
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

/* Part of the budget that each rank may use. */
static const double rank_shares[SP_MAX_RANKS] = {1, 0.9, 0.5, 0.5};

int
SpRetryBudget_Take(SpRetryBudget *b, int64_t now, int rank)
{
    int current = advance_window(b, now), i;
    double first_attempts = 0, retries = 0, share;

    for (i = 0; i < SP_RETRY_BUCKETS; i++) {
        first_attempts += b->first_attempts[i];
        retries += b->retries[i];
    }
    share = rank_shares[SpRank_Index(rank)];
    if (retries + 1 > share * (b->o.ratio * first_attempts + b->o.slack)) {
        return 0;
    }
    b->retries[current]++;
    return 1;
}
