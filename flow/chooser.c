/* Which instance takes the next request. */
#include "flow/flow.h"

/* What a run in another zone costs beside its time: the delay, and the bytes
   that are charged. No more than a share of the aim: a request that the own
   zone would make late goes elsewhere. */
#define FAR_US (40.0 * SP_MS)
#define FAR_US_PER_KB (30.0 * SP_MS)
#define FAR_AIM_SHARE 0.3
#define KB 1024.0
/* What is taken for a run where no instance has told any. */
#define UNKNOWN_RUN_US (30.0 * SP_MS)
/* Random part of a cost, so that many nodes do not choose alike. */
#define NOISE 0.1
/* Beyond this share of the limit, a queue is near: what a full one costs. */
#define NEARLY_FULL 0.85
#define FULL_US (40.0 * SP_MS)
/* After so many failures in a row an instance is avoided for BAD_US. */
#define MAX_FAILS 3
#define BAD_US (1 * SP_SEC)

static int
was_tried(const SpUpstream *u, SpUpstream *const *tried, int ntried)
{
    int i;

    for (i = 0; i < ntried; i++) {
        if (tried[i] == u) {
            return 1;
        }
    }
    return 0;
}

/* The mean run of those that have told one. */
static double
usual_run(SpUpstream *const *list, guint n)
{
    double sum = 0;
    guint i, told = 0;

    for (i = 0; i < n; i++) {
        if (list[i]->run_us > 0) {
            sum += list[i]->run_us;
            told++;
        }
    }
    return told ? sum / told : UNKNOWN_RUN_US;
}

int64_t
SpChooser_Far(double bytes, int64_t aim_us)
{
    double us = FAR_US + FAR_US_PER_KB * bytes / KB;

    if (aim_us > 0) {
        us = MIN(us, FAR_AIM_SHARE * (double)aim_us);
    }
    return (int64_t)us;
}

static double
cost_of(const SpUpstream *u, double usual, int64_t far_us)
{
    double busy = u->busy + MAX(0, u->mine - u->mine_told) + 1;
    double limit = MAX(1.0, u->limit);
    double run = u->run_us > 0 ? u->run_us : usual;
    double cost, over = busy / limit;

    cost = run * (1 + over * over * over);
    if (over > NEARLY_FULL) {
        cost += FULL_US * (over - NEARLY_FULL) / (1 - NEARLY_FULL);
    }
    return u->near ? cost : cost + (double)far_us;
}

static SpUpstream *
pick(SpUpstream *const *list, guint n, const SpChoice *ch, SpTakes takes,
     int bad)
{
    SpUpstream *best = NULL;
    double low = 0, cost, usual = usual_run(list, n);
    guint i;

    for (i = 0; i < n; i++) {
        SpUpstream *u = list[i];
        if (u->takes != takes || was_tried(u, ch->tried, ch->ntried) ||
            (!bad && u->bad_until > ch->now)) {
            continue;
        }
        cost = cost_of(u, usual, ch->far_us) *
               (1 + NOISE * SpRand_Unit(ch->rand));
        if (!best || cost < low) {
            best = u;
            low = cost;
        }
    }
    return best;
}

SpUpstream *
SpChooser_Pick(SpUpstream *const *list, guint n, const SpChoice *ch)
{
    static const struct {
        SpTakes takes;
        int bad;
    } order[] = {{SP_TAKES_ALL, 0}, {SP_TAKES_LAST, 0}, {SP_TAKES_ALL, 1}};
    SpUpstream *u = NULL;
    size_t i;

    for (i = 0; !u && i < G_N_ELEMENTS(order); i++) {
        u = pick(list, n, ch, order[i].takes, order[i].bad);
    }
    return u;
}

void
SpUpstream_Sent(SpUpstream *u)
{
    u->mine++;
}

void
SpUpstream_Ended(SpUpstream *u, int64_t now, int ok)
{
    u->mine--;
    u->mine_told = MIN(u->mine_told, u->mine);
    if (ok) {
        u->fails = 0;
        u->bad_until = 0;
        return;
    }
    if (++u->fails >= MAX_FAILS) {
        u->bad_until = now + BAD_US;
    }
}
