/*
 * eviction: which client's connection is closed when what a process holds for
 * clients reaches its bound.
 *
 * Load pattern: clients that send or take slowly, or stop in the middle, each
 * within its limits, so many that together they hold the memory or the
 * descriptors of the process.
 * Harm: a client on a bad link is closed, though it would have finished.
 *
 * A client whose step is in time is never chosen; the new need is refused
 * instead. Times are arguments, in microseconds.
 */
#ifndef SP_EVICTION_H
#define SP_EVICTION_H

#include "base/base.h"

/* What a client is doing, as its connection sees it. */
typedef enum {
    SP_HOLDER_SILENT,  /* it has never sent a whole request */
    SP_HOLDER_SENDING, /* a head or a body */
    SP_HOLDER_TAKING,  /* an answer */
    SP_HOLDER_IDLE,    /* between requests */
    SP_HOLDER_WAITING  /* for an answer that is due from this process */
} SpHolderStep;

/* A client, and what is held for it. */
typedef struct SpHolder {
    SpHolderStep step;
    size_t bytes;     /* memory that its end gives back */
    size_t moved;     /* bytes that passed since the step began */
    int64_t began;    /* the step */
    int64_t moved_at; /* the last of these bytes */
    void *user;
} SpHolder;

typedef enum { SP_NEED_MEMORY, SP_NEED_DESCRIPTOR } SpNeed;

/* Running choice: SpEviction_Consider is called for each client. */
typedef struct SpEviction {
    SpNeed need;
    int64_t now;
    double best;  /* cost of chosen; 0: none */
    void *chosen; /* user of the one that goes; NULL: none */
} SpEviction;

void SpEviction_Begin(SpEviction *e, SpNeed need, int64_t now);
void SpEviction_Consider(SpEviction *e, const SpHolder *h);
/* SpHolder_Late returns the time by which a client is late: the time for which
   it has stood still or, if that is more, for which it is behind the pace of a
   slow link; 0: it is in time. */
int64_t SpHolder_Late(const SpHolder *h, int64_t now);

#endif
