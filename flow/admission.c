/*
 * The level: how much new work a service admits, as the queue at its
 * instances tells.
 *
 * It lies between 0 and the number of ranks. The part of it that reaches
 * into a rank is the share of that rank's requests that is admitted, down to
 * a floor, so that no kind of work is starved. It falls in proportion to how
 * far the wait is above its target and rises slowly while there is room.
 */
#include "flow/flow.h"

/* The wait in the queue that is aimed at. */
#define TARGET_US (15.0 * SP_MS)
/* Fall of the level in a second, for each target that the wait is above. */
#define FALL_PER_S 0.5
#define MAX_EXCESS 6.0
/* Rise of the level in a second while few run, and while many do. */
#define RISE_FREE 0.8
#define RISE_BUSY 0.25
#define BUSY_SHARE 0.85
/* The least share of a rank that is admitted. */
#define FLOOR 0.3
/* Steps over a longer time than this are cut. */
#define MAX_STEP_US (200 * SP_MS)

void
SpAdmission_Init(SpAdmission *lv)
{
    lv->top = lv->level = SP_MAX_RANKS;
    lv->at = 0;
}

void
SpAdmission_Update(SpAdmission *lv, int64_t now, int64_t wait_us, double busy)
{
    double dt = (double)MIN(now - lv->at, MAX_STEP_US) / SP_SEC;
    double excess = (double)wait_us / TARGET_US - 1;

    lv->at = now;
    if (excess > 0) {
        lv->level -= FALL_PER_S * MIN(excess, MAX_EXCESS) * dt;
    }
    else if (excess < -0.5) {
        lv->level += (busy < BUSY_SHARE ? RISE_FREE : RISE_BUSY) * dt;
    }
    lv->level = CLAMP(lv->level, 0.0, lv->top);
}

void
SpAdmission_SetTop(SpAdmission *lv, int ranks)
{
    int full = lv->level >= lv->top;

    lv->top = CLAMP(ranks, 1, SP_MAX_RANKS);
    lv->level = full ? lv->top : MIN(lv->level, lv->top);
}

double
SpAdmission_Share(double level, int rank)
{
    double part = level - MIN(rank, SP_MAX_RANKS - 1);

    return FLOOR + (1 - FLOOR) * CLAMP(part, 0.0, 1.0);
}
