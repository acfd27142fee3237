/* The limit and the admission level of a gate, from what was measured. */
#include "core/gatestate.h"

/* Time constants of the moving averages. */
#define RATE_TAU_US (400 * SP_MS)
#define RUNNING_TAU_US (150 * SP_MS)
#define SLICE_RATE_TAU_US (1 * SP_SEC)
#define ARRIVAL_TAU_US (250 * SP_MS)
/* The arrival rate per slice of a class is measured only while more slices
   than this are admitted. */
#define MIN_ADMITTED_SLICES 8.0
/* A queue counts as persistent after this many consecutive ticks. */
#define PERSISTENT_QUEUE_TICKS 3
/* The target wait is at least this share of the run time, so that the queue
   keeps the slots busy. */
#define TARGET_WAIT_SHARE 0.8
/* A wait beyond the target is to be worked off in this time, which lowers the
   desired arrival rate by at most this share. */
#define EXCESS_WAIT_DRAIN_US (1 * SP_SEC)
#define MAX_RATE_REDUCTION 0.35
/* Without a queue, the desired arrival rate is this share of the capacity. */
#define TARGET_UTILIZATION 0.97
/* In each tick the admitted share of the capacity changes by this fraction of
   the relative error of the arrival rate, within these bounds. */
#define GAIN 0.025
#define MIN_ADMITTED_SHARE 0.5
#define MAX_ADMITTED_SHARE 1.3
/* In a steady state the mean age of the active runs is below this share of the
   run time. A higher age shows that the instance has become slower before
   those runs end. */
#define STEADY_AGE_SHARE 0.75
/* Below this share of the slots in use, there are certainly free slots. */
#define FREE_SLOTS_UTILIZATION 0.7
/* Limit probes: the factor by which the limit is lowered, the share of the
   rate that has to remain, runs per measurement, pause between probes. */
#define PROBE_LIMIT_FACTOR 0.9
#define PROBE_MIN_RATE_RATIO 0.98
#define PROBE_RUNS 200
#define PROBE_INTERVAL_MAX_US (120 * SP_SEC)

double
SpGate_Capacity(const SpGate *g, int64_t now)
{
    double age = 0, run;

    if (g->running > 0) {
        age = (double)now - g->start_sum / g->running;
    }
    run = MAX(g->run_us, age / STEADY_AGE_SHARE);
    if (run <= 0) {
        return 1e9;
    }
    if (g->queued == 0 &&
        g->running_mean < FREE_SLOTS_UTILIZATION * SpGate_CurrentLimit(g)) {
        /* with free slots, the rate per slot in use reacts sooner */
        return SpGate_CurrentLimit(g) *
               MAX(SP_SEC / run, g->arrival_rate / MAX(g->running_mean, 1));
    }
    return SpGate_CurrentLimit(g) * SP_SEC / run;
}

static double
target_wait(const SpGate *g)
{
    return MAX((double)g->o.target_us, g->run_us * TARGET_WAIT_SHARE);
}

/* The longest wait so far among the entries at the heads of the lists. */
static int64_t
oldest_wait(const SpGate *g, int64_t now)
{
    int64_t age = 0;
    int i;

    for (i = 0; i < SP_GATE_NLISTS; i++) {
        const SpGateEntry *e = SpTable_Get(g->entries, g->lists[i].head);
        if (e) {
            age = MAX(age, now - e->since);
        }
    }
    return age;
}

/* The expected wait of a new entry. */
static double
expected_wait(const SpGate *g, int64_t now)
{
    double drain, mean = 0;

    if (g->waits) {
        mean = (double)g->wait_sum / g->waits;
    }
    drain = g->completion_rate > 1 ? g->queued / g->completion_rate * SP_SEC
                                   : (double)oldest_wait(g, now);
    return MAX(mean, drain);
}

static double
slices_below(double level, int class)
{
    return CLAMP(level - class * SP_SLICES, 0, SP_SLICES);
}

/* Arrivals per second that a level admits, at the measured rates per slice. */
static double
admitted_rate(const SpGate *g, double level)
{
    double sum = 0;
    int c;

    for (c = 0; c < g->o.nclasses; c++) {
        sum += g->slice_rate[c] * slices_below(level, c);
    }
    return sum;
}

/* The level that admits `rate` arrivals per second. */
static double
level_for_rate(const SpGate *g, double rate)
{
    double of_class;
    int c;

    for (c = 0; c < g->o.nclasses; c++) {
        of_class = g->slice_rate[c] * SP_SLICES;
        if (of_class > rate) {
            return c * SP_SLICES + rate / g->slice_rate[c];
        }
        rate -= of_class;
    }
    return SpGate_MaxLevel(g);
}

/* The relative difference between the desired and the actual arrival rate. */
static double
arrival_rate_error(const SpGate *g, double max_rate, double wait,
                   double target)
{
    double desired = max_rate;

    if (g->queued == 0) {
        desired *= TARGET_UTILIZATION;
    }
    else {
        desired *= 1 - CLAMP((wait - target) / EXCESS_WAIT_DRAIN_US, -0.1,
                             MAX_RATE_REDUCTION);
    }
    return CLAMP((desired - g->arrival_rate) / desired, -1, 1);
}

