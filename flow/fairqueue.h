/*
 * fairqueue: a queue that workspaces take turns in, weighted by what they are
 * entitled to.
 *
 * Load pattern: one workspace sends many times its usual and fills the queue
 * of an instance. In order of arrival the requests of all others wait behind
 * it until their time is over.
 *
 * Start-time fair queueing: each workspace with waiting requests has a tag,
 * the virtual time at which its next request is due. The lowest tag is served
 * first and rises by 1/weight. So a workspace waits behind its own requests,
 * not behind those of others. Equal tags are served in order of arrival, and
 * so are requests without a workspace among themselves.
 *
 * A tag is never later than the virtual time at which what waits now will have
 * been served: a workspace of little weight that sends two requests at once
 * waits no longer for the second than in order of arrival.
 *
 * Harm: what waits is overtaken by later requests of others, and may be late
 * then. So the expected wait of a workspace that always has requests waiting
 * comes from the pace at which they are served.
 */
#ifndef SP_FAIRQUEUE_H
#define SP_FAIRQUEUE_H

#include "base/base.h"

/* The waiting requests of one workspace. */
typedef struct SpFairFlow {
    char *name; /* owned; NULL: without a workspace */
    double weight;
    double tag;        /* virtual time at which its first item is due */
    GQueue items;      /* of SpFairItem, in order of arrival */
    uint64_t taken_at; /* number of its last take while it had more items; 0:
                          none */
    double gap; /* smoothed number of takes from one of its own to the next,
                   while it always has items; 0: unknown */
    GSequenceIter *at; /* in active, or in idle if it has no items */
} SpFairFlow;

/* An entry of the queue, part of the owner's request. */
typedef struct SpFairItem {
    GList link;       /* among all, in order of arrival */
    GList flow_link;  /* among those of its workspace */
    SpFairFlow *flow; /* NULL: not queued */
    uint64_t number;  /* in order of arrival */
    void *user;       /* the owner's request */
} SpFairItem;

typedef struct SpFairQueue {
    GQueue items; /* all, in order of arrival; data is the SpFairItem */
    SpFairFlow unnamed;
    GHashTable *flows; /* name to SpFairFlow; NULL before the first name */
    GSequence *active; /* flows with items, by tag */
    GSequence *idle;   /* named flows without items whose tag lies ahead */
    double now;        /* virtual time: tag of the item taken last */
    double weights;    /* sum over the active flows */
    uint64_t next_number, takes;
} SpFairQueue;

void SpFairQueue_Init(SpFairQueue *q);
/* SpFairQueue_Clear frees the flows; the items are no longer queued. */
void SpFairQueue_Clear(SpFairQueue *q);
/* SpFairQueue_Push queues an item of a workspace (NULL or empty: none). The
   queue keeps a copy of the name. weight is relative to that of the other
   workspaces; 0 counts as 1. */
void SpFairQueue_Push(SpFairQueue *q, SpFairItem *i, const char *workspace,
                      double weight);
/* SpFairQueue_Take removes the item whose turn it is, and returns it; NULL if
   the queue is empty. */
SpFairItem *SpFairQueue_Take(SpFairQueue *q);
/* SpFairQueue_Remove removes an item that is not served. */
void SpFairQueue_Remove(SpFairQueue *q, SpFairItem *i);
/* SpFairQueue_Ahead returns how many items are expected to be served before a
   new one of that workspace, those that overtake it included. */
guint SpFairQueue_Ahead(const SpFairQueue *q, const char *workspace,
                        double weight);

#endif
