/* Division of the admitted share of a rank between the workspaces. */
#include <math.h>
#include <string.h>

#include "flow/fairshare.h"

/* Counts fade to 1/e in this time. */
#define FADE_US (4.0 * SP_SEC)
/* Requests that a use is shrunk by, for each node that one heard stands for.
 */
#define PRIOR 12.0
/* The table: a workspace replaces the least demanding one of its set. */
#define SETS 256
#define WAYS 4
/* A use beyond this many times the mean doesn't count for the usual one. */
#define MUCH 2.0
/* A use within this factor of the usual one counts as usual. */
#define BAND 1.5
/* Histogram of the uses: STEPS buckets for each doubling, from MIN_USE on. */
#define STEPS 8
#define MIN_USE 0.125
#define BUCKETS 80
/* How often the histograms are made anew. */
#define STEP_US (100 * SP_MS)
/* A workspace with fewer requests is left out of them. */
#define MIN_COUNT 0.01
/* Halvings of the interval in the search of the level. */
#define HALVINGS 24

/* Requests that fade, of this node by rank and of the others. */
typedef struct Count {
    double own[SP_MAX_RANKS], others;
    int64_t at;
} Count;

/* A workspace. */
typedef struct Slot {
    uint32_t key;   /* 0: free */
    uint32_t fresh; /* own requests since the last report */
    int group;      /* in flow/fairlift.h, as of the last request */
    double weight;  /* of its quota, relative to the mean */
    Count count;
} Slot;

/* Requests of a rank by use. */
typedef struct Uses {
    double in[BUCKETS];
    double total;
} Uses;

struct SpFairShare {
    Slot slots[SETS][WAYS];
    Slot unnamed;           /* requests without a workspace */
    Count total;            /* of all workspaces */
    double taken, received; /* reports, fading */
    int64_t reports_at;
    Uses uses[SP_MAX_RANKS];
    SpFairCounts groups;
    int64_t uses_at;
    double usual; /* use that most have */
    uint32_t fresh;
    guint workspaces, nodes;
    double mean_rate;
    GHashTable *rates; /* key to the quota in thousandths */
};

SpFairShare *
SpFairShare_New(void)
{
    SpFairShare *fs = g_new0(SpFairShare, 1);

    fs->workspaces = fs->nodes = 1;
    fs->usual = 1;
    fs->rates = g_hash_table_new(NULL, NULL);
    fs->unnamed.group = SP_FAIR_GROUPS - 1;
    return fs;
}

void
SpFairShare_Free(SpFairShare *fs)
{
    g_hash_table_destroy(fs->rates);
    g_free(fs);
}

void
SpFairShare_SetNodes(SpFairShare *fs, guint nodes)
{
    fs->nodes = MAX(nodes, 1);
}

/* What a quota entitles to, relative to the mean. */
static double
weight_of(const SpFairShare *fs, double rate)
{
    return rate > 0 && fs->mean_rate > 0 ? rate / fs->mean_rate : 1;
}

double
SpFairShare_Part(const SpFairShare *fs, double rate)
{
    return MIN(weight_of(fs, rate) / fs->workspaces, 1);
}

static uint32_t
key_of(const char *workspace)
{
    uint32_t key = (uint32_t)SpHash(workspace, strlen(workspace), 0);

    return key ? key : 1;
}

static double
weight_of_key(const SpFairShare *fs, uint32_t key)
{
    return weight_of(fs, GPOINTER_TO_UINT(g_hash_table_lookup(
                             fs->rates, GUINT_TO_POINTER(key))) /
                             1000.0);
}

void
SpFairShare_Configure(SpFairShare *fs, const SpFairQuota *list, guint n)
{
    double sum = 0;
    guint i, rated = 0;
    Slot *s;

    fs->workspaces = MAX(n, 1);
    g_hash_table_remove_all(fs->rates);
    for (i = 0; i < n; i++) {
        if (list[i].rate > 0) {
            sum += list[i].rate;
            rated++;
            g_hash_table_insert(
                fs->rates, GUINT_TO_POINTER(key_of(list[i].workspace)),
                GUINT_TO_POINTER((guint)CLAMP(list[i].rate * 1000, 1, 4e9)));
        }
    }
    fs->mean_rate = rated ? sum / rated : 0;
    for (i = 0; i < SETS * WAYS; i++) {
        s = &fs->slots[i / WAYS][i % WAYS];
        s->weight = weight_of_key(fs, s->key);
    }
}

guint
SpFairShare_Tracked(const SpFairShare *fs)
{
    guint i, k, n = 0;

    for (i = 0; i < SETS; i++) {
        for (k = 0; k < WAYS; k++) {
            n += fs->slots[i][k].key != 0;
        }
    }
    return n;
}

static double
faded(int64_t since, int64_t now)
{
    return now > since ? exp(-(double)(now - since) / FADE_US) : 1;
}

