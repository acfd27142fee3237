#include <string.h>

#include "core/gate.h"

#define NLISTS (SP_MAX_CLASSES * 2)
#define NO_QUEUE_LIMIT 100000
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
/* Weight of one run in the moving average of the run time. */
#define RUN_WEIGHT 0.02

/* A request is refused instead of queued if it would wait for more than this
   share of its remaining time; the refusal informs the entry nodes at once. */
#define MAX_WAIT_SHARE 0.3
/* A queued request whose rank exceeds the level by more than SP_LEVEL_MARGIN
   is shed after it has waited for this share of the time that it had left on
   arrival. */
#define SHED_WAIT_SHARE 0.25
/* Limit probes: the factor by which the limit is lowered, the share of the
   rate that has to remain, runs per measurement, pause between probes. */
#define PROBE_LIMIT_FACTOR 0.9
#define PROBE_MIN_RATE_RATIO 0.98
#define PROBE_RUNS 200
#define PROBE_INTERVAL_US (15 * SP_SEC)
#define PROBE_INTERVAL_MAX_US (120 * SP_SEC)
/* Slots are reserved for class 0 if a wait for a free slot exceeds this. */
#define RESERVE_WAIT_US (20 * SP_MS)

typedef struct Entry {
    SpHandle request;
    int rank, inner, list;
    int64_t deadline, since;
    SpHandle prev, next;
} Entry;

typedef struct List {
    SpHandle head, tail;
    int count;
} List;

typedef enum { STEADY, MEASURE, PROBE } ProbeState;

struct SpGate {
    SpGateOpts o;
    double limit;
    int running;
    int running_class0;
    int queued;
    SpTable *entries;
    List lists[NLISTS];

    /* since the last tick */
    int64_t ticked;
    int done, shed;
    int64_t wait_sum;
    int waits;
    int queued_ticks; /* consecutive ticks with a queue */

    /* Rates are per second. Rates, running_mean, run_us and admitted_slices
       are moving averages. */
    double completion_rate; /* of runs */
    double running_mean;
    double start_sum; /* sum of the start times of the active runs */
    double run_us;
    double arrived[SP_MAX_CLASSES];    /* since the last tick */
    double class_rate[SP_MAX_CLASSES]; /* of arrivals */
    double admitted_slices[SP_MAX_CLASSES];
    double slice_rate[SP_MAX_CLASSES]; /* arrival rate of one slice */
    double admitted_share; /* of the capacity that is to be admitted */
    double level;          /* the rank that corresponds to admitted_share */
    double arrival_rate;   /* of all classes */
    double class0_peak;    /* decaying maximum of running_class0 */

    ProbeState probe;
    int64_t probe_since, probe_next, probe_interval;
    int probe_done;
    double probe_rate, probe_limit;
};

static double
max_level(const SpGate *g)
{
    return (double)g->o.nclasses * SP_SLICES;
}

SpGate *
SpGate_New(const SpGateOpts *o, int64_t now)
{
    SpGate *g = g_new0(SpGate, 1);

    g->entries = SpTable_New(sizeof(Entry));
    g->ticked = now;
    g->probe_interval = PROBE_INTERVAL_US;
    g->probe_next = now + PROBE_INTERVAL_US;
    SpGate_Configure(g, o);
    g->limit = o->slots;
    g->level = max_level(g);
    g->admitted_share = 1;
    return g;
}

void
SpGate_Configure(SpGate *g, const SpGateOpts *o)
{
    int classes = g->o.nclasses, slots = g->o.slots;

    g->o = *o;
    if (o->slots != slots) {
        g->limit = o->slots;
        g->probe = STEADY;
    }
    if (o->nclasses != classes) {
        g->level = max_level(g);
    }
}

void
SpGate_Free(SpGate *g)
{
    if (g) {
        SpTable_Free(g->entries);
        g_free(g);
    }
}

static double
current_limit(const SpGate *g)
{
    if (g->o.policy == SP_POLICY_HOP) {
        return g->o.hop_limit;
    }
    if (g->o.policy == SP_POLICY_NONE) {
        return 1e9;
    }
    return g->limit < 1 ? 1 : g->limit;
}

/* Slots kept free for class 0, if the wait for a free slot would be long. */
static double
reserved_slots(const SpGate *g)
{
    double limit = current_limit(g);

    if (g->o.policy != SP_POLICY_FULL || g->class0_peak < 0.01) {
        return 0;
    }
    if (g->run_us / limit < RESERVE_WAIT_US || limit < 2) {
        return 0;
    }
    return MIN(g->class0_peak + 1, limit / 2);
}

