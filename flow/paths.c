/*
 * Paths: the shares that a route and the routes called downstream of it admit.
 *
 * A node learns the call graph from the calls that its instance makes, and
 * the shares of a route from the answers on it.
 */
#include <string.h>

#include "flow/flow.h"

/* Lifetime of an edge of the call graph after the last call. */
#define EDGE_TTL_US (2 * SP_SEC)
/* Reported shares expire after this time, so that new requests probe the route
   again. */
#define SHARES_TTL_US (1 * SP_SEC)
/* That no instance accepts requests on a route expires sooner, because each
   request that is sent on the route finds it out again. */
#define UNAVAILABLE_TTL_US (200 * SP_MS)
/* Weight of one answer in the smoothed values. */
#define SHARES_WEIGHT 0.2
#define SIZE_WEIGHT 0.05

typedef struct Path {
    SpShares shares;
    int64_t shares_at;    /* 0: never */
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
get_path(SpPaths *ps, const char *route)
{
    Path *p = g_hash_table_lookup(ps->routes, route);

    if (!p) {
        p = g_new0(Path, 1);
        p->shares = SpShares_All();
        p->children =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(ps->routes, g_strdup(route), p);
    }
    return p;
}

void
SpPaths_RecordCall(SpPaths *ps, int64_t now, const char *route,
                   const char *child)
{
    Path *p = get_path(ps, route);
    int64_t *at = g_hash_table_lookup(p->children, child);

    if (!at) {
        at = g_new(int64_t, 1);
        g_hash_table_insert(p->children, g_strdup(child), at);
    }
    *at = now;
}

void
SpPaths_RecordShares(SpPaths *ps, int64_t now, const char *route,
                     const SpShares *s)
{
    Path *p = get_path(ps, route);
    int i;

    if (now - p->shares_at > SHARES_TTL_US) {
        p->shares = *s;
    }
    for (i = 0; i < SP_MAX_RANKS; i++) {
        p->shares.of[i] += SHARES_WEIGHT * (s->of[i] - p->shares.of[i]);
    }
    p->shares_at = now;
}

void
SpPaths_RecordUnavailable(SpPaths *ps, int64_t now, const char *route)
{
    static const SpShares none;
    Path *p = get_path(ps, route);

    p->shares = none;
    p->shares_at = now - SHARES_TTL_US + UNAVAILABLE_TTL_US;
}

SpShares
SpPaths_Shares(SpPaths *ps, int64_t now, const char *route)
{
    const Path *p = get_path(ps, route);

    return now - p->shares_at > SHARES_TTL_US ? SpShares_All() : p->shares;
}

SpShares
SpPaths_DownstreamShares(SpPaths *ps, int64_t now, const char *route)
{
    SpShares min_shares = SpShares_All(), child_shares;
    GHashTableIter it;
    gpointer child, at;

    g_hash_table_iter_init(&it, get_path(ps, route)->children);
    while (g_hash_table_iter_next(&it, &child, &at)) {
        if (now - *(int64_t *)at < EDGE_TTL_US) {
            child_shares = SpPaths_Shares(ps, now, child);
            SpShares_Min(&min_shares, &child_shares);
        }
    }
    return min_shares;
}

void
SpPaths_RecordSize(SpPaths *ps, const char *route, size_t bytes)
{
    Path *p = get_path(ps, route);

    p->bytes += (p->bytes > 0 ? SIZE_WEIGHT : 1) * ((double)bytes - p->bytes);
}

double
SpPaths_Size(SpPaths *ps, const char *route)
{
    return get_path(ps, route)->bytes;
}
