/*
 * fairqueue: a queue in order of arrival in which a workspace that sends more
 * than its part waits behind the others.
 *
 * Load pattern: one workspace sends many times its usual and fills the queue
 * of an instance. In order of arrival the requests of all others wait behind
 * it until their time is over.
 *
 * Virtual clock: arrivals are numbered, and the lowest tag is served first.
 * The tag of a request is its number, unless its workspace has had more than
 * its part of the arrivals: each request makes the account of its workspace
 * rise by 1/part, to be no later than the number again; a few requests beyond
 * that are tolerated, since those of a small workspace come by chance
 * together. Beyond, the tag is that of the account. So workspaces that keep to
 * their parts, and requests without one, are served in order of arrival.
 *
 * Harm: what waits with a late tag is overtaken by later requests, and may be
 * late then. So the expected wait of such a workspace comes from the pace at
 * which its requests are served.
 */
#ifndef SP_FAIRQUEUE_H
#define SP_FAIRQUEUE_H

#include "base/base.h"

/* A workspace. */
typedef struct SpFairFlow {
    char *name;        /* owned; NULL: without a workspace */
    double part;       /* of all that it is entitled to */
    double account;    /* number of the arrival at which it has had its part */
    guint items;       /* that wait */
    uint64_t taken_at; /* number of its last take while it had more items; 0:
                          none */
    double gap; /* smoothed number of takes from one of its own to the next,
                   while it always has items; 0: unknown */
} SpFairFlow;

/* An entry of the queue, part of the owner's request. */
typedef struct SpFairItem {
    GList link;        /* in order of arrival */
    GSequenceIter *at; /* in order of the tags; NULL before the first name */
    SpFairFlow *flow;  /* NULL: not queued */
    uint64_t number;   /* of its arrival */
    double tag;
    void *user; /* the owner's request */
} SpFairItem;

typedef struct SpFairQueue {
    GQueue items; /* in order of arrival; data is the SpFairItem */
    SpFairFlow unnamed;
    GHashTable *flows; /* name to SpFairFlow; NULL before the first name */
    GSequence *order;  /* of SpFairItem, by tag */
    uint64_t arrivals, takes;
} SpFairQueue;

void SpFairQueue_Init(SpFairQueue *q);
/* SpFairQueue_Clear frees the flows; the items are no longer queued. */
void SpFairQueue_Clear(SpFairQueue *q);
/* SpFairQueue_Push queues an item of a workspace (NULL or empty: none). The
   queue keeps a copy of the name. part is what the workspace is entitled to,
   above 0 and up to 1. */
void SpFairQueue_Push(SpFairQueue *q, SpFairItem *i, const char *workspace,
                      double part);
/* SpFairQueue_Take removes the item whose turn it is, and returns it; NULL if
   the queue is empty. */
SpFairItem *SpFairQueue_Take(SpFairQueue *q);
/* SpFairQueue_Remove removes an item that is not served. */
void SpFairQueue_Remove(SpFairQueue *q, SpFairItem *i);
/* SpFairQueue_Ahead returns how many items are expected to be served before a
   new one of that workspace, those that overtake it included. */
guint SpFairQueue_Ahead(const SpFairQueue *q, const char *workspace,
                        double part);

#endif
