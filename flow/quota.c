/* Quotas: what a node admits, and what it reports. */
#include <math.h>
#include <string.h>

#include "flow/quota.h"

/* Interval of the reports of a node that has something to report, and of
   another. */
#define REPORT_US (200 * SP_MS)
#define IDLE_REPORT_US (400 * SP_MS)
/* A node that has just started keeps to its part for this long: the ledgers
   may have started with it and know no use yet. */
#define START_US (1 * SP_SEC)
/* Most reports without an answer. */
#define MAX_UNANSWERED 10
/* A fraction that is not repeated for this long is over. */
#define WORD_US (5 * SP_SEC)
/* Bounds of the time that a refused caller is told to wait. */
#define WAIT_MIN_US (200 * SP_MS)
#define WAIT_MAX_US (10 * SP_SEC)
/* Demand below this, per second, counts as none. */
#define MIN_DEMAND 0.01
/* Smallest bucket: a rare request passes at once. */
#define MIN_BURST 1.0

typedef struct Entry {
    uint64_t key;
    char *name;
    double rate, burst;
    double tokens; /* of the bucket of this node */
    int64_t at;    /* time of tokens and demand; 0: never used */
    double demand;
    double admit, share;
    double credit; /* sum of the fractions not used for a request */
    int64_t word_at, wait_us;
    int alone;                 /* 1: tokens are of the part when alone */
    int active;                /* 1: in the list of those with counts */
    int64_t offered, admitted; /* not yet reported */
    uint64_t total_admitted, total_refused;
} Entry;

/* A report that may have been lost. */
typedef struct Report {
    uint64_t number;
    GArray *usage; /* of SpUsage */
} Report;

struct SpQuota {
    GHashTable *entries; /* key to Entry, one for each quota */
    GPtrArray *active;   /* Entry with counts to report */
    GQueue unanswered;   /* of Report */
    guint nodes;
    uint64_t rand;
    int64_t word_at;    /* when a coordinator was last heard; 0: never */
    int64_t started_at; /* when one was first heard; 0: never */
    int64_t sent_at;
    int all_due;   /* 1: the next report has the demand of all workspaces */
    uint64_t sent; /* number of the last report */
};

uint64_t
SpQuota_Key(const char *workspace)
{
    return SpHash(workspace, strlen(workspace), 0);
}

static void
free_entry(void *p)
{
    Entry *e = p;

    g_free(e->name);
    g_free(e);
}

SpQuota *
SpQuota_New(uint64_t seed)
{
    SpQuota *q = g_new0(SpQuota, 1);

    q->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_entry);
    q->active = g_ptr_array_new();
    q->nodes = 1;
    q->rand = seed;
    return q;
}

static void
free_report(void *p)
{
    Report *r = p;

    g_array_unref(r->usage);
    g_free(r);
}

void
SpQuota_Free(SpQuota *q)
{
    g_queue_clear_full(&q->unanswered, free_report);
    g_ptr_array_unref(q->active);
    g_hash_table_destroy(q->entries);
    g_free(q);
}

/* Removes the entries of workspaces that have no quota any more. */
static void
remove_old(SpQuota *q, const SpWorkspaces *ws)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, q->entries);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Entry *e = v;
        const SpWorkspace *w = ws ? SpWorkspaces_Find(ws, e->name) : NULL;
        if (!w || w->rate <= 0) {
            g_ptr_array_remove_fast(q->active, e);
            g_hash_table_iter_remove(&it);
        }
    }
}

static Entry *
find_entry(const SpQuota *q, const char *name)
{
    uint64_t key = SpQuota_Key(name);

    return g_hash_table_lookup(q->entries, &key);
}

/* A word on a workspace may come before its first request. */
static Entry *
add_entry(SpQuota *q, const SpWorkspace *w)
{
    Entry *e = g_new0(Entry, 1);

    e->key = SpQuota_Key(w->name);
    e->name = g_strdup(w->name);
    e->tokens = MIN_BURST; /* the process before may have spent the burst */
    e->admit = 1;
    e->credit = SpRand_Unit(&q->rand);
    g_hash_table_insert(q->entries, &e->key, e);
    return e;
}

