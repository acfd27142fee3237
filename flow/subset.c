/*
 * Subset of the members of a service to which a node keeps links.
 *
 * Load pattern: every node sends to every service, mostly within its zone, and
 * spills to other zones when its own is full or failing. Harm: a node sees the
 * load of its subset only, so a subset that is too small spreads a burst of
 * its callers over too few instances.
 */
#include <string.h>

#include "flow/directory.h"

typedef struct Ranked {
    SpNodeInfo *m;
    int far; /* 1: in another zone */
    uint64_t weight;
} Ranked;

/* Members of this zone first, then by weight. */
static int
compare_ranked(gconstpointer a, gconstpointer b)
{
    const Ranked *x = a, *y = b;

    if (x->far != y->far) {
        return x->far - y->far;
    }
    return x->weight < y->weight ? -1 : x->weight > y->weight;
}

static void
rank_members(Ranked *ranked, SpNodeInfo **list, guint n, const SpSubsetOpts *o)
{
    uint64_t self = SpHash(o->self, strlen(o->self), 0);
    guint i;

    for (i = 0; i < n; i++) {
        ranked[i].m = list[i];
        ranked[i].far = strcmp(list[i]->zone, o->zone) != 0;
        ranked[i].weight = SpHash(list[i]->name, strlen(list[i]->name), self);
    }
    qsort(ranked, n, sizeof *ranked, compare_ranked);
}

/* Number of entries to take from the start of ranked so that wanted of them
   are reachable. An unreachable one is passed over at most once for each that
   is wanted, so that the loss of a zone does not link its callers to all
   others. */
static guint
take_reachable(const Ranked *ranked, guint n, guint wanted)
{
    guint i, reachable = 0;

    for (i = 0; i < n && reachable < wanted && i < 2 * wanted; i++) {
        reachable += !ranked[i].m->unreachable;
    }
    return i;
}

guint
SpSubset_Choose(SpNodeInfo **list, guint n, const SpSubsetOpts *opts,
                SpSubsetCount *count)
{
    Ranked *ranked = g_new(Ranked, n + 1);
    guint i, chosen = 0, near_reachable = 0, wanted;

    memset(count, 0, sizeof *count);
    rank_members(ranked, list, n, opts);
    while (count->near_known < n && !ranked[count->near_known].far) {
        count->near_known++;
    }
    count->far_known = n - count->near_known;
    count->near_chosen =
        take_reachable(ranked, count->near_known, opts->near_max);
    for (i = 0; i < count->near_chosen; i++) {
        near_reachable += !ranked[i].m->unreachable;
        list[chosen++] = ranked[i].m;
    }
    wanted = near_reachable < opts->total_min
                 ? opts->total_min - near_reachable
                 : 0;
    wanted = MAX(wanted, opts->far_min);
    count->far_chosen =
        take_reachable(ranked + count->near_known, count->far_known, wanted);
    for (i = 0; i < count->far_chosen; i++) {
        list[chosen++] = ranked[count->near_known + i].m;
    }
    g_free(ranked);
    return chosen;
}

static void
add_scaled(SpDemand *sum, const SpDemand *d, guint known, guint chosen)
{
    double scale = chosen ? (double)known / chosen : 0;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        sum->offered[i] += scale * d->offered[i];
    }
    sum->capacity += scale * d->capacity;
}

SpDemand
SpSubset_EstimateDemand(const SpSubsetCount *count, const SpDemand *near,
                        const SpDemand *far)
{
    SpDemand sum = {{0}, 0};

    add_scaled(&sum, near, count->near_known, count->near_chosen);
    add_scaled(&sum, far, count->far_known, count->far_chosen);
    return sum;
}