static int
has_room(const SpGate *g, int rank)
{
    double limit = current_limit(g);

    if (g->running + 1 > limit) {
        return 0;
    }
    if (rank < SP_SLICES) {
        return 1;
    }
    return g->running - g->running_class0 +
               MAX((double)g->running_class0, reserved_slots(g)) + 1 <=
           limit;
}

static void
start_run(SpGate *g, int64_t now, int rank)
{
    g->running++;
    g->start_sum += (double)now;
    if (rank < SP_SLICES) {
        g->running_class0++;
        g->class0_peak = MAX(g->class0_peak, g->running_class0);
    }
}

static int
list_index(int rank, int inner)
{
    return rank / SP_SLICES * 2 + (inner ? 0 : 1);
}

/* Inserts an entry into its list, which is sorted by deadline. */
static void
insert(SpGate *g, SpHandle h, Entry *e)
{
    List *l = &g->lists[e->list];
    SpHandle at = l->tail;
    Entry *p = SpTable_Get(g->entries, at);

    while (p && p->deadline > e->deadline) {
        at = p->prev;
        p = SpTable_Get(g->entries, at);
    }
    e->prev = p ? at : 0;
    e->next = p ? p->next : l->head;
    if (p) {
        p->next = h;
    }
    else {
        l->head = h;
    }
    p = SpTable_Get(g->entries, e->next);
    if (p) {
        p->prev = h;
    }
    else {
        l->tail = h;
    }
    l->count++;
    g->queued++;
}

static SpHandle
unlink_entry(SpGate *g, SpHandle h)
{
    Entry *e = SpTable_Get(g->entries, h);
    Entry *p = SpTable_Get(g->entries, e->prev);
    Entry *n = SpTable_Get(g->entries, e->next);
    List *l = &g->lists[e->list];
    SpHandle request = e->request;

    if (p) {
        p->next = e->next;
    }
    else {
        l->head = e->next;
    }
    if (n) {
        n->prev = e->prev;
    }
    else {
        l->tail = e->prev;
    }
    l->count--;
    g->queued--;
    SpTable_Remove(g->entries, h);
    return request;
}

/* The entry with the latest deadline in the least important list that is
   less important than `list`; 0 if there is none. */
static SpHandle
eviction_candidate(const SpGate *g, int list)
{
    int i;

    for (i = NLISTS - 1; i > list; i--) {
        if (g->lists[i].count) {
            return g->lists[i].tail;
        }
    }
    return 0;
}

/* Requests per second that can be served within the limit. */
static double
capacity(const SpGate *g, int64_t now)
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
        g->running_mean < FREE_SLOTS_UTILIZATION * current_limit(g)) {
        /* with free slots, the rate per slot in use reacts sooner */
        return current_limit(g) *
               MAX(SP_SEC / run, g->arrival_rate / MAX(g->running_mean, 1));
    }
    return current_limit(g) * SP_SEC / run;
}

/* Returns 1 if the queue is too long for this request unless another one is
   evicted. */
static int
is_full(const SpGate *g, int64_t now, const SpGateRequest *ask)
{
    double wait = g->queued / capacity(g, now) * SP_SEC;

    if (g->o.policy == SP_POLICY_NONE) {
        return g->queued >= NO_QUEUE_LIMIT;
    }
    if (g->o.policy == SP_POLICY_FULL && ask->rank >= SP_SLICES &&
        wait > MAX_WAIT_SHARE * (double)(ask->deadline - now)) {
        return 1;
    }
    return g->queued >= g->o.queue;
}

SpGateVerdict
SpGate_Submit(SpGate *g, int64_t now, const SpGateRequest *ask,
              SpHandle *entry, SpHandle *evicted)
{
    int list = list_index(ask->rank, ask->inner);
    SpHandle v;
    Entry *e;

    *entry = 0;
    *evicted = 0;
    g->arrived[ask->rank / SP_SLICES]++;
    if (g->queued == 0 && has_room(g, ask->rank)) {
        start_run(g, now, ask->rank);
        g->waits++;
        return SP_GATE_RUN;
    }
    if (has_room(g, ask->rank) && ask->rank < SP_SLICES &&
        g->lists[0].count + g->lists[1].count == 0) {
        start_run(g, now, ask->rank);
        return SP_GATE_RUN;
    }
    if (g->o.policy == SP_POLICY_FULL && g->queued > 0 &&
        ask->rank > g->level + SP_LEVEL_MARGIN) {
        return SP_GATE_SHED;
    }
    if (is_full(g, now, ask)) {
        v = g->o.policy == SP_POLICY_FULL ? eviction_candidate(g, list) : 0;
        if (!v) {
            return SP_GATE_FULL;
        }
        *evicted = unlink_entry(g, v);
    }
    e = SpTable_Add(g->entries, entry);
    e->request = ask->handle;
    e->rank = ask->rank;
    e->inner = ask->inner;
    e->list = g->o.policy == SP_POLICY_FULL ? list : 0;
    e->deadline = g->o.policy == SP_POLICY_FULL ? ask->deadline : 0;
    e->since = now;
    insert(g, *entry, e);
    return SP_GATE_QUEUED;
}

