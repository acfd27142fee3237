/* Ledger: reports of members, sums of other ledgers, words to members. */
#include <string.h>

#include "flow/ledger_priv.h"

/* Bounds of the time to which a report refers. */
#define REPORT_MIN_US (200 * SP_MS)
#define REPORT_MAX_US (2 * SP_SEC)
/* Interval at which a member is told all limits: less than a word lasts. */
#define ALL_TOLD_US (2 * SP_SEC)
/* The members are told for this long that a limit has ended. */
#define LIMIT_END_US (2500 * SP_MS)
/* Interval of the words on a workspace that a member uses, if there is no
 * news.
 */
#define TOLD_US (1 * SP_SEC)
/* A fraction or share is news when it has changed by this ratio, and is told
   at once when it has by that one. */
#define NEWS_RATIO 0.95
#define URGENT_RATIO 0.75
/* Most words of each kind to a member at a time; further ones come with the
   next. */
#define WORDS 256
/* A part is held for zones that were not heard for this long after the start.
 */
#define UNHEARD_US (60 * SP_SEC)

SpLedger *
SpLedger_New(const char *zone, int64_t now)
{
    SpLedger *l = g_new0(SpLedger, 1);

    l->accounts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_account);
    l->limited = g_ptr_array_new();
    l->left = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    l->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_source);
    l->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_source);
    l->zones[0] = SpName_New(zone);
    l->nzones = 1;
    l->created = l->updated_at = now;
    return l;
}

void
SpLedger_Free(SpLedger *l)
{
    guint z;

    g_hash_table_destroy(l->members);
    g_hash_table_destroy(l->peers);
    g_hash_table_destroy(l->left);
    g_ptr_array_unref(l->limited);
    g_hash_table_destroy(l->accounts);
    for (z = 0; z < l->nzones; z++) {
        SpName_Free(l->zones[z]);
    }
    g_free(l);
}

/*
 * Configuration.
 */

static void
remove_parts(GHashTable *sources, const Account *a)
{
    GHashTableIter it;
    gpointer s;

    g_hash_table_iter_init(&it, sources);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        g_hash_table_remove(((Source *)s)->parts, &a->key);
    }
}

static void
remove_old(SpLedger *l, const SpWorkspaces *ws)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        const SpWorkspace *w = ws ? SpWorkspaces_Find(ws, a->name) : NULL;
        if (!w || w->rate <= 0) {
            remove_parts(l->members, a);
            remove_parts(l->peers, a);
            g_ptr_array_remove_fast(l->limited, a);
            g_hash_table_iter_remove(&it);
        }
    }
}

void
SpLedger_Configure(SpLedger *l, const SpWorkspaces *ws)
{
    guint i, n = ws ? SpWorkspaces_Count(ws) : 0;

    remove_old(l, ws);
    for (i = 0; i < n; i++) {
        const SpWorkspace *w = SpWorkspaces_At(ws, i);
        uint64_t key = SpQuota_Key(w->name);
        Account *a = g_hash_table_lookup(l->accounts, &key);
        if (w->rate <= 0) {
            continue;
        }
        if (!a) {
            a = new_account(w, l->updated_at);
            g_hash_table_insert(l->accounts, &a->key, a);
        }
        a->rate = w->rate;
        a->burst = w->burst;
    }
}

guint
find_zone(SpLedger *l, const char *name)
{
    guint z;

    for (z = 0; z < l->nzones; z++) {
        if (strcmp(l->zones[z], name) == 0) {
            return z;
        }
    }
    if (l->nzones == SP_LEDGER_ZONES) {
        return SP_LEDGER_ZONES - 1;
    }
    l->zones[l->nzones] = SpName_New(name);
    return l->nzones++;
}

void
SpLedger_SetZones(SpLedger *l, const SpLedgerZone *zones, guint n)
{
    guint i;

    memset(l->nodes, 0, sizeof l->nodes);
    for (i = 0; i < n; i++) {
        l->nodes[find_zone(l, zones[i].name)] += zones[i].nodes;
    }
}

/* The part of all nodes that was not heard since the start. */
static double
unheard_part(const SpLedger *l, int64_t now)
{
    guint z, known = 0, unheard = 0;
    guint members = g_hash_table_size(l->members) + g_hash_table_size(l->left);

    for (z = 0; z < l->nzones; z++) {
        known += l->nodes[z];
        if (!l->heard[z]) {
            unheard += z > 0                    ? l->nodes[z]
                       : l->nodes[0] <= members ? 0
                                                : l->nodes[0] - members;
        }
    }
    return known && now - l->created < UNHEARD_US ? (double)unheard / known
                                                  : 0;
}

/*
 * Members.
 */

void
SpLedger_AddUsage(SpLedger *l, int64_t now, const char *node,
                  const SpUsage *usage, guint n)
{
    Source *s = find_source(l->members, node, 0);
    int64_t t = CLAMP(now - s->heard_at, REPORT_MIN_US, REPORT_MAX_US);
    guint i;

    t = s->heard_at ? t : REPORT_MIN_US;
    if (s->silent) {
        settle_member(s);
    }
    s->silent = 0;
    s->heard_at = now;
    g_hash_table_remove(l->left, node);
    for (i = 0; i < n; i++) {
        Part *p = find_part(l, s, usage[i].key, 1);
        if (!p) {
            continue;
        }
        mention_part(p, now, usage[i].demand);
        p->rate = (double)usage[i].offered * SP_SEC / (double)t;
        p->rate_until = now + t;
        p->account->level -= (double)usage[i].admitted;
        p->account->admitted += (double)usage[i].admitted;
        p->account->changed_at = now;
    }
}

