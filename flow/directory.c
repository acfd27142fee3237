/* Directory of the known nodes. */
#include <string.h>

#include "flow/directory.h"

struct SpDirectory {
    GHashTable *names; /* name to SpNodeInfo; owns both */
    GHashTable *addrs; /* address to SpNodeInfo */
    uint64_t digest;   /* exclusive or of the hashes of all entries */
};

static void
free_entry(gpointer p)
{
    SpNodeInfo *m = p;

    SpName_Free(m->name);
    SpName_Free(m->zone);
    SpName_Free(m->service);
    g_free(m);
}

SpDirectory *
SpDirectory_New(void)
{
    SpDirectory *dir = g_new0(SpDirectory, 1);

    dir->names =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    dir->addrs = g_hash_table_new(g_str_hash, g_str_equal);
    return dir;
}

void
SpDirectory_Free(SpDirectory *dir)
{
    g_hash_table_destroy(dir->addrs);
    g_hash_table_destroy(dir->names);
    g_free(dir);
}

static uint64_t
hash_entry(const SpNodeInfo *m)
{
    uint64_t h = SpHash(m->name, strlen(m->name), 0);

    h = SpHash(m->addr, strlen(m->addr), h);
    h = SpHash(m->zone, strlen(m->zone), h);
    return SpHash(m->service, strlen(m->service), h);
}

static void
remove_entry(SpDirectory *dir, SpNodeInfo *m)
{
    dir->digest ^= hash_entry(m);
    if (g_hash_table_lookup(dir->addrs, m->addr) == m) {
        g_hash_table_remove(dir->addrs, m->addr);
    }
    g_hash_table_remove(dir->names, m->name);
}

static SpNodeInfo *
copy_entry(const SpNodeInfo *m)
{
    SpNodeInfo *copy = g_memdup2(m, sizeof *m);

    copy->name = SpName_New(m->name);
    copy->zone = SpName_New(m->zone);
    copy->service = SpName_New(m->service);
    return copy;
}

int
SpDirectory_Put(SpDirectory *dir, const SpNodeInfo *m, int64_t now)
{
    SpNodeInfo *known = g_hash_table_lookup(dir->names, m->name);
    SpNodeInfo *at_addr = g_hash_table_lookup(dir->addrs, m->addr);
    SpNodeInfo *copy;

    if ((known && known->started_us >= m->started_us) ||
        (at_addr && at_addr != known &&
         at_addr->started_us >= m->started_us)) {
        return 0;
    }
    copy = copy_entry(m);
    if (known) {
        remove_entry(dir, known);
    }
    if (at_addr && at_addr != known) {
        remove_entry(dir, at_addr);
    }
    copy->learned_at = now;
    copy->unreachable = copy->gone = 0;
    g_hash_table_insert(dir->names, (gpointer)copy->name, copy);
    g_hash_table_insert(dir->addrs, copy->addr, copy);
    dir->digest ^= hash_entry(copy);
    return 1;
}

SpNodeInfo *
SpDirectory_Get(const SpDirectory *dir, const char *name)
{
    return g_hash_table_lookup(dir->names, name);
}

guint
SpDirectory_Count(const SpDirectory *dir)
{
    return g_hash_table_size(dir->names);
}

SpNodeInfo *
SpDirectory_Next(const SpDirectory *dir, SpDirectoryIter *it)
{
    gpointer m;

    if (!it->started) {
        g_hash_table_iter_init(&it->it, dir->names);
        it->started = 1;
    }
    return g_hash_table_iter_next(&it->it, NULL, &m) ? m : NULL;
}

uint64_t
SpDirectory_Digest(const SpDirectory *dir)
{
    return dir->digest;
}
