/*
 * Replays of loads and failures on 84 nodes with quotas, in three zones and
 * without a network.
 *
 * A window of a workspace must not pass what is allowed in it: worst is the
 * largest one, as a part of that.
 */
#include <CUnit/CUnit.h>

#include "test/quotasim.h"
#include "test/test.h"

/* Three messages, from a node to its coordinator, to another coordinator and
   to its nodes, take 400 ms. */
#define DELAY_US (133 * SP_MS)
#define FLOOD 7.5
/* Time for the demand to settle. */
#define SETTLE_S 15

static const SimOpts many = {84, 3, 84, 2200, 1.2, 1.6, DELAY_US, 1};

/* A workspace as large as all others together floods, and a middle and a small
   one. */
static void
test_flood(void)
{
    static const guint flooding[] = {0, 10, 60};
    Sim *s = Sim_New(&many);
    guint i;

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    for (i = 0; i < G_N_ELEMENTS(flooding); i++) {
        Sim_SetUse(s, flooding[i], FLOOD);
    }
    Sim_Run(s, 6.5);
    for (i = 0; i < G_N_ELEMENTS(flooding); i++) {
        const SimCount *c = Sim_Count(s, flooding[i]);
        CU_ASSERT(c->worst <= 1);
        CU_ASSERT(c->offered > 3 * c->owed);
        CU_ASSERT((double)c->admitted > 0.9 * (double)c->owed);
        Sim_SetUse(s, flooding[i], 1);
    }
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Worst(s) <= 1);
    CU_ASSERT(Sim_Refused(s, flooding, G_N_ELEMENTS(flooding)) < 0.002);
    Sim_Free(s);
}

/* Calm: what is allowed passes, at few bytes a node. */
static void
test_calm(void)
{
    Sim *s = Sim_New(&many);

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    Sim_Run(s, 10);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.002);
    CU_ASSERT((double)Sim_Bytes(s) / 10 / many.nodes < 4000);
    CU_ASSERT((double)Sim_MostBytes(s) / 10 < 24000);
    Sim_Free(s);
}

static void
test_shift(void)
{
    Sim *s = Sim_New(&many);

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    Sim_Shift(s, 0, 1, 0.5);
    Sim_Run(s, 8);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.002);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* A thousand workspaces are nearly idle, and one is busy at four nodes. */
static void
test_one_busy(void)
{
    SimOpts o = many;
    Sim *s;

    o.workspaces = 1001;
    o.per_s = 500;
    o.skew = 0;
    s = Sim_New(&o);
    Sim_SetCallers(s, 0, 4);
    Sim_SetQuota(s, 0, 1000);
    Sim_SetUse(s, 0, 600);
    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    Sim_Run(s, 10);
    CU_ASSERT_EQUAL(Sim_Count(s, 0)->refused, 0);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.01);
    Sim_Free(s);
}

/* All workspaces send four times their usual. */
static void
test_all_over(void)
{
    Sim *s = Sim_New(&many);
    guint w;

    Sim_Run(s, SETTLE_S);
    for (w = 0; w < many.workspaces; w++) {
        Sim_SetUse(s, w, 4);
    }
    Sim_Clear(s);
    Sim_Run(s, 10);
    CU_ASSERT(Sim_Worst(s) <= 1);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.02);
    CU_ASSERT((double)Sim_Bytes(s) / 10 / many.nodes < 24000);
    Sim_Free(s);
}

/* A zone is cut off, a limit is lowered, and the workspace floods on both
   sides: the limit binds in the cut zone when it has the configuration. */
static void
test_zone_cut(void)
{
    Sim *s = Sim_New(&many);

    Sim_Run(s, SETTLE_S);
    Sim_CutZone(s, 2, 1);
    Sim_Run(s, 1);
    Sim_SetQuota(s, 0, 0.5);
    Sim_SetUse(s, 1, FLOOD);
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Count(s, 1)->worst <= 1);
    Sim_CutZone(s, 2, 0);
    Sim_Run(s, 5);
    Sim_Clear(s);
    Sim_SetUse(s, 0, FLOOD);
    Sim_Run(s, 8);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* In a calm cut each side has what it used before. */
