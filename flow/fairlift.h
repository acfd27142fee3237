/*
 * fairlift: the least that workspaces of a low rank get.
 *
 * Load pattern: room is short for long, and some workspaces have a rank below
 * all others. The lowest rank is admitted at a tenth of its demand, which can
 * be less than a quarter of the mean.
 *
 * Workspaces of one rank make a group. A group that would get less than
 * SP_FAIR_MIN_OF_MEAN of the mean of all requests is lifted to that; the other
 * groups give way in equal proportion.
 *
 * Harm: important requests are refused for less important ones.
 */
#ifndef SP_FAIRLIFT_H
#define SP_FAIRLIFT_H

#include "flow/flow.h"

#define SP_FAIR_MIN_OF_MEAN 0.35
/* Groups by rank of the workspace; the last one has none of its own, and is
   not lifted. */
#define SP_FAIR_GROUPS (SP_ROUTE_RANKS + 1)

/* Requests by group and rank. */
typedef struct SpFairCounts {
    double of[SP_FAIR_GROUPS][SP_MAX_RANKS];
} SpFairCounts;

typedef struct SpFairLift {
    double added[SP_FAIR_GROUPS]; /* to the share of each rank */
    double scale;                 /* of the groups to which nothing is added */
    double mean[SP_FAIR_GROUPS];  /* share of a group, lifted */
    double all;                   /* share of all requests */
} SpFairLift;

/* SpFairLift_Group returns the group of a workspace of that rank. */
int SpFairLift_Group(int workspace_rank);
/* SpFairLift_Find finds what groups are lifted by at the shares of a path. */
SpFairLift SpFairLift_Find(const SpFairCounts *c, const SpShares *s);
/* SpFairLift_Share returns the share of a rank for requests of a group. */
double SpFairLift_Share(const SpFairLift *l, int group, double share);
/* SpFairLift_LeastPart returns the lowest part of its shares at which a
   workspace of a group may be admitted. */
double SpFairLift_LeastPart(const SpFairLift *l, int group);

#endif
