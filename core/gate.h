/*
 * gate: decides which requests the node's own instance runs, and when.
 *
 * Requests have a rank: class * SP_SLICES + slice, lower is more important.
 * The gate keeps a concurrency limit within the instance's slots, a short
 * queue ordered by class, then work that was admitted upstream, then
 * deadline, and a level: the rank below which entries should admit.
 */
#ifndef SP_GATE_H
#define SP_GATE_H

#include "base/base.h"
#include "conf/conf.h"

#define SP_SLICES 128
/* A request that was admitted at its entry is refused deeper down only if its
   rank is this far above the level: the level wavers. */
#define SP_MARGIN 32

typedef struct SpGateOpts {
    SpPolicy policy;
    int slots;         /* of the instance */
    int queue;         /* entries */
    int hop_limit;     /* concurrency under SP_POLICY_HOP */
    int64_t target_us; /* of the wait in the queue */
    int nclasses;
} SpGateOpts;

typedef enum {
    SP_GATE_RUN,
    SP_GATE_QUEUED,
    SP_GATE_FULL,
    SP_GATE_SHED /* above the level: it would wait in vain */
} SpGateVerdict;

typedef struct SpGateAsk {
    SpHandle handle; /* of the request, given back by SpGate_Next */
    int rank;
    int inner;        /* 1 if another node has admitted it already */
    int64_t deadline; /* absolute */
} SpGateAsk;

typedef struct SpGate SpGate;

SpGate *SpGate_New(const SpGateOpts *o, int64_t now);
void SpGate_Configure(SpGate *g, const SpGateOpts *o);
void SpGate_Free(SpGate *g);

/*
 * SpGate_Arrive asks for one run. SP_GATE_QUEUED: *entry names the place in
 * the queue, and *evicted, if not 0, is a less important request that lost
 * its place and did not run.
 */
SpGateVerdict SpGate_Arrive(SpGate *g, int64_t now, const SpGateAsk *ask,
                            SpHandle *entry, SpHandle *evicted);
/* SpGate_Done ends a run. shed: 1 if the instance refused it by itself. */
void SpGate_Done(SpGate *g, int64_t now, int rank, int64_t run_us, int ok,
                 int shed);
/*
 * SpGate_Next takes the next request out of the queue: 0 if none may start;
 * *late is 1 if it can no longer be answered in time and must not run.
 */
SpHandle SpGate_Next(SpGate *g, int64_t now, int *late);
/*
 * SpGate_Hopeless takes a request out of the queue that waits in vain, since
 * more important ones take all slots; 0 if there is none.
 */
SpHandle SpGate_Hopeless(SpGate *g, int64_t now);
void SpGate_Remove(SpGate *g, SpHandle entry);
/* SpGate_Tick adjusts limit and level; call every SP_GATE_TICK_US. */
#define SP_GATE_TICK_US (50 * SP_MS)
void SpGate_Tick(SpGate *g, int64_t now);

int SpGate_Level(const SpGate *g);
/* SpGate_Load is running and queued requests, in percent of the limit. */
int SpGate_Load(const SpGate *g);
int SpGate_Running(const SpGate *g);
int SpGate_Queued(const SpGate *g);
double SpGate_Limit(const SpGate *g);

#endif