void
SpGate_Done(SpGate *g, int64_t now, int rank, int64_t run_us, int ok, int shed)
{
    g->running--;
    g->start_sum -= (double)(now - run_us);
    if (rank < SP_SLICES) {
        g->running_class0--;
    }
    if (shed) {
        g->shed++;
        return;
    }
    g->done++;
    g->probe_done++;
    if (ok) {
        g->run_us += ((double)run_us - g->run_us) * RUN_WEIGHT;
    }
}

SpHandle
SpGate_Next(SpGate *g, int64_t now, int *late)
{
    SpHandle h;
    Entry *e;
    int i;

    for (i = 0; i < NLISTS; i++) {
        h = g->lists[i].head;
        if (!h) {
            continue;
        }
        e = SpTable_Get(g->entries, h);
        *late = g->o.policy == SP_POLICY_FULL &&
                e->deadline < now + (int64_t)(g->run_us / 2);
        if (!*late && !has_room(g, e->rank)) {
            return 0;
        }
        if (!*late) {
            start_run(g, now, e->rank);
            g->wait_sum += now - e->since;
            g->waits++;
        }
        return unlink_entry(g, h);
    }
    return 0;
}

static double
target_wait(const SpGate *g)
{
    return MAX((double)g->o.target_us, g->run_us * TARGET_WAIT_SHARE);
}

SpHandle
SpGate_NextShed(SpGate *g, int64_t now)
{
    int i;

    if (g->o.policy != SP_POLICY_FULL) {
        return 0;
    }
    for (i = NLISTS - 1; i >= 2; i--) {
        SpHandle h = g->lists[i].tail;
        const Entry *e = SpTable_Get(g->entries, h);
        if (e && e->rank > g->level + SP_LEVEL_MARGIN &&
            now - e->since >
                SHED_WAIT_SHARE * (double)(e->deadline - e->since)) {
            return unlink_entry(g, h);
        }
    }
    return 0;
}

void
SpGate_Remove(SpGate *g, SpHandle entry)
{
    if (SpTable_Get(g->entries, entry)) {
        unlink_entry(g, entry);
    }
}

/* The longest wait so far among the entries at the heads of the lists. */
static int64_t
oldest_wait(const SpGate *g, int64_t now)
{
    int64_t age = 0;
    int i;

    for (i = 0; i < NLISTS; i++) {
        const Entry *e = SpTable_Get(g->entries, g->lists[i].head);
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
    return max_level(g);
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
    double max_rate = capacity(g, now), top = max_level(g);
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
        g->probe_interval = PROBE_INTERVAL_US;
    }
    else {
        g->limit = g->probe_limit;
        g->probe_interval = MIN(g->probe_interval * 2, PROBE_INTERVAL_MAX_US);
    }
    g->probe = STEADY;
    g->probe_next = now + g->probe_interval;
}

static void
probe_enter(SpGate *g, int64_t now, ProbeState s)
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
        g->probe = STEADY;
        return;
    }
    if (g->queued_ticks == 0) {
        if (g->probe == PROBE) {
            g->limit = g->probe_limit;
        }
        g->probe = STEADY;
        g->limit = MIN(g->o.slots, g->limit * 1.01 + 0.05);
        return;
    }
    if (g->probe == STEADY) {
        if (now >= g->probe_next && g->queued_ticks > 4 && g->limit >= 4) {
            probe_enter(g, now, MEASURE);
        }
        return;
    }
    if (g->probe_done < PROBE_RUNS) {
        return;
    }
    if (g->probe == MEASURE) {
        g->probe_rate = rate;
        g->probe_limit = g->limit;
        g->limit *= PROBE_LIMIT_FACTOR;
        probe_enter(g, now, PROBE);
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

int
SpGate_Level(const SpGate *g)
{
    return (int)(g->level + 0.5);
}

int
SpGate_Load(const SpGate *g)
{
    double limit = MIN(current_limit(g), g->o.slots);

    return (int)((g->running + g->queued) * 100 / MAX(limit, 1));
}

int
SpGate_Running(const SpGate *g)
{
    return g->running;
}

int
SpGate_Queued(const SpGate *g)
{
    return g->queued;
}

double
SpGate_Limit(const SpGate *g)
{
    return current_limit(g);
}
