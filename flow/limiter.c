/* Concurrency limit and request queues of the local instance. */
#include <string.h>

#include "flow/flow.h"

/* Weight of one sample in the smoothed run time. */
#define RUN_WEIGHT 0.05
/* Cap of the sample count. A sample weighs the larger of 1/measured and
   RUN_WEIGHT, so that run_us starts as the plain mean. */
#define MAX_MEASURED 100
/* Default run time before the first sample. */
#define DEFAULT_RUN_US (30.0 * SP_MS)
/* The mean age of fewer running requests than this is not representative. */
#define MIN_RUNS_FOR_AGE 3
/* Part of the slots to use: an instance slows down when its last slots are in
   use. */
#define SLOTS_SHARE 0.95
/* Part of the remaining time that a request may spend in the queue. */
#define MAX_WAIT_SHARE 0.6

void
SpLimiter_Init(SpLimiter *l)
{
    int i;

    memset(l, 0, sizeof *l);
    l->run_us = DEFAULT_RUN_US;
    SpLimiter_SetLimit(l, 1);
    for (i = 0; i < SP_LIMITER_QUEUES; i++) {
        SpFairQueue_Init(&l->queue[i]);
    }
}

void
SpLimiter_Clear(SpLimiter *l)
{
    int i;

    for (i = 0; i < SP_LIMITER_QUEUES; i++) {
        SpFairQueue_Clear(&l->queue[i]);
    }
}

void
SpLimiter_SetSlots(SpLimiter *l, int slots)
{
    l->slots = slots;
    SpLimiter_SetLimit(l, (int)(slots * SLOTS_SHARE));
}

/* Current run time: the smoothed one, or the mean age of the running requests
   if that is longer. */
static double
run_time(const SpLimiter *l, int64_t now)
{
    int64_t mean_start;

    if (l->running < MIN_RUNS_FOR_AGE) {
        return l->run_us;
    }
    mean_start = l->start_sum / l->running;
    return MAX(l->run_us, (double)(now - mean_start));
}

double
SpLimiter_ReportedRun(const SpLimiter *l, int64_t now)
{
    double run = run_time(l, now);

    return l->measured || run > DEFAULT_RUN_US ? run : 0;
}

void
SpLimiter_SetLimit(SpLimiter *l, double limit)
{
    l->limit = MAX(1, limit);
    l->start_limit = l->firm_limit = l->limit;
}

void
SpLimiter_Try(SpLimiter *l, double start, double firm)
{
    l->start_limit = MAX(1, start);
    l->firm_limit = MAX(1, firm);
}

static int
may_start(const SpLimiter *l, const SpLimiterReq *r)
{
    return l->running < (int)(r->repeatable ? l->start_limit : l->firm_limit);
}

static int
queue_index_of(const SpLimiterReq *r)
{
    return 2 * SpRank_Index(r->rank) + (r->nested ? 0 : 1);
}

int64_t
SpLimiter_EstimateWait(const SpLimiter *l, int64_t now, const SpLimiterReq *r)
{
    int i, index = queue_index_of(r);
    guint ahead;

    if (l->running + l->queued < (int)l->limit) {
        return 0;
    }
    ahead = SpFairQueue_Ahead(&l->queue[index], r->workspace, r->part);
    for (i = 0; i < index; i++) {
        ahead += l->queue[i].items.length;
    }
    return (int64_t)((ahead + 1) * run_time(l, now) / l->limit);
}

static void
start_run(SpLimiter *l, int64_t now, SpLimiterReq *r)
{
    r->running = 1;
    r->started = now;
    l->running++;
    l->start_sum += now;
}

SpLimiterDecision
SpLimiter_Submit(SpLimiter *l, int64_t now, SpLimiterReq *r)
{
    int64_t left = r->deadline - now;

    r->arrived = now;
    if (left <= 0) {
        return SP_LIMITER_REJECT;
    }
    if (l->queued == 0 && may_start(l, r)) {
        start_run(l, now, r);
        return SP_LIMITER_RUN;
    }
    if ((double)SpLimiter_EstimateWait(l, now, r) >
        MAX_WAIT_SHARE * (double)left) {
        return SP_LIMITER_REJECT;
    }
    r->item.user = r;
    SpFairQueue_Push(&l->queue[queue_index_of(r)], &r->item, r->workspace,
                     r->part);
    r->queued = 1;
    l->queued++;
    return SP_LIMITER_QUEUE;
}

static void
remove_queued(SpLimiter *l, SpLimiterReq *r)
{
    SpFairQueue_Remove(&l->queue[queue_index_of(r)], &r->item);
    r->queued = 0;
    l->queued--;
}

/* Returns the request whose turn it is, or the first one that may be started
   during a trial; NULL if there is none. */
static SpLimiterReq *
take_next(SpLimiter *l, SpFairQueue *q)
{
    SpFairItem *item;
    GList *k;

    if (l->running < (int)MIN(l->start_limit, l->firm_limit)) {
        item = SpFairQueue_Take(q);
        if (!item) {
            return NULL;
        }
        ((SpLimiterReq *)item->user)->queued = 0;
        l->queued--;
        return item->user;
    }
    for (k = q->items.head; k; k = k->next) {
        SpLimiterReq *r = ((SpFairItem *)k->data)->user;
        if (may_start(l, r)) {
            remove_queued(l, r);
            return r;
        }
    }
    return NULL;
}

SpLimiterReq *
SpLimiter_Dequeue(SpLimiter *l, int64_t now)
{
    SpLimiterReq *r;
    int i;

    if (l->running >= (int)MAX(l->start_limit, l->firm_limit)) {
        return NULL;
    }
    for (i = 0; i < SP_LIMITER_QUEUES; i++) {
        r = take_next(l, &l->queue[i]);
        if (r) {
            start_run(l, now, r);
            return r;
        }
    }
    return NULL;
}

SpLimiterReq *
SpLimiter_DequeueLate(SpLimiter *l, int64_t now)
{
    int64_t need = (int64_t)(l->run_us / 2);
    GList *k;
    int i;

    for (i = 0; i < SP_LIMITER_QUEUES; i++) {
        for (k = l->queue[i].items.head; k; k = k->next) {
            SpLimiterReq *r = ((SpFairItem *)k->data)->user;
            if (r->deadline - now < need) {
                remove_queued(l, r);
                return r;
            }
        }
    }
    return NULL;
}

void
SpLimiter_End(SpLimiter *l, int64_t now, SpLimiterReq *r, int64_t ran_us)
{
    (void)now;
    if (r->queued) {
        remove_queued(l, r);
        return;
    }
    if (!r->running) {
        return;
    }
    r->running = 0;
    l->running--;
    l->start_sum -= r->started;
    if (ran_us >= 0) {
        l->measured = MIN(l->measured + 1, MAX_MEASURED);
        l->run_us +=
            MAX(RUN_WEIGHT, 1.0 / l->measured) * ((double)ran_us - l->run_us);
    }
}
