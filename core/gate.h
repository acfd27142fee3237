/*
 * gate: admission control and scheduling for the node's own instance.
 *
 * Each request has a rank, class * SP_SLICES + slice; a lower rank is more
 * important. The slice is derived from the trace id, so that a level can admit
 * a part of a class. The gate maintains
 *  - a concurrency limit, at most the slots of the instance;
 *  - a short queue, ordered by class, then requests already admitted by
 *    another node, then deadline;
 *  - the admission level: entry nodes should admit ranks below it.
 */
#ifndef SP_GATE_H
#define SP_GATE_H

#include "base/base.h"
#include "conf/conf.h"

#define SP_SLICES 128
/* A request that its entry node has admitted is shed at a later hop only if
   its rank exceeds the level by more than this, since the level fluctuates. */
#define SP_LEVEL_MARGIN 32

typedef struct SpGateOpts {
    SpPolicy policy;
    int slots;         /* of the instance */
    int queue;         /* its capacity, in requests */
    int hop_limit;     /* concurrency under SP_POLICY_HOP */
    int64_t target_us; /* target queueing delay */
    int nclasses;
} SpGateOpts;

typedef enum {
    SP_GATE_RUN,
    SP_GATE_QUEUED,
    SP_GATE_FULL,
    SP_GATE_SHED /* rank too far above the level to be served in time */
} SpGateVerdict;

typedef struct SpGateRequest {
    SpHandle handle; /* of the request, returned by SpGate_Next */
    int rank;
    int inner;        /* 1 if another node has already admitted it */
    int64_t deadline; /* absolute */
} SpGateRequest;

typedef struct SpGate SpGate;

SpGate *SpGate_New(const SpGateOpts *o, int64_t now);
void SpGate_Configure(SpGate *g, const SpGateOpts *o);
void SpGate_Free(SpGate *g);

/*
 * SpGate_Submit requests one run. On SP_GATE_QUEUED, *entry is the queue
 * entry, and *evicted, if not 0, is a less important request that was removed
 * from the full queue without having run.
 */
SpGateVerdict SpGate_Submit(SpGate *g, int64_t now, const SpGateRequest *ask,
                            SpHandle *entry, SpHandle *evicted);
/* SpGate_Done ends a run. shed is 1 if the instance rejected the request. */
void SpGate_Done(SpGate *g, int64_t now, int rank, int64_t run_us, int ok,
                 int shed);
/*
 * SpGate_Next removes the next request from the queue; returns 0 if none may
 * start. *late is 1 if the request cannot meet its deadline and must not run.
 */
SpHandle SpGate_Next(SpGate *g, int64_t now, int *late);
/*
 * SpGate_NextShed removes a queued request that is not expected to get a slot
 * because more important requests take them all; returns 0 if there is none.
 */
SpHandle SpGate_NextShed(SpGate *g, int64_t now);
void SpGate_Remove(SpGate *g, SpHandle entry);
/* SpGate_Tick adjusts limit and level; call it every SP_GATE_TICK_US. */
#define SP_GATE_TICK_US (50 * SP_MS)
void SpGate_Tick(SpGate *g, int64_t now);

int SpGate_Level(const SpGate *g);
/* SpGate_Load returns running plus queued requests in percent of the limit. */
int SpGate_Load(const SpGate *g);
int SpGate_Running(const SpGate *g);
int SpGate_Queued(const SpGate *g);
double SpGate_Limit(const SpGate *g);

#endif
