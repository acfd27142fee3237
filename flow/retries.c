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
SpRetryBudget_Set(SpRetryBudget *b, double ratio, double slack)
{
    b->o.ratio = ratio;
    b->o.slack = slack;
}

static int
turn_to(SpRetryBudget *b, int64_t now)
{
    int64_t cell = now / (b->o.window_us / SP_RETRY_CELLS);

    while (b->cell < cell) {
        if (cell - b->cell > SP_RETRY_CELLS) {
            b->cell = cell - SP_RETRY_CELLS;
        }
        b->cell++;
        b->first[b->cell % SP_RETRY_CELLS] = 0;
        b->again[b->cell % SP_RETRY_CELLS] = 0;
    }
    return (int)(cell % SP_RETRY_CELLS);
}

void
SpRetryBudget_First(SpRetryBudget *b, int64_t now)
{
    b->first[turn_to(b, now)]++;
}

void
SpRetryBudget_Again(SpRetryBudget *b, int64_t now)
{
    b->again[turn_to(b, now)]++;
}

/* Part of the budget that each rank may use. */
static const double parts[SP_MAX_RANKS] = {1, 0.9, 0.5, 0.5};

int
SpRetryBudget_Take(SpRetryBudget *b, int64_t now, int rank)
{
    int at = turn_to(b, now), i;
    double first = 0, again = 0, part;

    for (i = 0; i < SP_RETRY_CELLS; i++) {
        first += b->first[i];
        again += b->again[i];
    }
    part = parts[SpRank_Index(rank)];
    if (again + 1 > part * (b->o.ratio * first + b->o.slack)) {
        return 0;
    }
    b->again[at]++;
    return 1;
}
