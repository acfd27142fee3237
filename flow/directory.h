/*
 * directory: the table of the nodes that a node knows, and the choice of
 * those to which it keeps links.
 *
 * Each node has the whole directory, because an entry is small and changes are
 * rare. It keeps links to a subset only, so that the cost of a node does not
 * grow with the number of nodes.
 */
#ifndef SP_DIRECTORY_H
#define SP_DIRECTORY_H

#include "flow/flow.h"

#define SP_NODE_ADDR 32

/* The names belong to the directory, or to whoever made the struct. */
typedef struct SpNodeInfo {
    const char *name;
    const char *zone;
    const char *service;
    char addr[SP_NODE_ADDR]; /* for links */
    uint64_t started_us; /* wall clock at the start of its process; 0: unknown
                          */
    int64_t learned_at;  /* when this entry was added or replaced here */
    int unreachable;     /* 1: the last attempt to link to it failed */
    int gone; /* 1: so did all attempts for a while: not chosen until
                 it shows itself again */
} SpNodeInfo;

typedef struct SpDirectory SpDirectory;

SpDirectory *SpDirectory_New(void);
void SpDirectory_Free(SpDirectory *dir);
/*
 * SpDirectory_Put stores a copy of *m and its names unless the entry of that
 * name has the same or a later start. A node that started later at the address
 * of another one replaces it. Returns 1 if the directory changed.
 */
int SpDirectory_Put(SpDirectory *dir, const SpNodeInfo *m, int64_t now);
/* SpDirectory_Get returns NULL if the name is unknown. */
SpNodeInfo *SpDirectory_Get(const SpDirectory *dir, const char *name);
guint SpDirectory_Count(const SpDirectory *dir);
/* SpDirectory_Next iterates in no particular order; start with a zeroed
   iterator. Returns NULL at the end. */
typedef struct SpDirectoryIter {
    GHashTableIter it;
    int started;
} SpDirectoryIter;
SpNodeInfo *SpDirectory_Next(const SpDirectory *dir, SpDirectoryIter *it);
/* SpDirectory_Digest is equal for directories of the same nodes; the order and
   the times of the starts do not count. */
uint64_t SpDirectory_Digest(const SpDirectory *dir);

/*
 * Subset: the nodes of one service to which a node keeps links. Members are
 * ranked by a hash of both names (rendezvous hashing): every node gets another
 * subset, all targets get about as many links, and a change of members moves
 * few links.
 */
typedef struct SpSubsetOpts {
    const char *self; /* name of the node that chooses */
    const char *zone; /* its zone */
    guint near_max;   /* most members of its own zone */
    guint far_min;    /* fewest members of other zones */
    guint total_min;  /* members in all, filled up from other zones */
} SpSubsetOpts;

/* What was chosen among how many, in this zone and in the others. */
typedef struct SpSubsetCount {
    guint near_known, near_chosen, far_known, far_chosen;
} SpSubsetCount;

/*
 * SpSubset_Choose moves the chosen ones among the n members of one service to
 * the start of list and returns their number; the rest of list is undefined.
 * The node itself must not be in list. An unreachable member that is chosen is
 * tried again, but does not count towards the numbers of opts: the next one is
 * chosen beside it.
 */
guint SpSubset_Choose(SpNodeInfo **list, guint n, const SpSubsetOpts *opts,
                      SpSubsetCount *count);
/* SpSubset_EstimateDemand returns the demand on all instances of a service;
   near and far are the sums over the chosen ones. */
SpDemand SpSubset_EstimateDemand(const SpSubsetCount *count,
                                 const SpDemand *near, const SpDemand *far);

#endif