static void
test_zone_cut_calm(void)
{
    Sim *s = Sim_New(&many);

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    Sim_CutZone(s, 2, 1);
    Sim_Run(s, 6);
    Sim_CutZone(s, 2, 0);
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.005);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* A coordinator is killed, and one that takes over later; both come back. */
static void
test_coordinator_killed(void)
{
    Sim *s = Sim_New(&many);

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    Sim_Kill(s, 0);
    Sim_Run(s, 3);
    Sim_Kill(s, 3);
    Sim_Run(s, 3);
    Sim_Restart(s, 0);
    Sim_Restart(s, 3);
    Sim_Run(s, 8);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.005);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Clear(s);
    Sim_SetUse(s, 0, FLOOD);
    Sim_Run(s, 1);
    Sim_Kill(s, 0);
    Sim_Run(s, 4);
    Sim_Restart(s, 0);
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* The nodes of a zone find different coordinators first, and agree later: none
   of the earlier ones holds anything for them. */
static void
test_scattered(void)
{
    Sim *s = Sim_New(&many);

    Sim_Scatter(s, 1);
    Sim_Run(s, 4);
    Sim_Scatter(s, 0);
    Sim_Run(s, 3);
    Sim_Clear(s);
    Sim_Run(s, 10);
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.002);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* A coordinator and a node stand still and wake with what they knew, while a
   workspace floods. */
static void
test_frozen(void)
{
    Sim *s = Sim_New(&many);

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    Sim_Freeze(s, 0, 1);
    Sim_Freeze(s, 9, 1);
    Sim_Run(s, 4);
    Sim_SetUse(s, 0, FLOOD);
    Sim_Run(s, 4);
    Sim_Freeze(s, 0, 0);
    Sim_Freeze(s, 9, 0);
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* 25 nodes are cut off one by one, and workspaces flood at all. */
static void
test_nodes_cut(void)
{
    Sim *s = Sim_New(&many);
    guint i;

    Sim_Run(s, SETTLE_S);
    Sim_Clear(s);
    for (i = 9; i < 34; i++) {
        Sim_CutNode(s, i, 1);
    }
    Sim_Run(s, 2);
    Sim_SetUse(s, 0, FLOOD);
    Sim_SetUse(s, 40, FLOOD);
    Sim_Run(s, 6);
    Sim_SetUse(s, 0, 1);
    Sim_SetUse(s, 40, 1);
    for (i = 9; i < 34; i++) {
        Sim_CutNode(s, i, 0);
    }
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

/* All nodes restart while a workspace floods: nobody knows what was used, and
   the first fractions come after five messages. Those take less time here. */
static void
test_all_restart(void)
{
    SimOpts o = many;
    Sim *s;
    guint i;

    o.delay_us = 50 * SP_MS;
    s = Sim_New(&o);

    Sim_Run(s, SETTLE_S);
    for (i = 0; i < many.nodes; i++) {
        Sim_Restart(s, i);
    }
    Sim_Clear(s);
    Sim_Run(s, 6);
    /* for a second each node keeps to an equal part */
    CU_ASSERT(Sim_Refused(s, NULL, 0) < 0.05);
    Sim_SetUse(s, 0, FLOOD);
    Sim_Run(s, 3);
    for (i = 0; i < many.nodes; i++) {
        Sim_Restart(s, i);
    }
    Sim_Run(s, 6);
    CU_ASSERT(Sim_Worst(s) <= 1);
    Sim_Free(s);
}

const Unit quota_load_units[] = {
    {"quota", "load: calm", test_calm},
    {"quota", "load: flood", test_flood},
    {"quota", "load: shift", test_shift},
    {"quota", "load: one busy", test_one_busy},
    {"quota", "load: all over", test_all_over},
    {"quota", "failure: zone cut", test_zone_cut},
    {"quota", "failure: calm zone cut", test_zone_cut_calm},
    {"quota", "failure: coordinator killed", test_coordinator_killed},
    {"quota", "failure: scattered", test_scattered},
    {"quota", "failure: frozen", test_frozen},
    {"quota", "failure: nodes cut", test_nodes_cut},
    {"quota", "failure: all restart", test_all_restart},
    {NULL, NULL, NULL}};
