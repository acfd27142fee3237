/*
 * Paths: the shares that a route and the routes called downstream of it admit.
 *
 * A node learns the call graph from the calls that its instance makes, and
 * the shares of a route from the answers on it.
 *
 * Load pattern: many nodes, each with a few requests a second on a route whose
 * deepest service admits a tenth of them. Answers are then more than a second
 * apart at each node; shares that expire sooner would let all requests in
 * until the next answer. So the shares stay in force and a single request
 * probes the route when no answer has come for a while.
 */
#include <string.h>

#include "flow/flow.h"

/* Lifetime of an edge of the call graph after the last call. */
#define EDGE_TTL_US (2 * SP_SEC)
/* After this time without an answer one request is let in to probe the route.
 */
#define PROBE_US (3 * SP_SEC)
/* Reported shares expire after this time. */
#define SHARES_TTL_US (10 * SP_SEC)
/* That no instance accepts requests on a route expires sooner, because each
   request that is sent on the route finds it out again. */
#define UNAVAILABLE_TTL_US (200 * SP_MS)
/* Time constant of the smoothed shares: an answer that comes long after the
   one before it counts nearly alone, one that follows at once counts a little.
 */
#define SHARES_SMOOTH_US (300.0 * SP_MS)
#define SHARES_MIN_WEIGHT 0.2
/* Weight of one answer in the smoothed values. */
#define SIZE_WEIGHT 0.05
#define CALLS_WEIGHT 0.1

typedef struct Path {
    SpShares shares;
    int64_t shares_at;         /* 0: never */
    int64_t probed_at;         /* when the last probe was let in */
    int64_t unavailable_until; /* no instance accepts requests until then */
    double calls;              /* smoothed number of nested calls */
    int calls_known;
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
    double elapsed = (double)(now - p->shares_at);
    double weight =
        MAX(SHARES_MIN_WEIGHT, elapsed / (elapsed + SHARES_SMOOTH_US));
    int i;

    if (!p->shares_at || elapsed > SHARES_TTL_US) {
        weight = 1;
    }
    for (i = 0; i < SP_MAX_RANKS; i++) {
        p->shares.of[i] += weight * (s->of[i] - p->shares.of[i]);
    }
    p->shares_at = now;
}

int
SpPaths_TakeProbe(SpPaths *ps, int64_t now, const char *route)
{
    Path *p = get_path(ps, route);

    if (!p->shares_at || now < p->unavailable_until ||
        now - MAX(p->shares_at, p->probed_at) < PROBE_US) {
        return 0;
    }
    p->probed_at = now;
    return 1;
}

void
SpPaths_RecordUnavailable(SpPaths *ps, int64_t now, const char *route)
{
    get_path(ps, route)->unavailable_until = now + UNAVAILABLE_TTL_US;
}

SpShares
SpPaths_Shares(SpPaths *ps, int64_t now, const char *route)
{
    static const SpShares none;
    const Path *p = get_path(ps, route);

    if (now < p->unavailable_until) {
        return none;
    }
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
SpPaths_RecordCalls(SpPaths *ps, const char *route, double calls)
{
    Path *p = get_path(ps, route);

    p->calls += (p->calls_known ? CALLS_WEIGHT : 1) * (calls - p->calls);
    p->calls_known = 1;
}

double
SpPaths_Calls(SpPaths *ps, const char *route)
{
    return get_path(ps, route)->calls;
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
