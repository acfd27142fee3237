/* Unit tests and load replays of the queue that workspaces share. */
#include <CUnit/Basic.h>
#include <string.h>

#include "flow/flow.h"
#include "test/test.h"

#define NITEMS 64

static int
position_in(const SpFairItem *items, const SpFairItem *i)
{
    return i ? (int)(i - items) : -1;
}

/* Guards against any other order than that of arrival where there are no
   workspaces, also while requests are cancelled. */
static void
test_arrival_order(void)
{
    SpFairItem items[NITEMS];
    GQueue model = G_QUEUE_INIT;
    SpFairQueue q;
    uint64_t rand = 3;
    int i, k, wrong = 0;

    memset(items, 0, sizeof items);
    SpFairQueue_Init(&q);
    for (k = 0; k < 20000; k++) {
        i = (int)(SpRand(&rand) % NITEMS);
        if (items[i].flow && SpRand(&rand) % 2) {
            SpFairQueue_Remove(&q, &items[i]);
            g_queue_remove(&model, &items[i]);
        }
        else if (items[i].flow) {
            wrong += SpFairQueue_Take(&q) != g_queue_pop_head(&model);
        }
        else {
            wrong += SpFairQueue_Ahead(&q, "", 0) != model.length;
            SpFairQueue_Push(&q, &items[i], k % 2 ? NULL : "", 0);
            g_queue_push_tail(&model, &items[i]);
        }
    }
    CU_ASSERT_EQUAL(wrong, 0);
    CU_ASSERT_PTR_NULL(q.flows);
    g_queue_clear(&model);
    SpFairQueue_Clear(&q);
}

/* Guards against requests of others that wait behind a flood, and against a
   flood that believes it comes next. A few of its requests are tolerated. */
static void
test_turns(void)
{
    SpFairItem items[NITEMS];
    SpFairQueue q;
    int i, before = 0;

    memset(items, 0, sizeof items);
    SpFairQueue_Init(&q);
    for (i = 0; i < 40; i++) {
        SpFairQueue_Push(&q, &items[i], "flood", 0.1);
    }
    CU_ASSERT(SpFairQueue_Ahead(&q, "small", 0.1) <= 10);
    CU_ASSERT(SpFairQueue_Ahead(&q, "", 0) <= 10);
    CU_ASSERT_EQUAL(SpFairQueue_Ahead(&q, "flood", 0.1), 40);
    SpFairQueue_Push(&q, &items[40], "small", 0.1);
    SpFairQueue_Push(&q, &items[41], "", 0);
    SpFairQueue_Remove(&q, &items[30]);
    while (items[41].flow) {
        i = position_in(items, SpFairQueue_Take(&q));
        CU_ASSERT(i != 41 || !items[40].flow);
        before++;
    }
    CU_ASSERT(before <= 12);
    CU_ASSERT_EQUAL((int)q.items.length, 41 - before);
    SpFairQueue_Clear(&q);
}

/* Guards against turns that leave out the weights: of two that always wait,
   one is served three times as often, but for the few tolerated. */
static void
test_weights(void)
{
    SpFairItem items[NITEMS], *i;
    SpFairQueue q;
    int k, heavy = 0;

    memset(items, 0, sizeof items);
    SpFairQueue_Init(&q);
    for (k = 0; k < NITEMS; k++) {
        SpFairQueue_Push(&q, &items[k], k % 2 ? "heavy" : "light",
                         k % 2 ? 0.75 : 0.25);
    }
    for (k = 0; k < 4000; k++) {
        i = SpFairQueue_Take(&q);
        heavy += position_in(items, i) % 2;
        SpFairQueue_Push(&q, i, position_in(items, i) % 2 ? "heavy" : "light",
                         position_in(items, i) % 2 ? 0.75 : 0.25);
    }
    CU_ASSERT_DOUBLE_EQUAL(heavy, 3000, 30);
    SpFairQueue_Clear(&q);
}

/* Guards against a small workspace that waits without end for its second
   request: in order of arrival it would be the 22nd. */
static void
test_light_second(void)
{
    SpFairItem items[NITEMS], *i = NULL;
    SpFairQueue q;
    int k;

    memset(items, 0, sizeof items);
    SpFairQueue_Init(&q);
    for (k = 0; k < 20; k++) {
        SpFairQueue_Push(&q, &items[k], "heavy", 0.9);
    }
    SpFairQueue_Push(&q, &items[20], "light", 0.001);
    SpFairQueue_Push(&q, &items[21], "light", 0.001);
    for (k = 0; k < 200 && i != &items[21]; k++) {
        i = SpFairQueue_Take(&q);
        if (position_in(items, i) < 20) {
            SpFairQueue_Push(&q, i, "heavy", 0.9);
        }
    }
    CU_ASSERT(k <= 24);
    SpFairQueue_Clear(&q);
}

/* Guards against state that grows with the workspaces that were ever seen. */
static void
test_many_names(void)
{
    SpFairItem items[NITEMS], *i;
    SpFairQueue q;
    char name[16];
    int k;

    memset(items, 0, sizeof items);
    SpFairQueue_Init(&q);
    for (k = 0; k < NITEMS; k++) {
        SpFairQueue_Push(&q, &items[k], "busy", 0.9);
    }
    for (k = 0; k < 20000; k++) {
        i = SpFairQueue_Take(&q);
        g_snprintf(name, sizeof name, "w%d", k % 10000);
        SpFairQueue_Push(&q, i, k % 2 ? name : "busy", k % 2 ? 0.0001 : 0.9);
    }
    CU_ASSERT(g_hash_table_size(q.flows) <= 2 * 1024 + NITEMS);
    while (SpFairQueue_Take(&q)) {
    }
    CU_ASSERT_EQUAL(g_hash_table_size(q.flows), 0);
    SpFairQueue_Clear(&q);
}

