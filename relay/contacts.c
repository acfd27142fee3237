/*
 * The contacts of a zone: its first nodes by name that can be reached. Two of
 * them follow the store, and the first one coordinates the quotas of the zone.
 */
#include <string.h>

#include "relay/link.h"

#define ZONE_CONTACTS 3

static int
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp((*(SpNodeInfo *const *)a)->name,
                  (*(SpNodeInfo *const *)b)->name);
}

GPtrArray *
list_zone(const Relay *n, const char *zone)
{
    GPtrArray *list = g_ptr_array_new();
    SpDirectoryIter it = {0};
    SpNodeInfo *m;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        if (!m->gone && strcmp(m->zone, zone) == 0) {
            g_ptr_array_add(list, m);
        }
    }
    g_ptr_array_sort(list, compare_names);
    return list;
}

static int
is_self(const Relay *n, const SpNodeInfo *m)
{
    return strcmp(m->name, n->settings.name) == 0;
}

static void
want_contacts_of(Relay *n, const char *zone, int64_t now)
{
    GPtrArray *list = list_zone(n, zone);
    guint i, reachable = 0;

    for (i = 0; i < list->len && reachable < ZONE_CONTACTS; i++) {
        const SpNodeInfo *m = g_ptr_array_index(list, i);
        if (!is_self(n, m)) {
            want_peer(n, m, now)->contact = 1 + reachable;
            reachable += !m->unreachable;
        }
    }
    g_ptr_array_unref(list);
}

int
is_contact(const Relay *n, int reachable_only)
{
    GPtrArray *list = list_zone(n, n->settings.zone);
    guint i, rank = 0;

    for (i = 0; i < list->len; i++) {
        const SpNodeInfo *m = g_ptr_array_index(list, i);
        if (is_self(n, m)) {
            break;
        }
        rank += !(reachable_only && m->unreachable);
    }
    g_ptr_array_unref(list);
    return rank < ZONE_CONTACTS;
}

GHashTable *
count_zones(const Relay *n)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    SpDirectoryIter it = {0};
    SpNodeInfo *m;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(zones, m->zone));
        if (!m->gone) {
            g_hash_table_insert(zones, (gpointer)m->zone,
                                GUINT_TO_POINTER(count + 1));
        }
    }
    return zones;
}

/* The coordinators of quotas exchange their sums. */
static void
want_far_contacts(Relay *n, int64_t now)
{
    GHashTable *zones = count_zones(n);
    GHashTableIter it;
    gpointer zone;

    g_hash_table_iter_init(&it, zones);
    while (g_hash_table_iter_next(&it, &zone, NULL)) {
        if (strcmp(zone, n->settings.zone) != 0) {
            want_contacts_of(n, zone, now);
        }
    }
    g_hash_table_destroy(zones);
}

void
want_contacts(Relay *n, int64_t now)
{
    want_contacts_of(n, n->settings.zone, now);
    if (has_quotas(n) && is_contact(n, 1)) {
        want_far_contacts(n, now);
    }
}
