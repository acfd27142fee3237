/* The order of requests where both workspaces and routes have ranks. */
#include <string.h>

#include "flow/ranks.h"

static int
clamp_rank(int rank)
{
    return CLAMP(rank, 0, SP_ROUTE_RANKS - 1);
}

SpRankSet
SpRankSet_Add(SpRankSet set, int rank)
{
    return set | 1U << clamp_rank(rank);
}

static int
has_rank(SpRankSet set, int rank)
{
    return (set >> rank & 1) != 0;
}

static int
count_ranks(SpRankSet set)
{
    int rank, n = 0;

    for (rank = 0; rank < SP_ROUTE_RANKS; rank++) {
        n += has_rank(set, rank);
    }
    return n;
}

void
SpRankMap_Init(SpRankMap *m)
{
    int workspace, route;

    for (workspace = 0; workspace < SP_ROUTE_RANKS; workspace++) {
        for (route = 0; route < SP_ROUTE_RANKS; route++) {
            m->rank[workspace][route] = (unsigned char)route;
        }
    }
    for (route = 0; route < SP_MAX_RANKS; route++) {
        m->route_rank[route] = (unsigned char)clamp_rank(route);
    }
}

/* A pair that does not occur gets the rank of the next one that does. */
void
SpRankMap_Build(SpRankMap *m, SpRankSet workspaces, SpRankSet routes)
{
    int pairs = count_ranks(workspaces) * count_ranks(routes);
    int workspace, route, rank, before = 0;

    memset(m->route_rank, SP_ROUTE_RANKS - 1, sizeof m->route_rank);
    for (workspace = 0; workspace < SP_ROUTE_RANKS; workspace++) {
        for (route = 0; route < SP_ROUTE_RANKS; route++) {
            rank =
                pairs > SP_MAX_RANKS ? before * SP_MAX_RANKS / pairs : before;
            rank = MIN(rank, SP_MAX_RANKS - 1);
            m->rank[workspace][route] = (unsigned char)rank;
            if (has_rank(workspaces, workspace) && has_rank(routes, route)) {
                m->route_rank[rank] =
                    (unsigned char)MIN(m->route_rank[rank], route);
                before++;
            }
        }
    }
}

int
SpRankMap_Rank(const SpRankMap *m, const SpWorkspace *w, int route_rank)
{
    int route = clamp_rank(route_rank);
    int workspace =
        w && w->rank != SP_RANK_OF_ROUTE ? clamp_rank(w->rank) : route;

    return m->rank[workspace][route];
}

int
SpRankMap_RouteRank(const SpRankMap *m, int rank)
{
    return m->route_rank[CLAMP(rank, 0, SP_MAX_RANKS - 1)];
}
