/*
 * ranks: the order of requests where both workspaces and routes have ranks.
 *
 * The rank of the workspace comes first, that of the route decides between
 * requests of equal ones.
 *
 * Load pattern: callers of many workspaces, nearly all of one rank, compete
 * for the room of the deepest service. Without the rank of the route, payments
 * would be rejected as often as reads, which are many.
 * Harm: where the pairs of ranks are more than SP_MAX_RANKS, neighbours share
 * one.
 */
#ifndef SP_RANKS_H
#define SP_RANKS_H

#include "flow/workspaces.h"

/* Ranks of a route or a workspace: 0 is the most important. Higher numbers
   count as the last one. */
#define SP_ROUTE_RANKS 4
/* Ranks of requests. */
#define SP_MAX_RANKS 8

typedef struct SpRankMap {
    unsigned char rank[SP_ROUTE_RANKS][SP_ROUTE_RANKS]; /* by that of the
                                               workspace, then of the route */
    unsigned char route_rank[SP_MAX_RANKS]; /* the most important one that has
                                               that rank */
} SpRankMap;

/* Sets of ranks of routes or workspaces, a bit each. */
typedef unsigned SpRankSet;

SpRankSet SpRankSet_Add(SpRankSet set, int rank);
/* SpRankMap_Init makes the rank of a request that of its route. */
void SpRankMap_Init(SpRankMap *m);
/* SpRankMap_Build numbers the pairs of ranks that occur. */
void SpRankMap_Build(SpRankMap *m, SpRankSet workspaces, SpRankSet routes);
/* SpRankMap_Rank returns the rank of a request; w is NULL if it has no
   workspace. */
int SpRankMap_Rank(const SpRankMap *m, const SpWorkspace *w, int route_rank);
/* SpRankMap_RouteRank returns the rank of the route for that of a request. */
int SpRankMap_RouteRank(const SpRankMap *m, int rank);

#endif