static void
fade_count(Count *c, int64_t now)
{
    double f = faded(c->at, now);
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        c->own[i] *= f;
    }
    c->others *= f;
    c->at = MAX(c->at, now);
}

static double
own_count(const Count *c)
{
    double sum = 0;
    int i;

    for (i = 0; i < SP_MAX_RANKS; i++) {
        sum += c->own[i];
    }
    return sum;
}

static void
fade_reports(SpFairShare *fs, int64_t now)
{
    double f = faded(fs->reports_at, now);

    fs->taken *= f;
    fs->received *= f;
    fs->reports_at = MAX(fs->reports_at, now);
}

static Slot *
find_slot(SpFairShare *fs, int64_t now, uint32_t key)
{
    Slot *set = fs->slots[key % SETS], *least = &set[0];
    int i;

    for (i = 0; i < WAYS; i++) {
        fade_count(&set[i].count, now);
        if (set[i].key == key) {
            return &set[i];
        }
        if (own_count(&set[i].count) + set[i].count.others <
            own_count(&least->count) + least->count.others) {
            least = &set[i];
        }
    }
    *least =
        (Slot){.key = key, .weight = weight_of_key(fs, key), .count.at = now};
    return least;
}

/* Nodes that one of those stands for whose reports came in. */
static double
nodes_per_report(const SpFairShare *fs)
{
    double others = fs->nodes - 1.0;
    double heard = fs->taken > 0 ? fs->received / fs->taken : 0;

    return heard > 1 ? others / heard : others;
}

static double
use_at(int bucket)
{
    return MIN_USE * exp2((double)bucket / STEPS);
}

static double
demand_of(const SpFairShare *fs, const Count *c)
{
    return own_count(c) + nodes_per_report(fs) * c->others;
}

static double
prior_of(const SpFairShare *fs)
{
    return PRIOR * MAX(nodes_per_report(fs), 1);
}

/* The part of the demand that a weight entitles to. */
static double
due_of(const SpFairShare *fs, double weight)
{
    return demand_of(fs, &fs->total) * weight / fs->workspaces;
}

/* The demand of a workspace against what it is entitled to, both as parts of
   all; the usual one where little is known or the difference is small. */
static double
use_of(const SpFairShare *fs, const Slot *s)
{
    double prior = prior_of(fs);
    double use = (demand_of(fs, &s->count) + fs->usual * prior) /
                 (due_of(fs, s->weight) + prior);

    use = CLAMP(fs->usual, use / BAND, use * BAND);
    return CLAMP(use, MIN_USE, use_at(BUCKETS - 1));
}

/* Use of all workspaces but those that ask for much more than the mean. */
static double
usual_use(SpFairShare *fs, int64_t now)
{
    double demand = demand_of(fs, &fs->total), due = demand;
    double prior = prior_of(fs), asked, entitled;
    Slot *s;
    int i;

    for (i = 0; i < SETS * WAYS; i++) {
        s = &fs->slots[i / WAYS][i % WAYS];
        if (!s->key) {
            continue;
        }
        fade_count(&s->count, now);
        asked = demand_of(fs, &s->count);
        entitled = due_of(fs, s->weight);
        if (asked > MUCH * entitled + prior) {
            demand -= asked;
            due -= entitled;
        }
    }
    return due > 0 ? CLAMP(demand / due, MIN_USE, 1) : 1;
}

static int
bucket_of(double use)
{
    int i = (int)lround(log2(use / MIN_USE) * STEPS);

    return CLAMP(i, 0, BUCKETS - 1);
}

/* Counts the requests of this node by the rank of their workspace. */
static void
update_groups(SpFairShare *fs)
{
    const Slot *s;
    int i, r;

    memset(&fs->groups, 0, sizeof fs->groups);
    for (i = -1; i < SETS * WAYS; i++) {
        s = i < 0 ? &fs->unnamed : &fs->slots[i / WAYS][i % WAYS];
        for (r = 0; r < SP_MAX_RANKS; r++) {
            fs->groups.of[s->group][r] += s->count.own[r];
        }
    }
}

/* Adds the demand of a workspace to the ranks as those of its group are
   distributed here, or all if it has sent nothing here. */
static void
add_uses(SpFairShare *fs, double demand, const Slot *s, double use)
{
    const double *by_rank = fs->total.own;
    int i, bucket = bucket_of(use);
    double sum = 0;

    if (own_count(&s->count) > MIN_COUNT) {
        by_rank = fs->groups.of[s->group];
    }
    for (i = 0; i < SP_MAX_RANKS; i++) {
        sum += by_rank[i];
    }
    for (i = 0; i < SP_MAX_RANKS && sum > 0; i++) {
        fs->uses[i].in[bucket] += demand * by_rank[i] / sum;
        fs->uses[i].total += demand * by_rank[i] / sum;
    }
}

