/* Unit tests of the quotas (flow/quota.h, flow/ledger.h). */
#include <CUnit/CUnit.h>

#include "flow/flow.h"
#include "flow/ledger.h"
#include "test/test.h"

static SpWorkspaces *
make_workspaces(double rate, double burst)
{
    SpWorkspaces *ws = SpWorkspaces_New();
    SpWorkspace w = {.name = "one", .rate = rate, .burst = burst};

    SpWorkspaces_Add(ws, &w);
    w.name = "free";
    w.rate = w.burst = 0;
    SpWorkspaces_Add(ws, &w);
    return ws;
}

static int
admitted(SpQuota *q, int64_t now, const SpWorkspace *w, int tries)
{
    int64_t retry;
    int n = 0;

    while (tries-- > 0) {
        n += SpQuota_Admit(q, now, w, &retry);
    }
    return n;
}

/* The bucket of one node is that of the whole quota while it hears a
   coordinator; workspaces without a rate aren't limited. */
static void
test_quota_bucket(void)
{
    SpWorkspaces *ws = make_workspaces(10, 20);
    const SpWorkspace *w = SpWorkspaces_At(ws, 0);
    SpQuota *q = SpQuota_New(1);
    int64_t t = 100 * SP_SEC;

    SpQuota_Configure(q, ws);
    CU_ASSERT(SpQuota_HasLimits(q));
    CU_ASSERT(SpQuota_IsAlone(q, t));
    SpQuota_SetNodes(q, 5);
    SpQuota_TakeWords(q, t, 0, NULL, 0);
    CU_ASSERT_FALSE(SpQuota_IsAlone(q, t));
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 1); /* it has just started */
    CU_ASSERT_EQUAL(admitted(q, t + 500 * SP_MS, w, 50), 1);
    t += 1 * SP_SEC;
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 5);
    t += 10 * SP_SEC;
    SpQuota_TakeWords(q, t, 0, NULL, 0);
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 20);
    SpQuota_Return(q, w);
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 1);
    CU_ASSERT_EQUAL(admitted(q, t, SpWorkspaces_At(ws, 1), 1000), 1000);
    SpQuota_Configure(q, NULL);
    CU_ASSERT_FALSE(SpQuota_HasLimits(q));
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 50);
    SpQuota_Free(q);
    SpWorkspaces_Free(ws);
}

/* A fraction is admitted evenly, until it is not repeated any more. */
static void
test_quota_fraction(void)
{
    SpWorkspaces *ws = make_workspaces(1000, 1000);
    const SpWorkspace *w = SpWorkspaces_At(ws, 0);
    SpQuotaWord word = {SpQuota_Key("one"), 0.25, 0.1, 3 * SP_SEC};
    SpQuota *q = SpQuota_New(1);
    int64_t t = 100 * SP_SEC, retry = 0;
    int i;

    SpQuota_Configure(q, ws);
    SpQuota_TakeWords(q, t, 0, NULL, 0);
    CU_ASSERT_EQUAL(admitted(q, t, w, 4), 1);
    t += 1 * SP_SEC;
    SpQuota_TakeWords(q, t, 0, &word, 1);
    for (i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(admitted(q, t, w, 4), 1);
    }
    while (SpQuota_Admit(q, t, w, &retry)) {
    }
    CU_ASSERT(retry >= 3 * SP_SEC && retry <= 6 * SP_SEC);
    for (i = 0; i < 12; i++) { /* the coordinator goes on without it */
        t += 500 * SP_MS;
        SpQuota_TakeWords(q, t, 0, NULL, 0);
    }
    CU_ASSERT_EQUAL(admitted(q, t, w, 100), 100);
    SpQuota_Free(q);
    SpWorkspaces_Free(ws);
}

/* A node that is alone keeps to its last part, or to that of one of all nodes;
   it doesn't get a quota back that was used up. */