void
SpQuota_Configure(SpQuota *q, const SpWorkspaces *ws)
{
    guint i, n = ws ? SpWorkspaces_Count(ws) : 0;

    remove_old(q, ws);
    for (i = 0; i < n; i++) {
        const SpWorkspace *w = SpWorkspaces_At(ws, i);
        Entry *e = w->rate > 0 ? find_entry(q, w->name) : NULL;
        if (w->rate > 0 && !e) {
            e = add_entry(q, w);
        }
        if (e) {
            e->rate = w->rate;
            e->burst = MAX(w->burst, MIN_BURST);
        }
    }
}

int
SpQuota_HasLimits(const SpQuota *q)
{
    return g_hash_table_size(q->entries) > 0;
}

void
SpQuota_SetNodes(SpQuota *q, guint n)
{
    q->nodes = MAX(n, 1);
}

int
SpQuota_IsAlone(const SpQuota *q, int64_t now)
{
    return !q->word_at || now - q->word_at > SP_QUOTA_ALONE_US;
}

/* Returns 1 if the node keeps to its own part of the quotas. */
static int
keeps_to_part(const SpQuota *q, int64_t now)
{
    return SpQuota_IsAlone(q, now) || now - q->started_at < START_US;
}

/* The part of the quota of a node that is alone. Its demand has fallen since
   the word, until contact was lost. */
static double
part_of(const SpQuota *q, const Entry *e)
{
    double age = (double)MAX(q->word_at - e->word_at, 0);
    double share = e->share * exp(-age / SP_QUOTA_DEMAND_US);

    return MAX(share, 1.0 / q->nodes);
}

/* Brings the bucket and the demand up to now; part is that of the quota which
   the bucket has. */
static void
refill(Entry *e, int64_t now, double part)
{
    double dt = e->at ? (double)MAX(now - e->at, 0) : 0;
    double cap = MAX(e->burst * part, MIN_BURST);

    e->tokens = MIN(e->tokens + e->rate * part * dt / SP_SEC, cap);
    e->demand *= exp(-dt / SP_QUOTA_DEMAND_US);
    e->at = now;
}

static double
fraction_of(const Entry *e, int64_t now)
{
    return now - e->word_at > WORD_US ? 1 : e->admit;
}

/* Takes the request out of the bucket of this node. */
static int
take_token(Entry *e)
{
    if (e->tokens < 1) {
        return 0;
    }
    e->tokens--;
    return 1;
}

/* Admits each 1/fraction-th request. */
static int
take_credit(Entry *e, double fraction)
{
    if (e->credit + fraction < 1) {
        e->credit += fraction;
        return 0;
    }
    if (!take_token(e)) {
        return 0;
    }
    e->credit += fraction - 1;
    return 1;
}

/* The fraction when contact was lost. */
static int
was_limited(const SpQuota *q, const Entry *e)
{
    return e->word_at && fraction_of(e, q->word_at) < 1;
}

static int
admit_alone(const SpQuota *q, Entry *e, int64_t now)
{
    double part = part_of(q, e);

    refill(e, now, part);
    if (!e->alone && was_limited(q, e)) {
        e->tokens = MIN(e->tokens, 0); /* the quota was used up */
    }
    e->alone = 1;
    return take_token(e);
}

static int
admit_together(Entry *e, int64_t now)
{
    refill(e, now, 1);
    e->alone = 0;
    return take_credit(e, fraction_of(e, now));
}

/* The wait is spread over as long again, so that the callers do not return
   together. */
static int64_t
wait_of(SpQuota *q, const Entry *e, int64_t now, double part)
{
    double wait = (1 - e->tokens) / (e->rate * part) * SP_SEC;

    if (!e->alone && fraction_of(e, now) < 1) {
        wait = MAX(wait, (double)e->wait_us);
    }
    wait = CLAMP(wait, WAIT_MIN_US, WAIT_MAX_US / 2.0);
    return (int64_t)(wait * (1 + SpRand_Unit(&q->rand)));
}

static void
mark_active(SpQuota *q, Entry *e)
{
    if (!e->active) {
        e->active = 1;
        g_ptr_array_add(q->active, e);
    }
}

