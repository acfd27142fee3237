/*
 * refusals: the last refused requests of a node, so that each can be
 * explained from its trace id.
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
    int level;   /* of the route, or of the gate, when it was refused */
    int version; /* of the configuration then in force here */
    char route[SP_NAME_BYTES];
} SpRefusal;

typedef struct SpRefusals SpRefusals;

SpRefusals *SpRefusals_New(guint capacity);
void SpRefusals_Free(SpRefusals *rs);
void SpRefusals_Add(SpRefusals *rs, const SpRefusal *r);
guint SpRefusals_Count(const SpRefusals *rs);
/* SpRefusals_At: 0 is the newest. */
const SpRefusal *SpRefusals_At(const SpRefusals *rs, guint i);
/* SpRefusals_Find returns the newest with this trace; NULL if none. */
const SpRefusal *SpRefusals_Find(const SpRefusals *rs,
                                 const uint64_t trace[2]);

#endif
