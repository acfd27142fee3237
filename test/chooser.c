/* Unit tests of the choice of an instance. */
#include <CUnit/Basic.h>
#include <string.h>

#include "flow/flow.h"
#include "test/test.h"

static void
test_chooser(void)
{
    SpUpstream same_zone = {
        .same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 10};
    SpUpstream far = {.accepts = SP_ACCEPT_ALL, .limit = 10};
    SpUpstream *list[] = {&same_zone, &far}, *tried[] = {&same_zone};
    uint64_t seed = 1;
    SpBalancerOpts ch = {0, SpBalancer_CrossZoneCost(0, 0), tried, 0, &seed};

    same_zone.run_us = far.run_us = 20 * SP_MS;
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &same_zone);
    same_zone.busy = 20; /* queued calls outweigh the cost of another zone */
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &far);
    far.accepts =
        SP_ACCEPT_LAST_RESORT; /* stopping: used only if no other can */
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &same_zone);
    same_zone.accepts = SP_ACCEPT_NONE;
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &far);
    same_zone.accepts = far.accepts = SP_ACCEPT_ALL;
    same_zone.busy = 0;
    ch.ntried = 1;
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &far);
}

/* Traffic between zones is charged, so a slower instance in the own zone is
   preferred as long as its answer arrives in time. */
static void
test_chooser_far(void)
{
    SpUpstream same_zone = {
        .same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream far = {.accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream *list[] = {&same_zone, &far};
    const double big = 5500, small = 300;
    uint64_t seed = 1;
    SpBalancerOpts ch = {0, 0, NULL, 0, &seed};

    same_zone.run_us = 200 * SP_MS;
    far.run_us = 100 * SP_MS;
    ch.cross_zone_us = SpBalancer_CrossZoneCost(big, 1200 * SP_MS);
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &same_zone);
    ch.cross_zone_us = SpBalancer_CrossZoneCost(big, 120 * SP_MS);
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &far);
    ch.cross_zone_us = SpBalancer_CrossZoneCost(small, 1200 * SP_MS);
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &far);
    same_zone.busy = 130; /* above its limit of 100: calls are queued there */
    ch.cross_zone_us = SpBalancer_CrossZoneCost(big, 1200 * SP_MS);
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &far);
}

/* Many nodes that have the same state send at the same time: they must not
   all choose one instance and fill it while others have room. */
static void
test_chooser_spread(void)
{
    enum { COUNT = 4, NODES = 60, LIMIT = 40 };
    SpUpstream up[COUNT], *list[COUNT], *u;
    int taken[COUNT] = {0}, i, k;
    uint64_t rand = 1;
    SpBalancerOpts ch = {0, SpBalancer_CrossZoneCost(0, 0), NULL, 0, &rand};

    memset(up, 0, sizeof up);
    for (i = 0; i < COUNT; i++) {
        up[i].accepts = SP_ACCEPT_ALL;
        up[i].same_zone = 1;
        up[i].limit = LIMIT;
        up[i].run_us = (double)(150 + 10 * i) * SP_MS;
        list[i] = &up[i];
    }
    for (k = 0; k < NODES; k++) { /* each sees all instances idle */
        u = SpBalancer_Pick(list, COUNT, &ch);
        taken[u - up]++;
    }
    for (i = 0; i < COUNT; i++) {
        CU_ASSERT(taken[i] <= LIMIT);
    }
}

/* A slow instance in the own zone gets a call every few seconds, since it may
   have been slow only while it was cold. One in another zone gets none. */