int
SpQuota_Admit(SpQuota *q, int64_t now, const SpWorkspace *w, int64_t *retry_us)
{
    Entry *e = w->rate > 0 ? find_entry(q, w->name) : NULL;
    int ok, alone = keeps_to_part(q, now);

    if (!e) {
        return 1;
    }
    ok = alone ? admit_alone(q, e, now) : admit_together(e, now);
    mark_active(q, e);
    e->offered++;
    e->demand += (double)SP_SEC / SP_QUOTA_DEMAND_US;
    if (ok) {
        e->admitted++;
        e->total_admitted++;
        return 1;
    }
    e->total_refused++;
    *retry_us = wait_of(q, e, now, alone ? part_of(q, e) : 1);
    return 0;
}

void
SpQuota_Return(SpQuota *q, const SpWorkspace *w)
{
    Entry *e = find_entry(q, w->name);

    if (e) {
        mark_active(q, e);
        e->admitted--;
        e->total_admitted--;
        e->tokens++;
    }
}

static int
is_report_due(const SpQuota *q, int64_t now)
{
    int64_t interval = q->active->len ? REPORT_US : IDLE_REPORT_US;

    return now - q->sent_at >= interval &&
           g_queue_get_length((GQueue *)&q->unanswered) < MAX_UNANSWERED;
}

static double
demand_of(const Entry *e, int64_t now)
{
    return e->demand * exp(-(double)MAX(now - e->at, 0) / SP_QUOTA_DEMAND_US);
}

/* Another coordinator has to know all demand, to divide the quotas by it. */
static void
mark_used(SpQuota *q, int64_t now)
{
    GHashTableIter it;
    gpointer v;

    q->all_due = 0;
    g_hash_table_iter_init(&it, q->entries);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (demand_of(v, now) > MIN_DEMAND) {
            mark_active(q, v);
        }
    }
}

uint64_t
SpQuota_TakeUsage(SpQuota *q, int64_t now, GArray *out)
{
    Report *r;
    guint i;

    if (!is_report_due(q, now)) {
        return 0;
    }
    if (q->all_due) {
        mark_used(q, now);
    }
    for (i = 0; i < q->active->len; i++) {
        Entry *e = g_ptr_array_index(q->active, i);
        SpUsage u = {e->key, e->offered, e->admitted, demand_of(e, now)};
        g_array_append_val(out, u);
        e->offered = e->admitted = 0;
        e->active = 0;
    }
    g_ptr_array_set_size(q->active, 0);
    r = g_new0(Report, 1);
    r->number = ++q->sent;
    r->usage = g_array_copy(out);
    g_queue_push_tail(&q->unanswered, r);
    q->sent_at = now;
    return q->sent;
}

static void
requeue_report(SpQuota *q, const Report *r)
{
    guint i;

    for (i = 0; i < r->usage->len; i++) {
        const SpUsage *u = &g_array_index(r->usage, SpUsage, i);
        Entry *e = g_hash_table_lookup(q->entries, &u->key);
        if (e) {
            mark_active(q, e);
            e->offered += u->offered;
            e->admitted += u->admitted;
        }
    }
}

void
SpQuota_ChangeCoordinator(SpQuota *q, int may_be_lost)
{
    Report *r;

    q->all_due = 1;
    while ((r = g_queue_pop_head(&q->unanswered)) != NULL) {
        if (may_be_lost) {
            requeue_report(q, r);
        }
        free_report(r);
    }
}

static void
end_reports(SpQuota *q, uint64_t number)
{
    Report *r;

    while ((r = g_queue_peek_head(&q->unanswered)) != NULL &&
           r->number <= number) {
        free_report(g_queue_pop_head(&q->unanswered));
    }
}

void
SpQuota_TakeWords(SpQuota *q, int64_t now, uint64_t number,
                  const SpQuotaWord *words, guint n)
{
    guint i;

    q->word_at = now;
    q->started_at = q->started_at ? q->started_at : now;
    end_reports(q, number);
    for (i = 0; i < n; i++) {
        Entry *e = g_hash_table_lookup(q->entries, &words[i].key);
        if (!e) {
            continue;
        }
        e->admit = words[i].admit;
        e->share = words[i].share;
        e->wait_us = words[i].wait_us;
        e->word_at = now;
    }
}

void
SpQuota_Use(const SpQuota *q, int64_t now, GArray *out)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, q->entries);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Entry *e = v;
        SpQuotaUse u = {e->name,
                        e->rate,
                        e->total_admitted,
                        e->total_refused,
                        fraction_of(e, now),
                        demand_of(e, now)};
        if (u.admitted || u.refused) {
            g_array_append_val(out, u);
        }
    }
}
