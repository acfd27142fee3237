/* The least that workspaces of a low rank get. */
#include "flow/fairlift.h"

/* Requests, and how many of them are admitted. */
typedef struct Admitted {
    double total, in;
} Admitted;

int
SpFairLift_Group(int workspace_rank)
{
    return workspace_rank == SP_RANK_OF_ROUTE
               ? SP_FAIR_GROUPS - 1
               : CLAMP(workspace_rank, 0, SP_FAIR_GROUPS - 2);
}

static Admitted
admitted_of(const SpFairCounts *c, const SpShares *s, int group)
{
    Admitted a = {0, 0};
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        a.total += c->of[group][i];
        a.in += c->of[group][i] * s->of[i];
    }
    return a;
}

static double
mean_of(const Admitted *a)
{
    return a->total > 0 ? a->in / a->total : 1;
}

SpFairLift
SpFairLift_Find(const SpFairCounts *c, const SpShares *s)
{
    SpFairLift l = {.scale = 1};
    Admitted groups[SP_FAIR_GROUPS], all = {0, 0};
    double lifted = 0, rest = 0, least;
    int g;

    for (g = 0; g < SP_FAIR_GROUPS; g++) {
        groups[g] = admitted_of(c, s, g);
        all.total += groups[g].total;
        all.in += groups[g].in;
    }
    l.all = mean_of(&all);
    least = SP_FAIR_MIN_OF_MEAN * l.all;
    for (g = 0; g < SP_FAIR_GROUPS; g++) {
        l.mean[g] = mean_of(&groups[g]);
        if (g == SP_FAIR_GROUPS - 1 || l.mean[g] >= least) {
            rest += groups[g].in;
            continue;
        }
        l.added[g] = least - l.mean[g];
        l.mean[g] = least;
        lifted += l.added[g] * groups[g].total;
    }
    /* both are 0 if nothing is admitted */
    l.scale = lifted < rest ? 1 - lifted / rest : 1;
    return l;
}

double
SpFairLift_Share(const SpFairLift *l, int group, double share)
{
    return l->added[group] > 0 ? MIN(share + l->added[group], 1)
                               : share * l->scale;
}

double
SpFairLift_LeastPart(const SpFairLift *l, int group)
{
    double part = l->mean[group] > 0 ? l->all / l->mean[group] : 1;

    return CLAMP(SP_FAIR_MIN_OF_MEAN * part, SP_FAIR_MIN_OF_MEAN, 1);
}
