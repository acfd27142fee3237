/*
 * quotasim: nodes with quotas and ledgers under a virtual clock, without a
 * network. Messages are delivered after a delay unless the zones or nodes are
 * cut off from each other.
 */
#ifndef SP_TEST_QUOTASIM_H
#define SP_TEST_QUOTASIM_H

#include "flow/ledger.h"

#define SIM_WORKSPACES 1100

typedef struct SimOpts {
    guint nodes, zones, workspaces;
    double per_s;     /* requests of all workspaces together */
    double skew;      /* exponent of the use by rank of the workspace */
    double headroom;  /* quota of a workspace over its usual use */
    int64_t delay_us; /* of a message */
    uint64_t seed;
} SimOpts;

/* Outcome of a workspace since the last Sim_Clear. */
typedef struct SimCount {
    uint64_t offered, admitted;
    uint64_t owed;  /* offered and within the quota */
    double refused; /* owed, but not admitted in its stead */
    double worst;   /* greatest part of the bound that a window reached */
} SimCount;

typedef struct Sim Sim;

Sim *Sim_New(const SimOpts *o);
void Sim_Free(Sim *s);
void Sim_Run(Sim *s, double seconds);
void Sim_Clear(Sim *s);
/* Sim_SetUse sets the use of a workspace to a multiple of its usual one. */
void Sim_SetUse(Sim *s, guint w, double times);
/* Sim_SetQuota multiplies the quota of a workspace, with a new configuration.
 */
void Sim_SetQuota(Sim *s, guint w, double times);
/* Sim_Shift sends a part of the callers of one zone to another. */
void Sim_Shift(Sim *s, guint from, guint to, double part);
/* Sim_SetCallers restricts callers of a workspace to the first nodes; 0: all.
 */
void Sim_SetCallers(Sim *s, guint w, guint nodes);
void Sim_CutZone(Sim *s, guint zone, int cut);
void Sim_CutNode(Sim *s, guint node, int cut);
void Sim_Freeze(Sim *s, guint node, int frozen);
/* Sim_Restart replaces the process of a node by a new one. */
void Sim_Restart(Sim *s, guint node);
/* Sim_Scatter: the nodes of a zone report to different contacts. */
void Sim_Scatter(Sim *s, int scattered);
void Sim_Kill(Sim *s, guint node);
const SimCount *Sim_Count(Sim *s, guint w);
double Sim_Rate(const Sim *s, guint w);
/* Sim_Worst returns the worst window of all workspaces, as a part of the
 * bound.
 */
double Sim_Worst(Sim *s);
/* Sim_Refused returns the refused part of what was owed to all workspaces but
   some. */
double Sim_Refused(Sim *s, const guint *but, guint n);
uint64_t Sim_Messages(const Sim *s);
uint64_t Sim_Bytes(const Sim *s);
/* Sim_MostBytes returns the greatest number that one node has sent. */
uint64_t Sim_MostBytes(const Sim *s);

#endif