/* Makes the histograms of what all nodes ask for, by the present uses. */
static void
update_uses(SpFairShare *fs, int64_t now)
{
    const Slot none = {0};
    double demand, rest;
    const Slot *s;
    int i;

    if (fs->uses_at && now - fs->uses_at < STEP_US) {
        return;
    }
    fs->uses_at = now;
    memset(fs->uses, 0, sizeof fs->uses);
    fade_count(&fs->total, now);
    fade_count(&fs->unnamed.count, now);
    fs->usual = usual_use(fs, now);
    update_groups(fs);
    rest = demand_of(fs, &fs->total);
    for (i = 0; i < SETS * WAYS; i++) {
        s = &fs->slots[i / WAYS][i % WAYS];
        demand = demand_of(fs, &s->count);
        if (demand > MIN_COUNT) {
            add_uses(fs, demand, s, use_of(fs, s));
            rest -= demand;
        }
    }
    /* workspaces that reports or the table had no room for */
    add_uses(fs, MAX(rest, 0), &none, fs->usual);
    add_uses(fs, own_count(&fs->unnamed.count) * fs->nodes, &fs->unnamed,
             fs->usual);
}

static double
probability(double level, double use, double least)
{
    return CLAMP(level / use, least, 1);
}

/* Finds the level at which the mean probability of a rank is its share. */
static double
find_level(const Uses *u, double share, double least)
{
    double low = 0, high = use_at(BUCKETS - 1), level, sum;
    int i, k;

    for (k = 0; k < HALVINGS; k++) {
        level = (low + high) / 2;
        sum = 0;
        for (i = 0; i < BUCKETS; i++) {
            sum += u->in[i] * probability(level, use_at(i), least);
        }
        if (sum < share * u->total) {
            low = level;
        }
        else {
            high = level;
        }
    }
    return high;
}

static Slot *
slot_of(SpFairShare *fs, int64_t now, const SpFairRequest *r)
{
    Slot *s = &fs->unnamed;

    if (r->workspace && *r->workspace) {
        s = find_slot(fs, now, key_of(r->workspace));
        s->group = SpFairLift_Group(r->workspace_rank);
    }
    fade_count(&s->count, now);
    return s;
}

static void
count_request(SpFairShare *fs, int64_t now, Slot *s, int rank)
{
    s->count.own[rank]++;
    if (s != &fs->unnamed) {
        s->fresh++;
        fs->fresh++;
        fade_count(&fs->total, now);
        fs->total.own[rank]++;
    }
}

double
SpFairShare_Admit(SpFairShare *fs, int64_t now, const SpFairRequest *r,
                  const SpShares *shares)
{
    Slot *s = slot_of(fs, now, r);
    int rank = SpRank_Index(r->rank);
    const Uses *u = &fs->uses[rank];
    double share, least, use;
    SpFairLift lift;

    use = s == &fs->unnamed ? fs->usual : use_of(fs, s);
    count_request(fs, now, s, rank);
    update_uses(fs, now);
    lift = SpFairLift_Find(&fs->groups, shares);
    share = SpFairLift_Share(&lift, s->group, shares->of[rank]);
    if (share <= 0 || share >= 1 || u->total <= 0) {
        return share;
    }
    least = share * SpFairLift_LeastPart(&lift, s->group);
    return probability(find_level(u, share, least), use_at(bucket_of(use)),
                       least);
}

/* Enters a workspace into the report, which is sorted by count. */
static void
report_slot(SpFairReport *r, const Slot *s)
{
    int i;

    if (r->n == SP_FAIR_REPORT && r->counts[r->n - 1] >= s->fresh) {
        return;
    }
    r->n = MIN(r->n + 1, SP_FAIR_REPORT);
    for (i = r->n - 1; i > 0 && r->counts[i - 1] < s->fresh; i--) {
        r->counts[i] = r->counts[i - 1];
        r->keys[i] = r->keys[i - 1];
    }
    r->counts[i] = s->fresh;
    r->keys[i] = s->key;
}

void
SpFairShare_TakeReport(SpFairShare *fs, int64_t now, SpFairReport *r)
{
    Slot *s;
    int i;

    memset(r, 0, sizeof *r);
    r->total = fs->fresh;
    fs->fresh = 0;
    for (i = 0; i < SETS * WAYS; i++) {
        s = &fs->slots[i / WAYS][i % WAYS];
        if (s->fresh) {
            report_slot(r, s);
            s->fresh = 0;
        }
    }
    fade_reports(fs, now);
    fs->taken++;
}

void
SpFairShare_AddReport(SpFairShare *fs, int64_t now, const SpFairReport *r)
{
    int i;

    fade_reports(fs, now);
    fs->received++;
    fade_count(&fs->total, now);
    fs->total.others += r->total;
    for (i = 0; i < r->n && i < SP_FAIR_REPORT; i++) {
        find_slot(fs, now, r->keys[i])->count.others += r->counts[i];
    }
}
