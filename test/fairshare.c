/* Load replays of the shares between workspaces at the entry. */
#include <CUnit/Basic.h>
#include <math.h>
#include <string.h>

#include "flow/fairshare.h"
#include "test/test.h"

/*
 * A replay at the entries: nodes with a few clients each, every client of one
 * workspace. The room is known exactly, so that each node admits the share
 * room / demand in the mean.
 */
#define MAX_NODES 84
#define MAX_CLIENTS 12000
#define STEP_US (10 * SP_MS)

typedef struct Client {
    int node, workspace;
    double per_s;
} Client;

typedef struct Play {
    SpFairShare *nodes[MAX_NODES];
    int nnodes, nclients, nworkspaces;
    int mute;      /* 1: no report arrives */
    double again;  /* probability that a refused request comes again at once */
    int all_alike; /* 1: each is admitted at the share of its rank */
    Client clients[MAX_CLIENTS];
    double *usual, *rate; /* requests per second by workspace */
    double *offered, *served;
    int *rank; /* own rank by workspace; NULL: all have 2, of the route */
    SpShares shares; /* in force */
    int64_t now;
    uint64_t rand;
} Play;

static Play *
make_play(int nnodes, int nworkspaces)
{
    Play *p = g_new0(Play, 1);
    int i;

    p->nnodes = nnodes;
    p->nworkspaces = nworkspaces;
    p->rand = 7;
    p->now = SP_SEC;
    p->usual = g_new0(double, nworkspaces);
    p->rate = g_new0(double, nworkspaces);
    p->offered = g_new0(double, nworkspaces);
    p->served = g_new0(double, nworkspaces);
    for (i = 0; i < nnodes; i++) {
        p->nodes[i] = SpFairShare_New();
        SpFairShare_SetNodes(p->nodes[i], (guint)nnodes);
    }
    return p;
}

static void
free_play(Play *p)
{
    int i;

    for (i = 0; i < p->nnodes; i++) {
        SpFairShare_Free(p->nodes[i]);
    }
    g_free(p->usual);
    g_free(p->rate);
    g_free(p->offered);
    g_free(p->served);
    g_free(p->rank);
    g_free(p);
}

/* Sends per_s of a workspace in all by clients at random nodes, with at most
   client_per_s each. The quota is 1.6 times the usual. */
static void
add_workspace(Play *p, int workspace, double per_s, double client_per_s)
{
    int n = (int)ceil(per_s / client_per_s), i;

    p->usual[workspace] = per_s;
    p->rate[workspace] = 1.6 * per_s;
    for (i = 0; i < n; i++) {
        p->clients[p->nclients++] =
            (Client){(int)(SpRand(&p->rand) % (uint64_t)p->nnodes), workspace,
                     per_s / n};
    }
}

static void
configure(Play *p, int has_quotas)
{
    SpFairQuota *list = g_new0(SpFairQuota, p->nworkspaces);
    char(*names)[16] = g_malloc0_n((gsize)p->nworkspaces, sizeof *names);
    int i;

    for (i = 0; i < p->nworkspaces; i++) {
        g_snprintf(names[i], sizeof names[i], "w%d", i);
        list[i].workspace = names[i];
        list[i].rate = has_quotas ? p->rate[i] : 0;
    }
    for (i = 0; i < p->nnodes; i++) {
        SpFairShare_Configure(p->nodes[i], list, (guint)p->nworkspaces);
    }
    g_free(names);
    g_free(list);
}

static void
arrive(Play *p, const Client *c)
{
    SpFairRequest r = {.rank = 2, .workspace_rank = SP_RANK_OF_ROUTE};
    char name[16];
    double share;

    g_snprintf(name, sizeof name, "w%d", c->workspace);
    r.workspace = name;
    if (p->rank) {
        r.workspace_rank = p->rank[c->workspace];
        r.rank = 2 * r.workspace_rank + (int)(SpRand(&p->rand) % 2);
    }
    do {
        p->offered[c->workspace]++;
        share = SpFairShare_Admit(p->nodes[c->node], p->now, &r, &p->shares);
        share = p->all_alike ? p->shares.of[r.rank] : share;
        if (SpRand_Unit(&p->rand) < share) {
            p->served[c->workspace]++;
            return;
        }
    } while (SpRand_Unit(&p->rand) < p->again);
}

static void
exchange_reports(Play *p)
{
    SpFairReport r;
    int i, k;

    for (i = 0; i < p->nnodes; i++) {
        SpFairShare_TakeReport(p->nodes[i], p->now, &r);
        for (k = 0; k < p->nnodes && !p->mute; k++) {
            if (k != i) {
                SpFairShare_AddReport(p->nodes[k], p->now, &r);
            }
        }
    }
}