static void
test_quota_alone(void)
{
    SpWorkspaces *ws = make_workspaces(100, 100);
    const SpWorkspace *w = SpWorkspaces_At(ws, 0);
    SpQuotaWord word = {SpQuota_Key("one"), 1, 0.2, 0};
    SpQuota *q = SpQuota_New(1);
    int64_t t = 100 * SP_SEC;

    SpQuota_Configure(q, ws);
    SpQuota_SetNodes(q, 50);
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 1);
    t += 10 * SP_SEC;
    CU_ASSERT_EQUAL(admitted(q, t, w, 50), 2);
    SpQuota_TakeWords(q, t, 0, &word, 1);
    CU_ASSERT_EQUAL(admitted(q, t + 1 * SP_SEC, w, 1), 1);
    t += 2 * SP_SEC;
    CU_ASSERT(SpQuota_IsAlone(q, t));
    CU_ASSERT_EQUAL(admitted(q, t, w, 500), 20);
    CU_ASSERT_EQUAL(admitted(q, t + 1 * SP_SEC, w, 500), 20);
    word.admit = 0.5;
    t += 10 * SP_SEC;
    SpQuota_TakeWords(q, t, 0, &word, 1);
    CU_ASSERT_EQUAL(admitted(q, t, w, 1), 1);
    t += 3 * SP_SEC;
    CU_ASSERT_EQUAL(admitted(q, t, w, 500), 0);
    CU_ASSERT_EQUAL(admitted(q, t + 1 * SP_SEC, w, 500), 20);
    SpQuota_Free(q);
    SpWorkspaces_Free(ws);
}

/* What was reported is reported again to another coordinator unless it was
   answered. */
static void
test_quota_reports(void)
{
    SpWorkspaces *ws = make_workspaces(100, 100);
    const SpWorkspace *w = SpWorkspaces_At(ws, 0);
    GArray *out = g_array_new(FALSE, FALSE, sizeof(SpUsage));
    SpQuota *q = SpQuota_New(1);
    int64_t t = 100 * SP_SEC;
    uint64_t first, second;

    SpQuota_Configure(q, ws);
    CU_ASSERT_EQUAL(admitted(q, t, w, 1), 1);
    t += 1 * SP_SEC;
    SpQuota_TakeWords(q, t, 0, NULL, 0);
    CU_ASSERT_EQUAL(admitted(q, t, w, 4), 4);
    first = SpQuota_TakeUsage(q, t, out);
    CU_ASSERT(first > 0);
    CU_ASSERT_EQUAL(out->len, 1);
    CU_ASSERT_EQUAL(g_array_index(out, SpUsage, 0).admitted, 5);
    CU_ASSERT_EQUAL(SpQuota_TakeUsage(q, t, out), 0);
    CU_ASSERT_EQUAL(admitted(q, t, w, 3), 3);
    t += 200 * SP_MS;
    g_array_set_size(out, 0);
    second = SpQuota_TakeUsage(q, t, out);
    CU_ASSERT_EQUAL(g_array_index(out, SpUsage, 0).admitted, 3);
    SpQuota_TakeWords(q, t, first, NULL, 0);
    SpQuota_ChangeCoordinator(q, 1); /* the second one may be lost */
    t += 200 * SP_MS;
    g_array_set_size(out, 0);
    CU_ASSERT(SpQuota_TakeUsage(q, t, out) > second);
    CU_ASSERT_EQUAL(out->len, 1);
    CU_ASSERT_EQUAL(g_array_index(out, SpUsage, 0).admitted, 3);
    SpQuota_TakeWords(q, t, second + 1, NULL, 0);
    t += 200 * SP_MS;
    g_array_set_size(out, 0);
    CU_ASSERT_EQUAL(SpQuota_TakeUsage(q, t, out), 0);
    t += 200 * SP_MS;
    CU_ASSERT(SpQuota_TakeUsage(q, t, out) > 0); /* empty, to show life */
    CU_ASSERT_EQUAL(out->len, 0);
    g_array_unref(out);
    SpQuota_Free(q);
    SpWorkspaces_Free(ws);
}

static void
use_ledger(SpLedger *l, int64_t now, const char *node, int64_t n,
           double demand)
{
    SpUsage u = {SpQuota_Key("one"), n, n, demand};

    SpLedger_AddUsage(l, now, node, &u, 1);
}

