/* Routing configuration: hosts, path prefixes and traffic splits. */
#include <string.h>

#include "flow/flow.h"

static void
free_list(gpointer p)
{
    g_ptr_array_free(p, TRUE);
}

SpRoutes *
SpRoutes_New(uint64_t version)
{
    SpRoutes *rs = g_new0(SpRoutes, 1);

    rs->version = version;
    rs->refs = 1;
    rs->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
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
    g_free(rs->text);
    g_free(rs);
}

static gint
compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const SpPathRoute *x = *(SpPathRoute *const *)a;
    const SpPathRoute *y = *(SpPathRoute *const *)b;
    size_t nx = strlen(x->prefix), ny = strlen(y->prefix);

    return nx < ny ? 1 : nx > ny ? -1 : 0;
}

static void
normalize_host(char *to, size_t n, const char *host)
{
    size_t i;

    for (i = 0; host[i] && host[i] != ':' && i + 1 < n; i++) {
        to[i] = g_ascii_tolower(host[i]);
    }
    to[i] = '\0';
}

void
SpRoutes_Add(SpRoutes *rs, const SpPathRoute *r)
{
    SpPathRoute *copy = g_memdup2(r, sizeof *r);
    char host[sizeof r->host];
    GPtrArray *list;

    normalize_host(host, sizeof host, r->host);
    list = g_hash_table_lookup(rs->hosts, host);
    if (!list) {
        list = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(rs->hosts, g_strdup(host), list);
    }
    g_ptr_array_add(list, copy);
    g_ptr_array_sort(list, compare_prefix_length);
}

SpPathRoute *
SpRoutes_Find(const SpRoutes *rs, const char *host, const char *path)
{
    char name[sizeof((SpPathRoute *)0)->host];
    GPtrArray *list;
    guint i;

    normalize_host(name, sizeof name, host);
    list = g_hash_table_lookup(rs->hosts, name);
    for (i = 0; list && i < list->len; i++) {
        SpPathRoute *r = g_ptr_array_index(list, i);
        if (strncmp(path, r->prefix, strlen(r->prefix)) == 0) {
            return r;
        }
    }
    return NULL;
}

guint
SpRoutes_Count(const SpRoutes *rs)
{
    GHashTableIter it;
    gpointer list;
    guint n = 0;

    g_hash_table_iter_init(&it, rs->hosts);
    while (g_hash_table_iter_next(&it, NULL, &list)) {
        n += ((GPtrArray *)list)->len;
    }
    return n;
}

void
SpRoutes_SetService(SpRoutes *rs, const char *name, const SpServiceConf *c)
{
    g_hash_table_insert(rs->services, g_strdup(name), g_memdup2(c, sizeof *c));
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
