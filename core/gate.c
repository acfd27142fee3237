/* The gate of the local instance: its queue and its slots. */
#include <string.h>

#include "core/gatestate.h"

#define NO_QUEUE_LIMIT 100000
/* Weight of one run in the moving average of the run time. */
#define RUN_WEIGHT 0.02
/* A request is refused instead of queued if it would wait for more than this
   share of its remaining time; the refusal informs the entry nodes at once. */
#define MAX_WAIT_SHARE 0.3
/* A queued request whose rank exceeds the level by more than SP_LEVEL_MARGIN
   is shed after it has waited for this share of the time that it had left on
   arrival. */
#define SHED_WAIT_SHARE 0.25
/* Slots are reserved for class 0 if a wait for a free slot exceeds this. */
#define RESERVE_WAIT_US (20 * SP_MS)

double
SpGate_MaxLevel(const SpGate *g)
{
    return (double)g->o.nclasses * SP_SLICES;
}

SpGate *
SpGate_New(const SpGateOpts *o, int64_t now)
{
    SpGate *g = g_new0(SpGate, 1);

    g->entries = SpTable_New(sizeof(SpGateEntry));
    g->ticked = now;
    g->probe_interval = SP_GATE_PROBE_INTERVAL_US;
    g->probe_next = now + SP_GATE_PROBE_INTERVAL_US;
    SpGate_Configure(g, o);
    g->limit = o->slots;
    g->level = SpGate_MaxLevel(g);
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
        g->probe = SP_PROBE_STEADY;
    }
    if (o->nclasses != classes) {
        g->level = SpGate_MaxLevel(g);
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

double
SpGate_CurrentLimit(const SpGate *g)
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
    double limit = SpGate_CurrentLimit(g);

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
    double limit = SpGate_CurrentLimit(g);

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
insert(SpGate *g, SpHandle h, SpGateEntry *e)
{
    SpGateList *l = &g->lists[e->list];
    SpHandle at = l->tail;
    SpGateEntry *p = SpTable_Get(g->entries, at);

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
    SpGateEntry *e = SpTable_Get(g->entries, h);
    SpGateEntry *p = SpTable_Get(g->entries, e->prev);
    SpGateEntry *n = SpTable_Get(g->entries, e->next);
    SpGateList *l = &g->lists[e->list];
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

    for (i = SP_GATE_NLISTS - 1; i > list; i--) {
        if (g->lists[i].count) {
            return g->lists[i].tail;
        }
    }
    return 0;
}

/* Returns 1 if the queue is too long for this request unless another one is
   evicted. */
static int
is_full(const SpGate *g, int64_t now, const SpGateRequest *ask)
{
    double wait = g->queued / SpGate_Capacity(g, now) * SP_SEC;

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
    SpGateEntry *e;

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
    SpGateEntry *e;
    int i;

    for (i = 0; i < SP_GATE_NLISTS; i++) {
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

SpHandle
SpGate_NextShed(SpGate *g, int64_t now)
{
    int i;

    if (g->o.policy != SP_POLICY_FULL) {
        return 0;
    }
    for (i = SP_GATE_NLISTS - 1; i >= 2; i--) {
        SpHandle h = g->lists[i].tail;
        const SpGateEntry *e = SpTable_Get(g->entries, h);
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

int
SpGate_Level(const SpGate *g)
{
    return (int)(g->level + 0.5);
}

int
SpGate_Load(const SpGate *g)
{
    double limit = MIN(SpGate_CurrentLimit(g), g->o.slots);

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
    return SpGate_CurrentLimit(g);
}
