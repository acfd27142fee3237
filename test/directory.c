/* Unit tests of the directory of nodes and of the subset that is linked. */
#include <CUnit/Basic.h>
#include <string.h>

#include "flow/directory.h"
#include "test/test.h"

#define ZONES 7
#define MAX_NODES 811
#define NAME_BYTES 16

static SpNodeInfo
make_node(const char *name, const char *addr, uint64_t started_us)
{
    SpNodeInfo m = {.started_us = started_us};

    m.name = name;
    m.zone = "z1";
    m.service = "s";
    g_strlcpy(m.addr, addr, sizeof m.addr);
    return m;
}

/* A later start under the same name or address replaces an entry, an earlier
   one does not. */
static void
test_directory_replace(void)
{
    SpDirectory *dir = SpDirectory_New();
    SpNodeInfo m = make_node("a", "127.0.0.1:1", 5);
    SpNodeInfo moved = make_node("a", "127.0.0.1:2", 6);
    SpNodeInfo other = make_node("b", "127.0.0.1:2", 7);
    SpNodeInfo old = make_node("c", "127.0.0.1:2", 6);

    CU_ASSERT(SpDirectory_Put(dir, &m, 1));
    CU_ASSERT_FALSE(SpDirectory_Put(dir, &m, 2));
    CU_ASSERT(SpDirectory_Put(dir, &moved, 3));
    CU_ASSERT_FALSE(SpDirectory_Put(dir, &m, 4));
    CU_ASSERT_STRING_EQUAL(SpDirectory_Get(dir, "a")->addr, "127.0.0.1:2");
    CU_ASSERT(SpDirectory_Put(dir, &other, 5));
    CU_ASSERT_PTR_NULL(SpDirectory_Get(dir, "a"));
    CU_ASSERT_FALSE(SpDirectory_Put(dir, &old, 6));
    CU_ASSERT_EQUAL(SpDirectory_Count(dir), 1);
    SpDirectory_Free(dir);
}

/* Digests are equal for the same nodes in any order and differ if one is
   missing; a restart alone does not change them. */
static void
test_directory_digest(void)
{
    SpDirectory *x = SpDirectory_New(), *y = SpDirectory_New();
    SpNodeInfo a = make_node("a", "127.0.0.1:1", 5);
    SpNodeInfo b = make_node("b", "127.0.0.1:2", 5);
    SpNodeInfo restarted = make_node("a", "127.0.0.1:1", 9);
    SpNodeInfo moved = make_node("a", "127.0.0.1:3", 9);
    SpDirectory *z = SpDirectory_New();

    SpDirectory_Put(x, &a, 1);
    SpDirectory_Put(x, &b, 1);
    SpDirectory_Put(y, &b, 1);
    CU_ASSERT_NOT_EQUAL(SpDirectory_Digest(x), SpDirectory_Digest(y));
    SpDirectory_Put(y, &restarted, 1);
    CU_ASSERT_EQUAL(SpDirectory_Digest(x), SpDirectory_Digest(y));
    SpDirectory_Put(x, &moved, 1);
    SpDirectory_Put(z, &b, 1);
    SpDirectory_Put(z, &moved, 1);
    CU_ASSERT_EQUAL(SpDirectory_Digest(x), SpDirectory_Digest(z));
    SpDirectory_Free(z);
    SpDirectory_Free(x);
    SpDirectory_Free(y);
}

/* A fleet whose nodes are spread evenly over zones and services. */
typedef struct Fleet {
    SpNodeInfo nodes[MAX_NODES];
    char texts[MAX_NODES][3][NAME_BYTES]; /* name, zone and service of each */
    guint n, nservices;
} Fleet;

static Fleet *
make_fleet(guint n, guint nservices)
{
    Fleet *f = g_new0(Fleet, 1);
    guint i;

    f->n = n;
    f->nservices = nservices;
    for (i = 0; i < n; i++) {
        SpNodeInfo *m = &f->nodes[i];
        g_snprintf(f->texts[i][0], NAME_BYTES, "node-%u", i);
        g_snprintf(f->texts[i][1], NAME_BYTES, "z%u", i % ZONES);
        g_snprintf(f->texts[i][2], NAME_BYTES, "s%u", i / ZONES % nservices);
        m->name = f->texts[i][0];
        m->zone = f->texts[i][1];
        m->service = f->texts[i][2];
    }
    return f;
}

