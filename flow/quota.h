/*
 * quota: quotas of workspaces over all nodes.
 *
 * Load pattern: callers of a workspace come to any node, few of them to each,
 * and move; one workspace sends many times its usual for some seconds. Equal
 * parts for each node would refuse most of what is allowed.
 * Harm: what is admitted in the time that the messages take is known too late.
 * It becomes a debt of the workspace, which is refused for as long afterwards.
 *
 * Each node admits a fraction of the requests (this file's SpQuota) and
 * reports what it was offered and admitted to a coordinator, which sums up and
 * sets the fraction (ledger.h). A node that hears no coordinator is limited to
 * the part of the quota that it used last. docs/design/workspaces.md has the
 * whole.
 *
 * Times are in microseconds of the caller's clock. A key is a hash of the name
 * of a workspace, so that nodes with different configurations understand each
 * other.
 */
#ifndef SP_QUOTA_H
#define SP_QUOTA_H

#include "flow/workspaces.h"

/* A node that has heard no coordinator for this long is alone. */
#define SP_QUOTA_ALONE_US (1000 * SP_MS)
/* Time constant of the demand by which parts are divided. */
#define SP_QUOTA_DEMAND_US (5 * SP_SEC)

uint64_t SpQuota_Key(const char *workspace);

/* What a node reports of a workspace. */
typedef struct SpUsage {
    uint64_t key;
    int64_t offered, admitted; /* since the last report; a request that was
                                  admitted and not run is taken off again */
    double demand;             /* smoothed, requests per second */
} SpUsage;

/* What its coordinator says of a workspace. */
typedef struct SpQuotaWord {
    uint64_t key;
    double admit;    /* fraction of the requests to admit */
    double share;    /* part of the quota if the node is alone from now on */
    int64_t wait_us; /* for a caller that is refused */
} SpQuotaWord;

typedef struct SpQuota SpQuota;

SpQuota *SpQuota_New(uint64_t seed);
void SpQuota_Free(SpQuota *q);
/* SpQuota_Configure sets the workspaces; ws may be NULL. Lowered and raised
   quotas take effect at once. */
void SpQuota_Configure(SpQuota *q, const SpWorkspaces *ws);
/* SpQuota_HasLimits returns 1 if a workspace has a quota. */
int SpQuota_HasLimits(const SpQuota *q);
/* SpQuota_SetNodes sets the number of known nodes, this one included. */
void SpQuota_SetNodes(SpQuota *q, guint n);
/* SpQuota_Admit returns 1 if a request is within the quota, and counts it;
   else it sets *retry_us to the time after which the caller should return. */
int SpQuota_Admit(SpQuota *q, int64_t now, const SpWorkspace *w,
                  int64_t *retry_us);
/* SpQuota_Return takes off a request that was admitted and will not run. */
void SpQuota_Return(SpQuota *q, const SpWorkspace *w);

/*
 * SpQuota_TakeUsage appends the report that is due to out, an array of
 * SpUsage, and returns its number; 0 if none is due. A report may be empty: it
 * shows that the node is alive.
 */
uint64_t SpQuota_TakeUsage(SpQuota *q, int64_t now, GArray *out);
/* SpQuota_TakeWords applies the answer to a report; number is that of the
   report, 0 for words that answer none. */
void SpQuota_TakeWords(SpQuota *q, int64_t now, uint64_t number,
                       const SpQuotaWord *words, guint n);
/* SpQuota_ChangeCoordinator is called when the next report goes to another
   one. Reports that were not answered are made again if they may be lost. */
void SpQuota_ChangeCoordinator(SpQuota *q, int may_be_lost);
/* SpQuota_IsAlone returns 1 if no coordinator was heard for too long. */
int SpQuota_IsAlone(const SpQuota *q, int64_t now);

/* Use of a quota at this node, for metrics. */
typedef struct SpQuotaUse {
    const char *workspace;
    double rate;
    uint64_t admitted, refused;
    double admit;  /* fraction in force */
    double demand; /* requests per second */
} SpQuotaUse;

/* SpQuota_Use appends the uses of all workspaces that were asked for here to
   out, an array of SpQuotaUse. */
void SpQuota_Use(const SpQuota *q, int64_t now, GArray *out);

#endif