/* Plays some seconds; what was offered and served counts from the third on. */
static void
play(Play *p, int seconds)
{
    int64_t begin = p->now, at;
    int i;

    for (at = 0; at < seconds * SP_SEC; at += STEP_US) {
        p->now = begin + at;
        if (at == 2 * SP_SEC) {
            memset(p->offered, 0, sizeof(double) * (size_t)p->nworkspaces);
            memset(p->served, 0, sizeof(double) * (size_t)p->nworkspaces);
        }
        for (i = 0; i < p->nclients; i++) {
            if (SpRand_Unit(&p->rand) <
                p->clients[i].per_s * STEP_US / SP_SEC) {
                arrive(p, &p->clients[i]);
            }
        }
        if (at % SP_SEC == 0) {
            exchange_reports(p);
        }
    }
    p->now = begin + at;
}

/* Lets a workspace send x times its usual. */
static void
flood(Play *p, int workspace, double x)
{
    int i;

    for (i = 0; i < p->nclients; i++) {
        if (p->clients[i].workspace == workspace) {
            p->clients[i].per_s *= x;
        }
    }
}

/* Makes room for that many requests a second. */
static void
set_room(Play *p, double per_s)
{
    double sum = 0;
    int i;

    for (i = 0; i < p->nclients; i++) {
        sum += p->clients[i].per_s;
    }
    for (i = 0; i < SP_MAX_RANKS; i++) {
        p->shares.of[i] = MIN(per_s / sum, 1);
    }
}

static double
part_served(const Play *p, int workspace)
{
    return p->offered[workspace] > 0
               ? p->served[workspace] / p->offered[workspace]
               : 1;
}

static double
all_served(const Play *p)
{
    double offered = 0, served = 0;
    int i;

    for (i = 0; i < p->nworkspaces; i++) {
        offered += p->offered[i];
        served += p->served[i];
    }
    return served / offered;
}

static int
compare_reals(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Mean part served of the worst tenth of the workspaces but one. */
static double
worst_tenth(const Play *p, int but)
{
    double *parts = g_new(double, p->nworkspaces), sum = 0;
    int i, n = 0, tenth;

    for (i = 0; i < p->nworkspaces; i++) {
        if (i != but && p->offered[i] > 0) {
            parts[n++] = part_served(p, i);
        }
    }
    qsort(parts, (size_t)n, sizeof *parts, compare_reals);
    tenth = MAX(n / 10, 1);
    for (i = 0; i < tenth; i++) {
        sum += parts[i];
    }
    g_free(parts);
    return sum / tenth;
}

/* Guards against one workspace that takes the room of all: ten equal ones, one
   sends 7.5 times its usual, with room for half of what is usual. */
static void
test_entry_flood(void)
{
    Play *p = make_play(20, 10);
    double share;
    int i;

    for (i = 0; i < 10; i++) {
        add_workspace(p, i, 60, 3);
    }
    configure(p, 1);
    set_room(p, 600);
    play(p, 5);
    flood(p, 3, 7.5);
    set_room(p, 300);
    share = p->shares.of[2];
    play(p, 10);
    CU_ASSERT_DOUBLE_EQUAL(all_served(p), share, 0.03);
    CU_ASSERT(worst_tenth(p, 3) >= 1.25 * share);
    CU_ASSERT(part_served(p, 3) >= 0.25 * all_served(p));
    free_play(p);
}

/* Guards against workspaces of a low priority that get next to nothing: all
   send twice what there is room for, the shares fall by rank to a tenth. */
static void
test_entry_ranks(void)
{
    static const SpShares by_rank = {{1, 1, 0.9, 0.7, 0.1, 0.1, 0.1, 0.1}};
    Play *p = make_play(20, 40);
    double least = 1;
    int i;

    p->rank = g_new0(int, 40);
    for (i = 0; i < 40; i++) {
        add_workspace(p, i, 15, 3);
        p->rank[i] = i % SP_ROUTE_RANKS;
    }
    configure(p, 1);
    p->shares = by_rank;
    play(p, 60);
    for (i = 0; i < 40; i++) {
        least = MIN(least, part_served(p, i));
    }
    CU_ASSERT_DOUBLE_EQUAL(all_served(p), 0.5, 0.03);
    CU_ASSERT(least >= 0.25 * all_served(p));
    CU_ASSERT(part_served(p, 0) > 0.8);
    free_play(p);
}

static void
add_skewed(Play *p, int n, double per_s, double client_per_s)
{
    double sum = 0;
    int i;

    for (i = 1; i <= n; i++) {
        sum += pow(i, -1.2);
    }
    for (i = 0; i < n; i++) {
        add_workspace(p, i, per_s * pow(i + 1, -1.2) / sum, client_per_s);
    }
}

/* Moves half of the callers to a few other nodes. */
static void
shift_callers(Play *p)
{
    int i;

    for (i = 0; i < p->nclients; i++) {
        if (SpRand_Unit(&p->rand) < 0.5) {
            p->clients[i].node = (int)(SpRand(&p->rand) % 28);
        }
    }
}

/* Guards against a node that takes the few workspaces of its own clients for
   floods: 84 workspaces of very uneven size, all at twice the room, half of
   the callers moved to a third of the nodes; then one sends 7.5 times its
   usual. */
static void
test_entry_shift(void)
{
    Play *p = make_play(84, 84);
    double share;

    add_skewed(p, 84, 2200, 2.4);
    configure(p, 1);
    set_room(p, 1100);
    play(p, 6);
    shift_callers(p);
    play(p, 30);
    CU_ASSERT_DOUBLE_EQUAL(all_served(p), 0.5, 0.03);
    CU_ASSERT(worst_tenth(p, -1) >= 0.8 * 0.5);
    flood(p, 1, 7.5);
    set_room(p, 1100);
    share = p->shares.of[2];
    play(p, 30);
    CU_ASSERT_DOUBLE_EQUAL(all_served(p), share, 0.03);
    CU_ASSERT(part_served(p, 0) >= 1.25 * share);
    CU_ASSERT(worst_tenth(p, 1) >= share);
    CU_ASSERT(part_served(p, 1) >= 0.25 * all_served(p));
    free_play(p);
}

static double
worst_by_noise(int all_alike, uint64_t seed)
{
    Play *p = make_play(28, 84);
    double worst;

    p->rand = seed;
    p->again = 0.6;
    p->all_alike = all_alike;
    add_skewed(p, 84, 700, 2.4);
    configure(p, 1);
    set_room(p, 350);
    play(p, 10);
    worst = worst_tenth(p, -1);
    free_play(p);
    return worst;
}

/* Guards against workspaces that are held back since a few more requests than
   usual came, and came again when they were refused. */
static void
test_entry_noise(void)
{
    double fair = 0, alike = 0;
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fair += worst_by_noise(0, seed) / 8;
        alike += worst_by_noise(1, seed) / 8;
    }
    CU_ASSERT(fair >= alike - 0.02);
}