static SpQuotaWord
word_for(SpLedger *l, const char *node)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(SpQuotaWord));
    SpQuotaWord w = {0, 1, 0, 0};

    SpLedger_Words(l, node, out);
    if (out->len) {
        w = g_array_index(out, SpQuotaWord, 0);
    }
    g_array_unref(out);
    return w;
}

/* A member that falls silent goes on with its part: the others get the rest,
   until it reports again or leaves. */
static void
test_ledger_silent_member(void)
{
    SpWorkspaces *ws = make_workspaces(100, 100);
    SpLedger *l = SpLedger_New("z1", 0);
    int64_t t;
    GArray *limits = g_array_new(FALSE, FALSE, sizeof(SpLedgerLimit));

    SpLedger_Configure(l, ws);
    for (t = SP_LEDGER_STEP_US; t < 30 * SP_SEC; t += SP_LEDGER_STEP_US) {
        if (t % (200 * SP_MS) == 0) {
            use_ledger(l, t, "a", 40, 200); /* twice the quota */
            if (t < 15 * SP_SEC || t > 25 * SP_SEC) {
                use_ledger(l, t, "b", 20, 100);
            }
        }
        SpLedger_Update(l, t);
        if (t == 10 * SP_SEC) {
            CU_ASSERT_DOUBLE_EQUAL(word_for(l, "a").share, 2.0 / 3, 0.02);
            CU_ASSERT_DOUBLE_EQUAL(word_for(l, "b").share, 1.0 / 3, 0.02);
        }
        if (t == 20 * SP_SEC) {
            SpLedger_Limits(l, limits);
            CU_ASSERT_EQUAL_FATAL(limits->len, 1);
            CU_ASSERT_DOUBLE_EQUAL(
                g_array_index(limits, SpLedgerLimit, 0).held, 1.0 / 3, 0.02);
        }
    }
    g_array_set_size(limits, 0);
    SpLedger_Limits(l, limits);
    CU_ASSERT_EQUAL_FATAL(limits->len, 1);
    CU_ASSERT_EQUAL(g_array_index(limits, SpLedgerLimit, 0).held, 0);
    SpLedger_RemoveMember(l, "b");
    CU_ASSERT_EQUAL(SpLedger_Members(l), 1);
    g_array_unref(limits);
    SpLedger_Free(l);
    SpWorkspaces_Free(ws);
}

/* A ledger that has heard no other zone yet leaves it its part. */
static void
test_ledger_unheard(void)
{
    SpWorkspaces *ws = make_workspaces(100, 100);
    SpLedgerZone zones[] = {{"z1", 1}, {"z2", 3}};
    SpLedgerPeer peer = {.name = "n2", .zone = "z2", .epoch = 1, .full = 1};
    SpLedger *l = SpLedger_New("z1", 0);
    int64_t t;
    double early, late;

    SpLedger_Configure(l, ws);
    SpLedger_SetZones(l, zones, 2);
    for (t = SP_LEDGER_STEP_US; t <= 10 * SP_SEC; t += SP_LEDGER_STEP_US) {
        if (t % (200 * SP_MS) == 0) {
            SpUsage u = {SpQuota_Key("one"), 40, 5, 100};
            SpLedger_AddUsage(l, t, "a", &u, 1); /* 25 of 200 a second */
        }
        SpLedger_Update(l, t);
    }
    early = word_for(l, "a").admit;
    CU_ASSERT(early < 0.2);
    for (; t <= 20 * SP_SEC; t += SP_LEDGER_STEP_US) {
        if (t % (200 * SP_MS) == 0) {
            use_ledger(l, t, "a", 20, 100);
        }
        SpLedger_AddSums(l, t, &peer, NULL, 0);
        SpLedger_Update(l, t);
    }
    late = word_for(l, "a").admit;
    CU_ASSERT(late > 0.8);
    SpLedger_Free(l);
    SpWorkspaces_Free(ws);
}

const Unit quota_units[] = {
    {"quota", "bucket", test_quota_bucket},
    {"quota", "fraction", test_quota_fraction},
    {"quota", "alone", test_quota_alone},
    {"quota", "reports", test_quota_reports},
    {"quota", "ledger, silent member", test_ledger_silent_member},
    {"quota", "ledger, unheard zone", test_ledger_unheard},
    {NULL, NULL, NULL}};
