/*
 * refusals: a ring buffer of a node's most recent refused requests, searchable
 * by trace id, so that an operator can find out why a request was refused.
 */
#ifndef SP_REFUSALS_H
#define SP_REFUSALS_H

#include "base/base.h"
#include "conf/conf.h"

typedef struct SpRefusal {
    uint64_t hlc;
    uint64_t trace[2];
    SpKind kind;
    SpOutcome outcome;
    int class, slice;
    int level;   /* of the gate or the route when it was refused */
    int version; /* of the configuration then in force here; 0 none */
    char route[SP_NAME_BYTES];
} SpRefusal;

typedef struct SpRefusals SpRefusals;

SpRefusals *SpRefusals_New(guint capacity);
void SpRefusals_Free(SpRefusals *rs);
void SpRefusals_Add(SpRefusals *rs, const SpRefusal *r);
guint SpRefusals_Count(const SpRefusals *rs);
/* SpRefusals_At counts from the newest, 0. */
const SpRefusal *SpRefusals_At(const SpRefusals *rs, guint i);
/* SpRefusals_Find returns the newest one with this trace id; NULL if none. */
const SpRefusal *SpRefusals_Find(const SpRefusals *rs,
                                 const uint64_t trace[2]);

#endif
