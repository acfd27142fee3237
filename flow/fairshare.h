/*
 * fairshare: how the share of a rank that is admitted is divided between the
 * workspaces.
 *
 * Load pattern: callers compete for too little room, and one workspace sends
 * many times its usual. With one probability for all requests of a rank the
 * others are refused for what that one sends.
 *
 * Each workspace gets min(1, level / use), where its use is its demand against
 * what it is entitled to, and the level is such that what all nodes ask for in
 * a rank is admitted at the share of the rank in the mean. Unused room so goes
 * to those who ask.
 *
 * A node sees a few clients of a few workspaces: what is much there can be
 * little over all nodes. So nodes tell each other each second what arrived at
 * them, as counts that add up and fade; nothing is kept by node. Uses are
 * shrunk towards the usual one by as many requests as their noise is worth,
 * the more the fewer nodes are heard, and count as usual within a factor:
 * refused requests come again, so that a workspace refused for noise would ask
 * for more.
 *
 * Harm: a use that was overestimated holds back a workspace that keeps to its
 * part. So none is admitted at less than SP_FAIR_MIN_OF_MEAN of its shares, or
 * at more where its rank is low (flow/fairlift.h).
 */
#ifndef SP_FAIRSHARE_H
#define SP_FAIRSHARE_H

#include "flow/fairlift.h"

/* Entries of a report. */
#define SP_FAIR_REPORT 32

typedef struct SpFairShare SpFairShare;

/* A quota in requests per second; 0: none. */
typedef struct SpFairQuota {
    const char *workspace;
    double rate;
} SpFairQuota;

typedef struct SpFairRequest {
    const char *workspace; /* NULL or empty: none */
    int rank;
    int workspace_rank; /* SP_RANK_OF_ROUTE: none of its own */
} SpFairRequest;

/* Requests that arrived at a node since its last report. */
typedef struct SpFairReport {
    uint32_t total;
    int n;
    uint32_t keys[SP_FAIR_REPORT]; /* of the workspaces with most requests */
    uint32_t counts[SP_FAIR_REPORT];
} SpFairReport;

SpFairShare *SpFairShare_New(void);
void SpFairShare_Free(SpFairShare *fs);
/* SpFairShare_Configure replaces the quotas by those of n workspaces; the mean
   of those that there are stands in for the missing ones. */
void SpFairShare_Configure(SpFairShare *fs, const SpFairQuota *list, guint n);
/* SpFairShare_Part returns the part of all that a quota entitles to. */
double SpFairShare_Part(const SpFairShare *fs, double rate);
/* SpFairShare_Admit counts a request and returns the probability of its
   admission; shares are those of its path. */
double SpFairShare_Admit(SpFairShare *fs, int64_t now, const SpFairRequest *r,
                         const SpShares *shares);
/* SpFairShare_TakeReport fills in a report to the other nodes. All nodes take
   one at the same interval, whether anything arrived or not. */
void SpFairShare_TakeReport(SpFairShare *fs, int64_t now, SpFairReport *r);
/* SpFairShare_AddReport takes in the report of another node. */
void SpFairShare_AddReport(SpFairShare *fs, int64_t now,
                           const SpFairReport *r);
/* SpFairShare_SetNodes sets the number of nodes whose callers share the room,
   this one included. */
void SpFairShare_SetNodes(SpFairShare *fs, guint nodes);
/* SpFairShare_Tracked counts the workspaces whose demand is held. */
guint SpFairShare_Tracked(const SpFairShare *fs);

#endif
