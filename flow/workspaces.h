/*
 * workspaces: the workspaces of a configuration and the keys of their callers.
 *
 * The keys are hashed with a seed of this process, so that neither the time of
 * a search nor the order of the table tells anything about them.
 */
#ifndef SP_WORKSPACES_H
#define SP_WORKSPACES_H

#include "base/base.h"

/* The rank of a request is that of its route. */
#define SP_RANK_OF_ROUTE (-1)

/* The strings belong to the table. */
typedef struct SpWorkspace {
    const char *name;
    int rank;     /* of its requests, 0 is the most important; or
                     SP_RANK_OF_ROUTE */
    double rate;  /* quota of all nodes together, requests per second; 0: no
                     limit */
    double burst; /* requests beyond it that may come at once */
    guint index;  /* in the table, by SpWorkspaces_At */
} SpWorkspace;

typedef struct SpWorkspaces SpWorkspaces;

SpWorkspaces *SpWorkspaces_New(void);
void SpWorkspaces_Free(SpWorkspaces *ws);
/* SpWorkspaces_Add stores a copy of *w; returns NULL if there is one of that
   name. */
const SpWorkspace *SpWorkspaces_Add(SpWorkspaces *ws, const SpWorkspace *w);
/* SpWorkspaces_AddKey returns 0 if a workspace has that key already. */
int SpWorkspaces_AddKey(SpWorkspaces *ws, const SpWorkspace *w,
                        const char *key);
/* SpWorkspaces_FindKey returns the workspace that has a key, or NULL. */
const SpWorkspace *SpWorkspaces_FindKey(const SpWorkspaces *ws,
                                        const char *key);
/* SpWorkspaces_Find returns the workspace of that name, or NULL. */
const SpWorkspace *SpWorkspaces_Find(const SpWorkspaces *ws, const char *name);
guint SpWorkspaces_Count(const SpWorkspaces *ws);
const SpWorkspace *SpWorkspaces_At(const SpWorkspaces *ws, guint index);

#endif
