/* Sources of the ledger: the members that report to it, and other ledgers. */
#include <math.h>

#include "flow/ledger_priv.h"

/* A member or a ledger that was not heard for this long is silent. */
#define MEMBER_SILENT_US (1000 * SP_MS)
#define PEER_SILENT_US (700 * SP_MS)
/* A part is held for this long: a node that is cut off may be alive. */
#define HOLD_US (600 * SP_SEC)
/* The present rate of another ledger is known for this long; after that its
   smoothed demand is the better guess. */
#define NEWS_US (500 * SP_MS)
/* Demand below this, per second, counts as none. */
#define MIN_DEMAND 0.001
/* The members of a silent ledger have gone to others of its zone when no more
   than this part of what is held for it is left. */
#define TAKEN_OVER 0.1

void
free_source(void *p)
{
    Source *s = p;

    g_hash_table_destroy(s->parts);
    g_free(s);
}

Source *
find_source(GHashTable *sources, const char *name, guint zone)
{
    Source *s = g_hash_table_lookup(sources, name);

    if (!s) {
        s = g_new0(Source, 1);
        s->zone = zone;
        s->parts =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
        g_hash_table_insert(sources, g_strdup(name), s);
    }
    return s;
}

Part *
find_part(SpLedger *l, Source *s, uint64_t key, int add)
{
    Part *p = g_hash_table_lookup(s->parts, &key);
    Account *a;

    if (p || !add) {
        return p;
    }
    a = g_hash_table_lookup(l->accounts, &key);
    if (a) {
        p = g_new0(Part, 1);
        p->account = a;
        g_hash_table_insert(s->parts, &a->key, p);
    }
    return p;
}

double
share_of(const Account *a, double demand)
{
    return a->total > 0 ? demand / a->total * (1 - a->held) : 0;
}

void
settle_part(Part *p)
{
    p->account->level += p->assumed;
    p->assumed = 0;
    p->held = 0;
}

void
mention_part(Part *p, int64_t now, double demand)
{
    settle_part(p);
    p->demand = demand;
    p->share = share_of(p->account, demand);
    p->mentioned_at = now;
    p->marked = 1;
}

void
settle_member(Source *s)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Part *p = v;
        p->account->admitted -= p->assumed;
        settle_part(p);
    }
}

/* Draws on behalf of a source. */
static void
draw(Part *p, double requests)
{
    p->assumed += requests;
    p->account->level -= requests;
}

/* The other ledgers learn of it as if the member had reported. */
static void
draw_for_member(Part *p, double requests)
{
    draw(p, requests);
    p->account->admitted += requests;
}

/* The part of a source that falls silent is that of when it was last heard:
   its demand, and that of the others, has changed since. */
static double
part_to_hold(const Source *s, const Part *p)
{
    double age = (double)MAX(s->heard_at - p->mentioned_at, 0);

    return p->share * exp(-age / SP_QUOTA_DEMAND_US);
}

/* Holds the parts of a source that has fallen silent: also of what is left of
   the burst. */
static void
hold_parts(Source *s, void (*draw_for)(Part *p, double requests))
{
    GHashTableIter it;
    gpointer v;

    s->silent = 1;
    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Part *p = v;
        p->held = part_to_hold(s, p);
        draw_for(p, MAX(p->account->level, 0) * p->held);
    }
}

static void
step_member(Source *s, int64_t now, double dt_s, double decay)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Part *p = v;
        if (s->silent) {
            p->account->held_members += p->held;
            p->account->changed_at = now;
            draw_for_member(p, p->account->rate * p->held * dt_s);
            continue;
        }
        p->demand *= decay;
        p->account->own_demand += p->demand;
        p->account->own_now += now < p->rate_until ? p->rate : 0;
        if (p->demand < MIN_DEMAND && !p->marked) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Adds up the other ledgers. */
static void
add_peer(Source *s, int64_t now, double decay)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Part *p = v;
        if (s->silent) {
            p->account->stale[s->zone] += p->held;
            continue;
        }
        p->demand *= decay;
        p->account->fresh[s->zone] += p->demand;
        p->account->far_rate +=
            now - p->mentioned_at < NEWS_US ? p->rate : p->demand;
        p->account->held_far += p->held;
    }
}

/* Draws for what another ledger has not said yet: while it is heard, it admits
   what it is offered; a silent one uses what is held for its zone. */
static void
draw_for_peer(const Source *s, double dt_s)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Part *p = v;
        Account *a = p->account;
        double stale = a->stale[s->zone];
        if (!s->silent) {
            draw(p, p->demand * a->admit * dt_s);
        }
        else if (held_for_zone(a, s->zone) <= stale * TAKEN_OVER) {
            p->held = 0;
        }
        else {
            draw(p,
                 a->rate * p->held * held_for_zone(a, s->zone) / stale * dt_s);
        }
    }
}

/* Marks those that have fallen silent, and forgets those that are for long. */
static void
check_silence(GHashTable *sources, int64_t now, int64_t silent_us,
              void (*draw_for)(Part *p, double requests))
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, sources);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Source *s = v;
        if (now - s->heard_at > HOLD_US) {
            g_hash_table_iter_remove(&it);
        }
        else if (!s->silent && now - s->heard_at > silent_us) {
            hold_parts(s, draw_for);
        }
    }
}

static void
clear_sums(SpLedger *l)
{
    GHashTableIter it;
    gpointer v;
    guint z;

    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        a->own_now = a->own_demand = a->far_rate = 0;
        a->held_members = a->held_far = 0;
        for (z = 0; z < SP_LEDGER_ZONES; z++) {
            a->fresh[z] = a->stale[z] = 0;
        }
    }
}

/* The demand of the members is that of the own zone. */
static void
add_totals(SpLedger *l)
{
    GHashTableIter it;
    gpointer v;
    guint z;

    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        a->fresh[0] += a->own_demand;
        a->total = 0;
        for (z = 0; z < l->nzones; z++) {
            a->total += a->fresh[z];
        }
    }
}

void
step_sources(SpLedger *l, int64_t now, double dt_s)
{
    double decay = exp(-dt_s * SP_SEC / SP_QUOTA_DEMAND_US);
    GHashTableIter it;
    gpointer s;

    check_silence(l->members, now, MEMBER_SILENT_US, draw_for_member);
    check_silence(l->peers, now, PEER_SILENT_US, draw);
    clear_sums(l);
    g_hash_table_iter_init(&it, l->members);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        step_member(s, now, dt_s, decay);
    }
    g_hash_table_iter_init(&it, l->peers);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        add_peer(s, now, decay);
    }
    add_totals(l);
    g_hash_table_iter_init(&it, l->peers);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        draw_for_peer(s, dt_s);
    }
}