/* Guards against refusals for noise while no report arrives: a node that hears
   of no other admits nearly alike. */
static void
test_entry_alone(void)
{
    Play *p = make_play(84, 84);

    p->mute = 1;
    add_skewed(p, 84, 2200, 2.4);
    configure(p, 1);
    set_room(p, 1100);
    play(p, 30);
    CU_ASSERT_DOUBLE_EQUAL(all_served(p), 0.5, 0.03);
    CU_ASSERT(worst_tenth(p, -1) >= 0.8 * 0.5);
    free_play(p);
}

/* Guards against room that nobody uses: a thousand workspaces with hardly a
   request, and a busy one that asks for twice what there is room for. */
static void
test_entry_idle(void)
{
    Play *p = make_play(4, 1001);
    double offered = 0, served = 0, busy;
    int i;

    add_workspace(p, 0, 400, 10);
    for (i = 1; i <= 1000; i++) {
        add_workspace(p, i, 0.02, 0.02);
    }
    configure(p, 0);
    set_room(p, 210);
    play(p, 20);
    for (i = 1; i <= 1000; i++) {
        offered += p->offered[i];
        served += p->served[i];
    }
    busy = p->served[0] / 18;
    CU_ASSERT(served / offered >= 0.95);
    CU_ASSERT(busy >= 180);
    free_play(p);
}

/* Guards against state that grows with the workspaces: ten thousand, and a
   flood among them. */
static void
test_entry_many(void)
{
    Play *p = make_play(2, 10000);
    double share;
    int i;

    for (i = 0; i < 10000; i++) {
        add_workspace(p, i, i == 5 ? 50 : 0.2, 100);
    }
    configure(p, 0);
    set_room(p, 2050);
    play(p, 4);
    flood(p, 5, 40);
    set_room(p, 2050);
    share = p->shares.of[2];
    play(p, 8);
    CU_ASSERT(SpFairShare_Tracked(p->nodes[0]) <= 1024);
    CU_ASSERT_DOUBLE_EQUAL(all_served(p), share, 0.03);
    CU_ASSERT(part_served(p, 5) <= 0.6 * share);
    CU_ASSERT(part_served(p, 5) >= 0.25 * all_served(p));
    free_play(p);
}

const Unit fairshare_units[] = {
    {"fair", "entry, flood", test_entry_flood},
    {"fair", "entry, ranks", test_entry_ranks},
    {"fair", "entry, callers moved", test_entry_shift},
    {"fair", "entry, noise", test_entry_noise},
    {"fair", "entry, no reports", test_entry_alone},
    {"fair", "entry, idle", test_entry_idle},
    {"fair", "entry, ten thousand", test_entry_many},
    {NULL, NULL, NULL}};
