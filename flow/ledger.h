/*
 * ledger: the coordinator's side of the quotas (quota.h).
 *
 * A ledger has an account for each workspace: a bucket of the whole quota,
 * drawn by what all nodes admitted. The nodes of the zone, its members, report
 * to the ledger of their coordinator; the ledgers of all zones exchange the
 * sums of what their members reported, so that nothing is counted twice,
 * whoever believes to be a coordinator. From the level of the bucket and what
 * is offered an account sets the fraction to admit.
 *
 * Who falls silent is taken to go on with the part that it used last, which is
 * held for it; it limits itself to that part at the same time. So the parts
 * never add up to more than the quota, wherever the cut runs.
 */
#ifndef SP_LEDGER_H
#define SP_LEDGER_H

#include "flow/quota.h"

/* Interval of SpLedger_Update. */
#define SP_LEDGER_STEP_US (100 * SP_MS)
/* Maximum number of zones; further ones count as one. */
#define SP_LEDGER_ZONES 16

/* What a ledger tells the others of a workspace, of its members only. */
typedef struct SpQuotaSum {
    uint64_t key;
    double admitted; /* since the start of the ledger */
    double demand;   /* smoothed, requests per second */
    double offered;  /* at present, requests per second */
    double held;     /* part of the quota that is held for silent members */
    double level;    /* of its bucket, for a ledger that has just started */
} SpQuotaSum;

typedef struct SpLedgerPeer {
    const char *name, *zone;
    uint64_t epoch;          /* differs after a restart */
    int full;                /* 1: what is not mentioned has not changed */
    const uint64_t *members; /* keys of the names of its members */
    guint nmembers;
} SpLedgerPeer;

/* A zone and the number of its nodes. */
typedef struct SpLedgerZone {
    const char *name;
    guint nodes;
} SpLedgerZone;

/* An account that limits its workspace. */
typedef struct SpLedgerLimit {
    uint64_t key;
    const char *workspace;
    double rate, admit, level;
    double offered; /* by all nodes, requests per second */
    double held;    /* part of the quota that is held for the silent */
} SpLedgerLimit;

typedef struct SpLedger SpLedger;

SpLedger *SpLedger_New(const char *zone, int64_t now);
void SpLedger_Free(SpLedger *l);
/* SpLedger_Configure sets the workspaces; ws may be NULL. */
void SpLedger_Configure(SpLedger *l, const SpWorkspaces *ws);
/* SpLedger_SetZones tells the known zones: a part of the quota is held for one
   that was not heard since the start. */
void SpLedger_SetZones(SpLedger *l, const SpLedgerZone *zones, guint n);

/* SpLedger_AddUsage enters the report of a member. */
void SpLedger_AddUsage(SpLedger *l, int64_t now, const char *node,
                       const SpUsage *usage, guint n);
/* SpLedger_RemoveMember is called when a member leaves: nothing is held for
   it. */
void SpLedger_RemoveMember(SpLedger *l, const char *node);
/* SpLedger_Members returns the number of members that report. */
guint SpLedger_Members(const SpLedger *l);
/* SpLedger_MemberKeys appends the keys of their names to out, an array of
   uint64_t. */
void SpLedger_MemberKeys(const SpLedger *l, GArray *out);
/* SpLedger_Words appends the words for a member to out, an array of
   SpQuotaWord: on what it reported since the last ones, and on all workspaces
   that are limited. */
void SpLedger_Words(SpLedger *l, const char *node, GArray *out);

/* SpLedger_AddSums enters the sums of another ledger. */
void SpLedger_AddSums(SpLedger *l, int64_t now, const SpLedgerPeer *from,
                      const SpQuotaSum *sums, guint n);
/* Interval at which a ledger sends sums, if only empty ones. */
#define SP_LEDGER_SUMS_US (200 * SP_MS)
/* SpLedger_RemovePeer is called when a ledger says that it has no members any
   more: they report elsewhere, and nothing is held for them. */
void SpLedger_RemovePeer(SpLedger *l, const char *name);
/* SpLedger_Sums appends the own sums that changed after since to out, an array
   of SpQuotaSum; without full only those of workspaces near their limit. */
void SpLedger_Sums(const SpLedger *l, int64_t since, int full, GArray *out);

/* SpLedger_Update brings the accounts up to now and sets the fractions. */
void SpLedger_Update(SpLedger *l, int64_t now);
/* SpLedger_TakeUrgent returns 1 if a fraction has changed so much that the
   members are to be told without being asked. */
int SpLedger_TakeUrgent(SpLedger *l);
/* SpLedger_Limits appends the accounts that limit to out, an array of
   SpLedgerLimit. */
void SpLedger_Limits(const SpLedger *l, GArray *out);

#endif
