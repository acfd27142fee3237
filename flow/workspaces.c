/* The workspaces of a configuration and the keys of their callers. */
#include <string.h>

#include "flow/workspaces.h"

typedef struct Key {
    uint64_t hash;
    const char *text;
    const SpWorkspace *owner;
} Key;

struct SpWorkspaces {
    SpArena *arena;
    uint64_t seed;
    GPtrArray *list;     /* of SpWorkspace, by index */
    GHashTable *by_name; /* to SpWorkspace */
    GHashTable *keys;    /* of Key to itself */
};

static guint
hash_key(gconstpointer k)
{
    return (guint)((const Key *)k)->hash;
}

static gboolean
equal_keys(gconstpointer a, gconstpointer b)
{
    return SpEqual_ConstTime(((const Key *)a)->text, ((const Key *)b)->text);
}

static Key
make_key(const SpWorkspaces *ws, const char *text)
{
    return (Key){SpHash(text, strlen(text), ws->seed), text, NULL};
}

SpWorkspaces *
SpWorkspaces_New(void)
{
    SpWorkspaces *ws = g_new0(SpWorkspaces, 1);

    ws->arena = SpArena_New();
    ws->seed = (uint64_t)g_random_int() << 32 | g_random_int();
    ws->list = g_ptr_array_new();
    ws->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    ws->keys = g_hash_table_new(hash_key, equal_keys);
    return ws;
}

void
SpWorkspaces_Free(SpWorkspaces *ws)
{
    if (!ws) {
        return;
    }
    g_hash_table_destroy(ws->keys);
    g_hash_table_destroy(ws->by_name);
    g_ptr_array_unref(ws->list);
    SpArena_Free(ws->arena);
    g_free(ws);
}

const SpWorkspace *
SpWorkspaces_Add(SpWorkspaces *ws, const SpWorkspace *w)
{
    SpWorkspace *copy;

    if (g_hash_table_contains(ws->by_name, w->name)) {
        return NULL;
    }
    copy = SpArena_Alloc(ws->arena, sizeof *copy);
    *copy = *w;
    copy->name = SpArena_Str(ws->arena, w->name);
    copy->index = ws->list->len;
    g_ptr_array_add(ws->list, copy);
    g_hash_table_insert(ws->by_name, (gpointer)copy->name, copy);
    return copy;
}

int
SpWorkspaces_AddKey(SpWorkspaces *ws, const SpWorkspace *w, const char *key)
{
    Key k = make_key(ws, key), *copy;

    if (g_hash_table_contains(ws->keys, &k)) {
        return 0;
    }
    copy = SpArena_Alloc(ws->arena, sizeof *copy);
    *copy = k;
    copy->text = SpArena_Str(ws->arena, key);
    copy->owner = w;
    g_hash_table_add(ws->keys, copy);
    return 1;
}

const SpWorkspace *
SpWorkspaces_FindKey(const SpWorkspaces *ws, const char *key)
{
    Key k = make_key(ws, key);
    const Key *found = g_hash_table_lookup(ws->keys, &k);

    return found ? found->owner : NULL;
}

const SpWorkspace *
SpWorkspaces_Find(const SpWorkspaces *ws, const char *name)
{
    return g_hash_table_lookup(ws->by_name, name);
}

guint
SpWorkspaces_Count(const SpWorkspaces *ws)
{
    return ws->list->len;
}

const SpWorkspace *
SpWorkspaces_At(const SpWorkspaces *ws, guint index)
{
    return g_ptr_array_index(ws->list, index);
}
