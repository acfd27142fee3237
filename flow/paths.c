/*
 * Paths: the shares that a route and the routes called downstream of it admit.
 *
 * A node learns the call graph from the calls that its instance makes, and
 * the shares of a route from the answers on it.
 */
#include <string.h>

#include "flow/flow.h"

/* Lifetime of an edge of the call graph after the last call. */
#define CALLED_US (2 * SP_SEC)
/* Reported shares expire after this time, so that new requests probe the route
   again. */
#define TOLD_US (1 * SP_SEC)
/* The state "no instance accepts requests" expires sooner: every request
   checks it again. */
#define NONE_US (200 * SP_MS)
/* Weight of one answer in the smoothed values. */
#define TOLD_WEIGHT 0.2
#define SIZE_WEIGHT 0.05

typedef struct Path {
    SpShares told;
    int64_t told_at;      /* 0: never */
    double bytes;         /* smoothed size of a request and its answer */
    GHashTable *children; /* called route to the time of the last call */
} Path;

struct SpPaths {
    GHashTable *routes; /* name to Path */
};

static void
free_path(gpointer p)
{
    g_hash_table_destroy(((Path *)p)->children);
    g_free(p);
}

SpPaths *
SpPaths_New(void)
{
    SpPaths *ps = g_new0(SpPaths, 1);

    ps->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_path);
    return ps;
}

void
SpPaths_Free(SpPaths *ps)
{
    g_hash_table_destroy(ps->routes);
    g_free(ps);
}

static Path *
path_of(SpPaths *ps, const char *route)
{
    Path *p = g_hash_table_lookup(ps->routes, route);

    if (!p) {
        p = g_new0(Path, 1);
        p->told = SpShares_All();
        p->children =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(ps->routes, g_strdup(route), p);
    }
    return p;
}

void
SpPaths_Called(SpPaths *ps, int64_t now, const char *route, const char *child)
{
    Path *p = path_of(ps, route);
    int64_t *at = g_hash_table_lookup(p->children, child);

    if (!at) {
        at = g_new(int64_t, 1);
        g_hash_table_insert(p->children, g_strdup(child), at);
    }
    *at = now;
}

void
SpPaths_Told(SpPaths *ps, int64_t now, const char *route, const SpShares *s)
{
    Path *p = path_of(ps, route);
    int i;

    if (now - p->told_at > TOLD_US) {
        p->told = *s;
    }
    for (i = 0; i < SP_MAX_RANKS; i++) {
        p->told.of[i] += TOLD_WEIGHT * (s->of[i] - p->told.of[i]);
    }
    p->told_at = now;
}

void
SpPaths_None(SpPaths *ps, int64_t now, const char *route)
{
    static const SpShares nothing;
    Path *p = path_of(ps, route);

    p->told = nothing;
    p->told_at = now - TOLD_US + NONE_US;
}

SpShares
SpPaths_Shares(SpPaths *ps, int64_t now, const char *route)
{
    const Path *p = path_of(ps, route);

    return now - p->told_at > TOLD_US ? SpShares_All() : p->told;
}

SpShares
SpPaths_Behind(SpPaths *ps, int64_t now, const char *route)
{
    SpShares least = SpShares_All(), one;
    GHashTableIter it;
    gpointer child, at;

    g_hash_table_iter_init(&it, path_of(ps, route)->children);
    while (g_hash_table_iter_next(&it, &child, &at)) {
        if (now - *(int64_t *)at < CALLED_US) {
            one = SpPaths_Shares(ps, now, child);
            SpShares_Min(&least, &one);
        }
    }
    return least;
}

void
SpPaths_Sized(SpPaths *ps, const char *route, size_t bytes)
{
    Path *p = path_of(ps, route);

    p->bytes += (p->bytes > 0 ? SIZE_WEIGHT : 1) * ((double)bytes - p->bytes);
}

double
SpPaths_Bytes(SpPaths *ps, const char *route)
{
    return path_of(ps, route)->bytes;
}
