/* Concurrency limit and request queues of the local instance. */
#include <string.h>

#include "flow/flow.h"

/* Weight of one sample in the smoothed run time. */
#define RUN_WEIGHT 0.05
/* Until there are this many samples, run_us is closer to their plain mean: a
   sample weighs the larger of 1/measured and RUN_WEIGHT. */
#define ENOUGH_RUNS 100
/* Default run time before the first sample. */
#define FIRST_RUN_US (30.0 * SP_MS)
/* The mean age of fewer running requests than this is not representative. */
#define FEW_RUNS 3
/* Part of the slots to use: an instance slows down when its last slots are in
   use. */
#define FULL_SHARE 0.95
/* Part of the remaining time that a request may spend in the queue. */
#define WAIT_SHARE 0.6

void
SpLimiter_Init(SpLimiter *l)
{
    int i;

    memset(l, 0, sizeof *l);
    l->run_us = FIRST_RUN_US;
    l->limit = 1;
    for (i = 0; i < SP_LANES; i++) {
        g_queue_init(&l->queue[i]);
    }
}

void
SpLimiter_SetSlots(SpLimiter *l, int slots)
{
    l->slots = slots;
    l->limit = MAX(1, (int)(slots * FULL_SHARE));
}

/* Current run time: the smoothed one, or the mean age of the running requests
   if that is longer. */
static double
run_time(const SpLimiter *l, int64_t now)
{
    int64_t begun;

    if (l->running < FEW_RUNS) {
        return l->run_us;
    }
    begun = l->starts / l->running;
    return MAX(l->run_us, (double)(now - begun));
}

double
SpLimiter_Told(const SpLimiter *l, int64_t now)
{
    double run = run_time(l, now);

    return l->measured || run > FIRST_RUN_US ? run : 0;
}

void
SpLimiter_Assume(SpLimiter *l, double limit)
{
    l->limit = MAX(1, limit);
}

int64_t
SpLimiter_Wait(const SpLimiter *l, int64_t now, int lane)
{
    int i, ahead = 0;

    if (l->running + l->queued < (int)l->limit) {
        return 0;
    }
    for (i = 0; i <= lane && i < SP_LANES; i++) {
        ahead += (int)l->queue[i].length;
    }
    return (int64_t)((ahead + 1) * run_time(l, now) / l->limit);
}

static int
lane_of(const SpTurn *t)
{
    return 2 * SpRank_Index(t->rank) + (t->begun ? 0 : 1);
}

static void
start(SpLimiter *l, int64_t now, SpTurn *t)
{
    t->running = 1;
    t->started = now;
    l->running++;
    l->starts += now;
}

SpTurnState
SpLimiter_Offer(SpLimiter *l, int64_t now, SpTurn *t)
{
    int64_t left = t->deadline - now;

    t->lane = lane_of(t);
    t->arrived = now;
    if (left <= 0) {
        return SP_TURN_REFUSE;
    }
    if (l->queued == 0 && l->running < (int)l->limit) {
        start(l, now, t);
        return SP_TURN_RUN;
    }
    if ((double)SpLimiter_Wait(l, now, t->lane) > WAIT_SHARE * (double)left) {
        return SP_TURN_REFUSE;
    }
    t->link.data = t;
    t->link.next = t->link.prev = NULL;
    g_queue_push_tail_link(&l->queue[t->lane], &t->link);
    t->queued = 1;
    l->queued++;
    return SP_TURN_WAIT;
}

static void
unqueue(SpLimiter *l, SpTurn *t)
{
    g_queue_unlink(&l->queue[t->lane], &t->link);
    t->queued = 0;
    l->queued--;
}

SpTurn *
SpLimiter_Next(SpLimiter *l, int64_t now)
{
    SpTurn *t;
    int i;

    if (l->running >= (int)l->limit) {
        return NULL;
    }
    for (i = 0; i < SP_LANES; i++) {
        if (l->queue[i].head) {
            t = l->queue[i].head->data;
            unqueue(l, t);
            start(l, now, t);
            return t;
        }
    }
    return NULL;
}

SpTurn *
SpLimiter_Late(SpLimiter *l, int64_t now)
{
    int64_t need = (int64_t)(l->run_us / 2);
    GList *k;
    int i;

    for (i = 0; i < SP_LANES; i++) {
        for (k = l->queue[i].head; k; k = k->next) {
            SpTurn *t = k->data;
            if (t->deadline - now < need) {
                unqueue(l, t);
                return t;
            }
        }
    }
    return NULL;
}

void
SpLimiter_End(SpLimiter *l, int64_t now, SpTurn *t, int64_t ran_us)
{
    (void)now;
    if (t->queued) {
        unqueue(l, t);
        return;
    }
    if (!t->running) {
        return;
    }
    t->running = 0;
    l->running--;
    l->starts -= t->started;
    if (ran_us >= 0) {
        l->measured = MIN(l->measured + 1, ENOUGH_RUNS);
        l->run_us +=
            MAX(RUN_WEIGHT, 1.0 / l->measured) * ((double)ran_us - l->run_us);
    }
}