static void
test_chooser_probe(void)
{
    enum { SENDS = 1000 };
    const int64_t interval = 10 * SP_MS;
    SpUpstream fast = {.same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream slow = {.same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream far = {.accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream *list[] = {&fast, &slow, &far}, *u;
    uint64_t seed = 1;
    SpBalancerOpts ch = {0, SpBalancer_CrossZoneCost(0, 0), NULL, 0, &seed};
    int i, slow_sends = 0, far_sends = 0;

    fast.run_us = 100 * SP_MS;
    slow.run_us = far.run_us = 400 * SP_MS;
    for (i = 0; i < SENDS; i++) {
        ch.now += interval;
        u = SpBalancer_Pick(list, 3, &ch);
        SpUpstream_Sent(u, ch.now);
        SpUpstream_Ended(u, ch.now, 1);
        slow_sends += u == &slow;
        far_sends += u == &far;
    }
    CU_ASSERT(slow_sends >= 2 && slow_sends <= 4); /* in 10 s */
    CU_ASSERT_EQUAL(far_sends, 0);
}

/* A fast instance is not loaded up to its limit while a slower one has free
   slots. */
static void
test_chooser_full(void)
{
    SpUpstream fast = {.same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream slow = {.same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream *list[] = {&fast, &slow};
    uint64_t seed = 1;
    SpBalancerOpts ch = {0, SpBalancer_CrossZoneCost(0, 0), NULL, 0, &seed};

    fast.run_us = 180 * SP_MS;
    slow.run_us = 420 * SP_MS;
    fast.busy = 50;
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &fast);
    fast.busy = 95;
    CU_ASSERT_PTR_EQUAL(SpBalancer_Pick(list, 2, &ch), &slow);
}

/* What is explained is what would be selected, and asking changes nothing. */
static void
test_chooser_explain(void)
{
    SpUpstream near = {.same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream far = {.accepts = SP_ACCEPT_ALL, .limit = 100};
    SpUpstream failed = {.same_zone = 1, .accepts = SP_ACCEPT_ALL, .limit = 9};
    SpUpstream *list[] = {&near, &far, &failed};
    SpUpstreamView views[3];
    uint64_t seed = 1;
    SpBalancerOpts ch = {SP_SEC, SpBalancer_CrossZoneCost(0, 0), NULL, 0,
                         &seed};
    int busy, i;

    near.run_us = far.run_us = failed.run_us = 100 * SP_MS;
    near.sent_at = far.sent_at = failed.sent_at = SP_SEC;
    failed.avoid_until = 2 * SP_SEC;
    for (busy = 0; busy < 200; busy += 10) {
        near.busy = busy;
        SpBalancer_Explain(list, 3, &ch, views);
        CU_ASSERT_EQUAL(seed, 1);
        CU_ASSERT(views[2].avoided && !views[2].selectable);
        CU_ASSERT(views[0].used > busy / 100.0);
        for (i = 0; i < 3; i++) {
            if (SpBalancer_Pick(list, 3, &ch) == list[i]) {
                CU_ASSERT(views[i].selectable);
            }
        }
        seed = 1;
    }
}

/* A node that has just started has not measured a run time and reports 0: its
   instance must not be taken for a fast one. */
static void
test_chooser_fresh(void)
{
    enum { COUNT = 4, SENDS = 400 };
    SpUpstream up[COUNT], *list[COUNT], *u;
    uint64_t rand = 1;
    SpBalancerOpts ch = {0, SpBalancer_CrossZoneCost(0, 0), NULL, 0, &rand};
    int i, fresh = 0;

    memset(up, 0, sizeof up);
    for (i = 0; i < COUNT; i++) {
        up[i].accepts = SP_ACCEPT_ALL;
        up[i].same_zone = 1;
        up[i].limit = 200;
        up[i].run_us = i ? 150 * SP_MS : 0;
        up[i].busy = i ? 30 : 0;
        list[i] = &up[i];
    }
    for (i = 0; i < SENDS; i++) {
        u = SpBalancer_Pick(list, COUNT, &ch);
        fresh += u == &up[0];
        SpUpstream_Sent(u, 0);
    }
    CU_ASSERT(fresh <= SENDS / COUNT * 3 / 2);
}

const Unit chooser_units[] = {
    {"flow", "chooser", test_chooser},
    {"flow", "chooser, other zones", test_chooser_far},
    {"flow", "chooser, fresh node", test_chooser_fresh},
    {"flow", "chooser, spread", test_chooser_spread},
    {"flow", "chooser, full", test_chooser_full},
    {"flow", "chooser, explained", test_chooser_explain},
    {"flow", "chooser, probe", test_chooser_probe},
    {NULL, NULL, NULL}};
