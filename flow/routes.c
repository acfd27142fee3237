/* Routing configuration: hosts, path prefixes and traffic splits. */
#include <string.h>

#include "flow/flow.h"

/* The routes of a host. */
typedef struct SpHostRoutes {
    GHashTable *prefixes; /* prefix to SpPathRoute */
    GArray *lengths;      /* size_t: those that occur, the longest first */
} SpHostRoutes;

static void
free_host(gpointer p)
{
    SpHostRoutes *h = p;

    g_hash_table_destroy(h->prefixes);
    g_array_unref(h->lengths);
    g_free(h);
}

SpRoutes *
SpRoutes_New(uint64_t version)
{
    SpRoutes *rs = g_new0(SpRoutes, 1);

    rs->version = version;
    rs->refs = 1;
    rs->arena = SpArena_New();
    SpRankMap_Init(&rs->ranks);
    rs->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_host);
    rs->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rs;
}

SpRoutes *
SpRoutes_Ref(SpRoutes *rs)
{
    rs->refs++;
    return rs;
}

void
SpRoutes_Unref(SpRoutes *rs)
{
    if (!rs || --rs->refs > 0) {
        return;
    }
    g_hash_table_destroy(rs->hosts);
    g_hash_table_destroy(rs->services);
    SpWorkspaces_Free(rs->workspaces);
    SpArena_Free(rs->arena);
    g_free(rs->text);
    g_free(rs);
}

/* Returns the name in lower case and without a port; the caller frees it. */
static char *
normalize_host(const char *host)
{
    return g_ascii_strdown(host, (gssize)strcspn(host, ":"));
}

static SpHostRoutes *
routes_of_host(SpRoutes *rs, const char *host)
{
    char *name = normalize_host(host);
    SpHostRoutes *h = g_hash_table_lookup(rs->hosts, name);

    if (!h) {
        h = g_new0(SpHostRoutes, 1);
        h->prefixes = g_hash_table_new(g_str_hash, g_str_equal);
        h->lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
        g_hash_table_insert(rs->hosts, SpArena_Str(rs->arena, name), h);
    }
    g_free(name);
    return h;
}

static void
add_length(GArray *lengths, size_t n)
{
    guint i = 0;

    while (i < lengths->len && g_array_index(lengths, size_t, i) > n) {
        i++;
    }
    if (i == lengths->len || g_array_index(lengths, size_t, i) != n) {
        g_array_insert_val(lengths, i, n);
    }
}

static SpSplitTarget *
copy_parts(SpArena *a, const SpPathRoute *r)
{
    size_t bytes = (size_t)r->nparts * sizeof *r->parts;
    SpSplitTarget *parts = SpArena_Alloc(a, bytes);
    int i;

    memcpy(parts, r->parts, bytes);
    for (i = 0; i < r->nparts; i++) {
        parts[i].service = SpArena_Str(a, parts[i].service);
    }
    return parts;
}

void
SpRoutes_Add(SpRoutes *rs, const SpPathRoute *r)
{
    SpPathRoute *copy = SpArena_Alloc(rs->arena, sizeof *copy);
    SpHostRoutes *h = routes_of_host(rs, r->host);

    *copy = *r;
    copy->name = SpArena_Str(rs->arena, r->name);
    copy->host = NULL; /* the key of its table */
    copy->prefix = SpArena_Str(rs->arena, r->prefix);
    copy->parts = copy_parts(rs->arena, r);
    rs->nroutes++;
    rs->longest_us =
        MAX(rs->longest_us,
            r->timeout_us > 0 ? r->timeout_us : SP_DEFAULT_DEADLINE_US);
    rs->route_ranks = SpRankSet_Add(rs->route_ranks, r->rank);
    if (!g_hash_table_contains(h->prefixes, copy->prefix)) {
        g_hash_table_insert(h->prefixes, (gpointer)copy->prefix, copy);
        add_length(h->lengths, strlen(copy->prefix));
    }
}

void
SpRoutes_SetWorkspaces(SpRoutes *rs, SpWorkspaces *ws)
{
    SpRankSet set = 0;
    guint i;

    rs->workspaces = ws;
    for (i = 0; i < SpWorkspaces_Count(ws); i++) {
        int rank = SpWorkspaces_At(ws, i)->rank;
        set = rank == SP_RANK_OF_ROUTE ? set | rs->route_ranks
                                       : SpRankSet_Add(set, rank);
    }
    SpRankMap_Build(&rs->ranks, set, rs->route_ranks);
}

/* Tries the lengths that prefixes have, the longest first: neither a long path
   nor many routes take long. */
static SpPathRoute *
find_prefix(const SpHostRoutes *h, const char *path)
{
    size_t n = strcspn(path, "?"), length;
    char *prefix = g_strndup(path, n);
    SpPathRoute *r = NULL;
    guint i;

    for (i = 0; i < h->lengths->len && !r; i++) {
        length = g_array_index(h->lengths, size_t, i);
        if (length > n || path[length - 1] != '/') {
            continue;
        }
        prefix[length] = '\0';
        r = g_hash_table_lookup(h->prefixes, prefix);
    }
    g_free(prefix);
    return r;
}

SpPathRoute *
SpRoutes_Find(const SpRoutes *rs, const char *host, const char *path)
{
    char *name = normalize_host(host);
    const SpHostRoutes *h = g_hash_table_lookup(rs->hosts, name);

    g_free(name);
    return h ? find_prefix(h, path) : NULL;
}

guint
SpRoutes_Count(const SpRoutes *rs)
{
    return rs->nroutes;
}

void
SpRoutes_SetService(SpRoutes *rs, const char *name, const SpServiceConf *c)
{
    SpServiceConf *copy = g_memdup2(c, sizeof *c);

    copy->check = SpArena_Str(rs->arena, c->check);
    g_hash_table_insert(rs->services, g_strdup(name), copy);
}

const SpServiceConf *
SpRoutes_Service(const SpRoutes *rs, const char *name)
{
    return g_hash_table_lookup(rs->services, name);
}

const char *
SpPathRoute_NextService(SpPathRoute *r)
{
    SpSplitTarget *best = &r->parts[0];
    double sum = 0;
    int i;

    if (r->nparts == 1) {
        return best->service;
    }
    for (i = 0; i < r->nparts; i++) {
        SpSplitTarget *p = &r->parts[i];
        p->credit += p->weight;
        sum += p->weight;
        if (p->credit > best->credit) {
            best = p;
        }
    }
    best->credit -= sum;
    return best->service;
}