/*
 * The admitted rate is a share of the capacity, so that it follows at once
 * when the instance becomes slower or faster. The controlled quantity is
 * arrivals per second, not ranks: otherwise the level would have to move
 * through the ranks of classes without arrivals, to no effect.
 */
static void
adjust_level(SpGate *g, int64_t now)
{
    double target = target_wait(g), wait = expected_wait(g, now);
    double max_rate = SpGate_Capacity(g, now), top = SpGate_MaxLevel(g);
    double e = arrival_rate_error(g, max_rate, wait, target);

    if (e > 0 ||
        (g->queued_ticks >= PERSISTENT_QUEUE_TICKS && wait > target)) {
        g->admitted_share = CLAMP(g->admitted_share * (1 + GAIN * e),
                                  MIN_ADMITTED_SHARE, MAX_ADMITTED_SHARE);
    }
    g->level = MAX(SP_SLICES, level_for_rate(g, g->admitted_share * max_rate));
    if (g->queued == 0 &&
        admitted_rate(g, top) < TARGET_UTILIZATION * max_rate) {
        g->level = top;
    }
}

static void
probe_end(SpGate *g, int64_t now, int keep)
{
    if (keep) {
        g->probe_interval = SP_GATE_PROBE_INTERVAL_US;
    }
    else {
        g->limit = g->probe_limit;
        g->probe_interval = MIN(g->probe_interval * 2, PROBE_INTERVAL_MAX_US);
    }
    g->probe = SP_PROBE_STEADY;
    g->probe_next = now + g->probe_interval;
}

static void
probe_enter(SpGate *g, int64_t now, SpGateProbe s)
{
    g->probe = s;
    g->probe_since = now;
    g->probe_done = 0;
}

/*
 * Probes whether a lower concurrency limit gives the same rate of completed
 * runs. Only an unchanged rate at the lower limit shows that the limit was too
 * high. A longer run time alone does not, because a slow instance needs all
 * its slots.
 */
static void
adjust_limit(SpGate *g, int64_t now)
{
    double secs = (double)(now - g->probe_since) / SP_SEC;
    double rate = secs > 0 ? g->probe_done / secs : 0;

    if (g->shed) {
        g->limit = MAX(1, MIN(g->limit, g->running + g->shed) * 0.95);
        g->probe = SP_PROBE_STEADY;
        return;
    }
    if (g->queued_ticks == 0) {
        if (g->probe == SP_PROBE_PROBE) {
            g->limit = g->probe_limit;
        }
        g->probe = SP_PROBE_STEADY;
        g->limit = MIN(g->o.slots, g->limit * 1.01 + 0.05);
        return;
    }
    if (g->probe == SP_PROBE_STEADY) {
        if (now >= g->probe_next && g->queued_ticks > 4 && g->limit >= 4) {
            probe_enter(g, now, SP_PROBE_MEASURE);
        }
        return;
    }
    if (g->probe_done < PROBE_RUNS) {
        return;
    }
    if (g->probe == SP_PROBE_MEASURE) {
        g->probe_rate = rate;
        g->probe_limit = g->limit;
        g->limit *= PROBE_LIMIT_FACTOR;
        probe_enter(g, now, SP_PROBE_PROBE);
        return;
    }
    probe_end(g, now, rate >= g->probe_rate * PROBE_MIN_RATE_RATIO);
}

/* Updates the arrival rate, admitted slices and rate per slice of each class;
   returns the number of arrivals since the last tick. */
static double
smooth_classes(SpGate *g, double dt)
{
    double a = MIN(1, dt / SLICE_RATE_TAU_US), sum = 0;
    int c;

    for (c = 0; c < g->o.nclasses; c++) {
        sum += g->arrived[c];
        g->class_rate[c] +=
            (g->arrived[c] * SP_SEC / dt - g->class_rate[c]) * a;
        g->admitted_slices[c] +=
            (slices_below(g->level, c) - g->admitted_slices[c]) * a;
        g->arrived[c] = 0;
        if (g->admitted_slices[c] > MIN_ADMITTED_SLICES) {
            g->slice_rate[c] = g->class_rate[c] / g->admitted_slices[c];
        }
    }
    return sum;
}

static void
smooth(SpGate *g, double dt)
{
    double a = MIN(1, dt / RATE_TAU_US), sum = smooth_classes(g, dt);

    g->completion_rate += (g->done * SP_SEC / dt - g->completion_rate) * a;
    g->running_mean +=
        (g->running - g->running_mean) * MIN(1, dt / RUNNING_TAU_US);
    g->arrival_rate +=
        (sum * SP_SEC / dt - g->arrival_rate) * MIN(1, dt / ARRIVAL_TAU_US);
    g->class0_peak *= 1 - MIN(1, dt / (10 * SP_SEC));
}

void
SpGate_Tick(SpGate *g, int64_t now)
{
    double dt = (double)(now - g->ticked);

    if (dt < SP_GATE_TICK_US / 2.0) {
        return;
    }
    smooth(g, dt);
    g->queued_ticks = g->queued > 0 ? g->queued_ticks + 1 : 0;
    if (g->o.policy == SP_POLICY_FULL) {
        adjust_limit(g, now);
        adjust_level(g, now);
    }
    g->ticked = now;
    g->done = g->shed = g->waits = 0;
    g->wait_sum = 0;
}
