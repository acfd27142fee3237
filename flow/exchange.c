/* Sums that the ledgers exchange. */
#include <string.h>

#include "flow/ledger_priv.h"

/* An account follows the level of another ledger for this time after its
   start. */
#define START_US (3 * SP_SEC)

static void
unmark_parts(Source *s)
{
    GHashTableIter it;
    gpointer p;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        ((Part *)p)->marked = 0;
    }
}

/* What a full message does not mention has not changed. */
static void
end_unmentioned(Source *s)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Part *p = v;
        if (!p->marked) {
            settle_part(p);
            p->rate = 0;
        }
    }
}

static void
add_sum(SpLedger *l, int64_t now, Source *s, const SpQuotaSum *sum)
{
    int is_new = !find_part(l, s, sum->key, 0);
    Part *p = find_part(l, s, sum->key, 1);

    if (!p) {
        return;
    }
    mention_part(p, now, sum->demand);
    if (!is_new) {
        p->account->level -= sum->admitted - p->admitted;
    }
    else if (now - p->account->created < START_US) {
        p->account->level = MIN(p->account->level, sum->level);
    }
    p->admitted = sum->admitted;
    p->rate = sum->offered;
    p->held = sum->held;
}

static int
has_key(const SpLedgerPeer *from, uint64_t key)
{
    guint i;

    for (i = 0; i < from->nmembers && from->members[i] != key; i++) {
    }
    return i < from->nmembers;
}

/* Nothing is held for a silent member that reports to another ledger. */
static void
drop_moved(SpLedger *l, const SpLedgerPeer *from)
{
    GHashTableIter it;
    gpointer name, v;

    g_hash_table_iter_init(&it, l->members);
    while (g_hash_table_iter_next(&it, &name, &v)) {
        Source *s = v;
        if (s->silent && has_key(from, SpQuota_Key(name))) {
            settle_member(s);
            g_hash_table_iter_remove(&it);
        }
    }
}

void
SpLedger_AddSums(SpLedger *l, int64_t now, const SpLedgerPeer *from,
                 const SpQuotaSum *sums, guint n)
{
    guint i, z = find_zone(l, from->zone);
    Source *s = find_source(l->peers, from->name, z);

    l->heard[z] = 1;
    if (s->epoch != from->epoch) {
        g_hash_table_remove_all(s->parts);
        s->epoch = from->epoch;
    }
    s->silent = 0;
    s->zone = z;
    s->heard_at = now;
    unmark_parts(s);
    for (i = 0; i < n; i++) {
        add_sum(l, now, s, &sums[i]);
    }
    if (from->full) {
        end_unmentioned(s);
    }
    drop_moved(l, from);
}

void
SpLedger_RemovePeer(SpLedger *l, const char *name)
{
    Source *s = g_hash_table_lookup(l->peers, name);
    GHashTableIter it;
    gpointer p;

    if (!s) {
        return;
    }
    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        settle_part(p);
        ((Part *)p)->demand = ((Part *)p)->rate = ((Part *)p)->share = 0;
    }
}

void
SpLedger_Sums(const SpLedger *l, int64_t since, int full, GArray *out)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Account *a = v;
        SpQuotaSum sum = {a->key,      a->admitted,     a->own_demand,
                          a->own_rate, a->held_members, a->level};
        if (a->changed_at > since && (full || a->hot)) {
            g_array_append_val(out, sum);
        }
    }
}