void
SpLedger_RemoveMember(SpLedger *l, const char *node)
{
    Source *s = g_hash_table_lookup(l->members, node);

    if (s) {
        settle_member(s);
        g_hash_table_remove(l->members, node);
        g_hash_table_add(l->left, g_strdup(node));
    }
}

void
SpLedger_MemberKeys(const SpLedger *l, GArray *out)
{
    GHashTableIter it;
    gpointer name, s;

    g_hash_table_iter_init(&it, l->members);
    while (g_hash_table_iter_next(&it, &name, &s)) {
        uint64_t key = SpQuota_Key(name);
        if (!((Source *)s)->silent) {
            g_array_append_val(out, key);
        }
    }
}

guint
SpLedger_Members(const SpLedger *l)
{
    GHashTableIter it;
    gpointer s;
    guint n = 0;

    g_hash_table_iter_init(&it, l->members);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        n += !((Source *)s)->silent;
    }
    return n;
}

static void
add_word(GArray *out, const Account *a, double share)
{
    SpQuotaWord w = {a->key, a->admit, share, a->wait_us};

    g_array_append_val(out, w);
}

/* Returns 1 unless a and b are within a ratio below 1. */
static int
differ(double a, double b, double ratio)
{
    return a < b * ratio || b < a * ratio;
}

static int
is_news(const Part *p, int64_t now, double share)
{
    double admit = p->account->admit;

    if (differ(admit, p->told_admit, URGENT_RATIO)) {
        return 1;
    }
    return p->marked && (now - p->told_at >= TOLD_US ||
                         differ(admit, p->told_admit, NEWS_RATIO) ||
                         differ(share, p->told_share, URGENT_RATIO));
}

/* Adds what is news on the workspaces that the member uses. */
static void
add_used(const SpLedger *l, const Source *s, GArray *out)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v) && out->len < WORDS) {
        Part *p = v;
        double share = share_of(p->account, p->demand);
        if (!is_news(p, l->updated_at, share)) {
            continue;
        }
        add_word(out, p->account, share);
        p->told_admit = p->account->admit;
        p->told_share = share;
        p->told_at = l->updated_at;
        p->marked = 0;
    }
}

/* Adds the workspaces that are limited since the last words, now and then all
   that are limited. Where they are too many for one message, each member is
   told of all in turn. */
static void
add_limited(const SpLedger *l, Source *s, GArray *out)
{
    guint i, n = MIN(l->limited->len, WORDS);
    int all =
        n < l->limited->len || l->updated_at - s->all_told_at >= ALL_TOLD_US;

    for (i = 0; i < n; i++) {
        const Account *a =
            g_ptr_array_index(l->limited, (s->word_at + i) % l->limited->len);
        const Part *p = g_hash_table_lookup(s->parts, &a->key);
        if (all || (!p && a->limited_since >= s->told_at)) {
            add_word(out, a, p ? share_of(a, p->demand) : 0);
        }
    }
    s->told_at = l->updated_at;
    s->all_told_at = all ? s->told_at : s->all_told_at;
    s->word_at += n;
}

void
SpLedger_Words(SpLedger *l, const char *node, GArray *out)
{
    Source *s = g_hash_table_lookup(l->members, node);

    if (s) {
        add_used(l, s, out);
        add_limited(l, s, out);
    }
}

/*
 * Steps.
 */

int
SpLedger_TakeUrgent(SpLedger *l)
{
    int urgent = l->is_urgent;

    l->is_urgent = 0;
    return urgent;
}

/* Notes a fraction that has changed much, and accounts of which the members
   are told. */
static void
note_limit(SpLedger *l, Account *a, int64_t now)
{
    if (!a->limited_at || now - a->limited_at >= LIMIT_END_US) {
        return;
    }
    g_ptr_array_add(l->limited, a);
    if (differ(a->admit, a->told, URGENT_RATIO)) {
        a->told = a->admit;
        l->is_urgent = 1;
    }
}

/* Nobody asks this ledger any more: the members report to another one. */
static void
drop_members(SpLedger *l)
{
    GHashTableIter it;
    gpointer s;

    g_hash_table_iter_init(&it, l->members);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        settle_member(s);
        g_hash_table_iter_remove(&it);
    }
}

/* The process stood still: the others were not silent, and the members have
   turned to another ledger. */
static void
forget_deaf_time(SpLedger *l, int64_t gap)
{
    GHashTableIter it;
    gpointer s;

    drop_members(l);
    g_hash_table_iter_init(&it, l->peers);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        ((Source *)s)->heard_at += gap;
    }
}

void
SpLedger_Update(SpLedger *l, int64_t now)
{
    double dt_s = (double)(now - l->updated_at) / SP_SEC;
    GHashTableIter it;
    gpointer v;

    if (dt_s <= 0) {
        return;
    }
    if (now - l->updated_at > SP_QUOTA_ALONE_US) {
        forget_deaf_time(l, now - l->updated_at);
    }
    else if (SpLedger_Members(l) == 0) {
        drop_members(l);
    }
    l->updated_at = now;
    l->unheard = unheard_part(l, now);
    step_sources(l, now, dt_s);
    g_ptr_array_set_size(l->limited, 0);
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        step_account(a, now, dt_s, l->unheard);
        note_limit(l, a, now);
    }
}

void
SpLedger_Limits(const SpLedger *l, GArray *out)
{
    guint i;

    for (i = 0; i < l->limited->len; i++) {
        const Account *a = g_ptr_array_index(l->limited, i);
        SpLedgerLimit limit = {a->key,   a->name,    a->rate, a->admit,
                               a->level, a->offered, a->held};
        if (a->admit < 1) {
            g_array_append_val(out, limit);
        }
    }
}