/*
 * Replay: one instance of ten slots, six workspaces of equal weight at 60
 * requests a second each, which it can serve; then the last sends 7.5 times
 * that. Admission lets all in.
 */
#define REPLAY_RUN_US (20 * SP_MS)
#define REPLAY_LEFT_US (300 * SP_MS)
#define REPLAY_WORKSPACES 6

typedef struct Run {
    SpLimiterReq req;
    int workspace;
    int64_t ends;
} Run;

typedef struct Replay {
    SpLimiter limiter;
    GQueue running;
    int named; /* 0: requests name no workspace */
    double offered[REPLAY_WORKSPACES], served[REPLAY_WORKSPACES];
    uint64_t rand;
} Replay;

static void
begin_run(Replay *p, int64_t now, Run *r)
{
    r->ends = now + (int64_t)((0.5 + SpRand_Unit(&p->rand)) * REPLAY_RUN_US);
    g_queue_push_tail(&p->running, r);
}

static void
offer(Replay *p, int64_t now, int workspace)
{
    static const char *const names[] = {"a", "b", "c", "d", "e", "flood"};
    Run *r = g_new0(Run, 1);

    p->offered[workspace]++;
    r->workspace = workspace;
    r->req.user = r;
    r->req.rank = 1;
    r->req.deadline = now + REPLAY_LEFT_US;
    r->req.workspace = p->named ? names[workspace] : NULL;
    r->req.part = 1.0 / REPLAY_WORKSPACES;
    switch (SpLimiter_Submit(&p->limiter, now, &r->req)) {
    case SP_LIMITER_RUN:
        begin_run(p, now, r);
        break;
    case SP_LIMITER_QUEUE:
        break;
    case SP_LIMITER_REJECT:
        g_free(r);
        break;
    }
}

static void
end_runs(Replay *p, int64_t now)
{
    GList *k, *next;

    for (k = p->running.head; k; k = next) {
        Run *r = k->data;
        next = k->next;
        if (now >= r->ends) {
            g_queue_delete_link(&p->running, k);
            SpLimiter_End(&p->limiter, now, &r->req, now - r->req.started);
            p->served[r->workspace] += now <= r->req.deadline;
            g_free(r);
        }
    }
}

static void
replay(Replay *p, int64_t from, int64_t until, double x)
{
    SpLimiterReq *req;
    int64_t now;
    int i;

    for (now = from; now < until; now += SP_MS) {
        for (i = 0; i < REPLAY_WORKSPACES; i++) {
            double per_s = 60 * (i == REPLAY_WORKSPACES - 1 ? x : 1);
            if (SpRand_Unit(&p->rand) < per_s * SP_MS / SP_SEC) {
                offer(p, now, i);
            }
        }
        end_runs(p, now);
        while ((req = SpLimiter_DequeueLate(&p->limiter, now)) != NULL) {
            g_free(req->user);
        }
        while ((req = SpLimiter_Dequeue(&p->limiter, now)) != NULL) {
            begin_run(p, now, req->user);
        }
    }
}

static void
replay_flood(Replay *p, int named)
{
    memset(p, 0, sizeof *p);
    p->rand = 11;
    p->named = named;
    SpLimiter_Init(&p->limiter);
    SpLimiter_SetLimit(&p->limiter, 10);
    replay(p, 0, 5 * SP_SEC, 1);
    memset(p->offered, 0, sizeof p->offered);
    memset(p->served, 0, sizeof p->served);
    replay(p, 5 * SP_SEC, 25 * SP_SEC, 7.5);
    replay(p, 25 * SP_SEC, 30 * SP_SEC, 0);
    SpLimiter_Clear(&p->limiter);
    g_queue_clear_full(&p->running, g_free);
}

static double
sum_served(const Replay *p)
{
    double sum = 0;
    int i;

    for (i = 0; i < REPLAY_WORKSPACES; i++) {
        sum += p->served[i];
    }
    return sum;
}

/* Guards against a queue in which all wait for one; the room must not be spent
   on requests that become late in it. */
static void
test_queue_flood(void)
{
    Replay fair, arrival;
    int i;

    replay_flood(&fair, 1);
    replay_flood(&arrival, 0);
    for (i = 0; i < REPLAY_WORKSPACES - 1; i++) {
        CU_ASSERT(fair.served[i] >= 0.98 * fair.offered[i]);
    }
    CU_ASSERT(sum_served(&fair) >= 0.95 * sum_served(&arrival));
}

const Unit fairqueue_units[] = {
    {"fair queue", "order of arrival", test_arrival_order},
    {"fair queue", "turns", test_turns},
    {"fair queue", "weights", test_weights},
    {"fair queue", "second of a small one", test_light_second},
    {"fair queue", "many names", test_many_names},
    {"fair queue", "flood at an instance", test_queue_flood},
    {NULL, NULL, NULL}};
