/*
 * retryparts: the part of a retry budget that each workspace has.
 *
 * Load pattern: the requests of one workspace are rejected by the thousand,
 * because it floods, and retried until the budget of the service is spent; the
 * few rejected ones of the others then get no retry.
 *
 * A workspace may always spend what its own first attempts earn, and one retry
 * more. Beyond that it may take from what others leave, down to the last tenth
 * of the budget, which is kept for those that have spent less than they
 * earned.
 *
 * Harm: if there are none, that tenth stays unspent.
 */
#ifndef SP_RETRYPARTS_H
#define SP_RETRYPARTS_H

#include "flow/flow.h"

typedef struct SpRetryParts SpRetryParts;

/* window_us is that of the budget. */
SpRetryParts *SpRetryParts_New(int64_t window_us);
void SpRetryParts_Free(SpRetryParts *p);
void SpRetryParts_CountFirst(SpRetryParts *p, int64_t now,
                             const char *workspace);
/* SpRetryParts_CountRetry counts a retry, or an attempt caused by one. */
void SpRetryParts_CountRetry(SpRetryParts *p, int64_t now,
                             const char *workspace);
/* SpRetryParts_Allows returns 1 if a workspace may retry; room is that of the
   rank of the request. */
int SpRetryParts_Allows(SpRetryParts *p, int64_t now, const char *workspace,
                        const SpRetryRoom *room);

#endif