/* Chooses the subset of one service for one node; list has room for all. */
static guint
choose(Fleet *f, guint self, guint service, const SpSubsetOpts *opts,
       SpNodeInfo **list, SpSubsetCount *count)
{
    SpSubsetOpts o = *opts;
    guint i, n = 0;

    for (i = 0; i < f->n; i++) {
        if (i != self && i / ZONES % f->nservices == service) {
            list[n++] = &f->nodes[i];
        }
    }
    o.self = f->nodes[self].name;
    o.zone = f->nodes[self].zone;
    return SpSubset_Choose(list, n, &o, count);
}

static const SpSubsetOpts opts = {NULL, NULL, 16, 4, 10};

/* The links of a node do not grow with the fleet once its services are larger
   than a subset, and every node is linked by others about equally often. */
static void
test_subset_size(void)
{
    static const guint sizes[] = {98, 196, 392, 784};
    SpNodeInfo *list[MAX_NODES];
    SpSubsetCount count;
    guint i, k, self, chosen, links, links_in[MAX_NODES], highest;

    for (k = 0; k < G_N_ELEMENTS(sizes); k++) {
        Fleet *f = make_fleet(sizes[k], 2);
        memset(links_in, 0, sizeof links_in);
        links = highest = 0;
        for (self = 0; self < f->n; self++) {
            chosen = choose(f, self, 0, &opts, list, &count);
            CU_ASSERT(chosen >= 10);
            CU_ASSERT(chosen <= 20);
            links += chosen;
            for (i = 0; i < chosen; i++) {
                links_in[list[i] - f->nodes]++;
            }
        }
        for (i = 0; i < f->n; i++) {
            if (i / ZONES % 2 == 0) {
                CU_ASSERT(links_in[i] > 0);
                highest = MAX(highest, links_in[i]);
            }
        }
        CU_ASSERT(highest * (sizes[k] / 2) < 2 * links);
        g_free(f);
    }
}

/* One node more or less moves few links of the others. */
static void
test_subset_change(void)
{
    Fleet *f = make_fleet(392, 2);
    SpNodeInfo *before[MAX_NODES], *after[MAX_NODES];
    SpSubsetCount count;
    guint self, i, j, n, m, same, moved = 0;

    for (self = 0; self < 380; self++) {
        f->n = 392;
        n = choose(f, self, 0, &opts, before, &count);
        f->n = 380;
        m = choose(f, self, 0, &opts, after, &count);
        for (i = 0, same = 0; i < n; i++) {
            for (j = 0; j < m; j++) {
                same += before[i] == after[j];
            }
        }
        moved += n - same;
    }
    /* of 196 targets 6 are gone: that share of about 20 links each */
    CU_ASSERT(moved < 2 * 380 * 20 * 6 / 196);
    g_free(f);
}

/* Nodes of the own zone come first; an unreachable one is replaced by the next
   and tried on; the loss of a whole zone is bounded. */
static void
test_subset_unreachable(void)
{
    Fleet *f = make_fleet(196, 4);
    SpNodeInfo *list[MAX_NODES];
    SpSubsetCount count;
    guint i, n, reachable = 0;

    n = choose(f, 0, 1, &opts, list, &count);
    CU_ASSERT_EQUAL(n, 11);
    CU_ASSERT_EQUAL(count.near_chosen, 7);
    for (i = 0; i < 7; i++) {
        CU_ASSERT_STRING_EQUAL(list[i]->zone, "z0");
    }
    list[0]->unreachable = list[7]->unreachable = 1;
    n = choose(f, 0, 1, &opts, list, &count);
    for (i = 0; i < n; i++) {
        reachable += !list[i]->unreachable;
    }
    CU_ASSERT_EQUAL(reachable, 10);
    for (i = 0; i < f->n; i++) {
        f->nodes[i].unreachable = 1;
    }
    n = choose(f, 0, 1, &opts, list, &count);
    CU_ASSERT(n <= 7 + 20);
    g_free(f);
}

/* The demand on a service is estimated from the linked part of it. */
static void
test_subset_demand(void)
{
    SpSubsetCount count = {4, 4, 40, 8};
    SpDemand near = {{8, 0, 0, 0}, 40}, far = {{16, 0, 0, 4}, 80}, sum;

    sum = SpSubset_EstimateDemand(&count, &near, &far);
    CU_ASSERT_DOUBLE_EQUAL(sum.offered[0], 8 + 5 * 16, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(sum.offered[3], 5 * 4, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(sum.capacity, 40 + 5 * 80, 1e-9);
}

const Unit directory_units[] = {
    {"directory", "replacement", test_directory_replace},
    {"directory", "digest", test_directory_digest},
    {"directory", "subset, size", test_subset_size},
    {"directory", "subset, change", test_subset_change},
    {"directory", "subset, unreachable", test_subset_unreachable},
    {"directory", "subset, demand", test_subset_demand},
    {NULL, NULL, NULL}};
