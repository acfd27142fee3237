/* Load balancing over the instances of a service. */
#include "flow/flow.h"

/* Added cost of a request to another zone: network delay, and the bytes that
   are billed. Capped at a share of the target latency, so that a request that
   would be late in this zone is sent to another. */
#define FAR_US (40.0 * SP_MS)
#define FAR_US_PER_KB (30.0 * SP_MS)
#define FAR_AIM_SHARE 0.3
#define KB 1024.0
/* Default run time when no instance has reported one. */
#define UNKNOWN_RUN_US (30.0 * SP_MS)
/* Utilization adds little to the cost up to LIGHT_SHARE of the limit and grows
   quadratically beyond. */
#define LIGHT_SHARE 0.6
#define LIGHT_WEIGHT 0.3
#define FULL_WEIGHT 4.0
/* A lightly loaded instance in this zone gets a request at least this often,
   because the figures of an idle instance become outdated. */
#define TRICKLE_US (4 * SP_SEC)
/* Power of two choices among the instances within this factor of the lowest
   cost: many nodes with the same data must not all select the same one. */
#define BAND 1.3
/* After this many consecutive failures an instance is avoided for BAD_US. */
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

/* Mean run time of the instances that have reported one. */
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

/* Utilization of the limit with one more request. */
static double
use_of(const SpUpstream *u)
{
    double busy = u->busy + MAX(0, u->mine - u->mine_told) + 1;

    return busy / MAX(1.0, u->limit);
}

/* Estimated cost in microseconds. */
static double
cost_of(const SpUpstream *u, double usual, int64_t far_us)
{
    double over = use_of(u);
    double run = u->run_us > 0 ? u->run_us : usual;
    double full = MAX(0, over - LIGHT_SHARE) / (1 - LIGHT_SHARE);
    double cost = run * (1 + LIGHT_WEIGHT * over + FULL_WEIGHT * full * full);

    return u->near ? cost : cost + (double)far_us;
}

/* Parameters of one selection pass. */
typedef struct Pick {
    SpUpstream *const *list;
    guint n;
    const SpChoice *ch;
    SpTakes takes;
    int bad; /* 1: include instances that failed recently */
    double usual;
} Pick;

static int
is_open(const Pick *p, const SpUpstream *u)
{
    return u->takes == p->takes &&
           !was_tried(u, p->ch->tried, p->ch->ntried) &&
           (p->bad || u->bad_until <= p->ch->now);
}

static SpUpstream *
cheapest(const Pick *p, double *low)
{
    SpUpstream *best = NULL;
    double cost;
    guint i;

    for (i = 0; i < p->n; i++) {
        if (!is_open(p, p->list[i])) {
            continue;
        }
        cost = cost_of(p->list[i], p->usual, p->ch->far_us);
        if (!best || cost < *low) {
            best = p->list[i];
            *low = cost;
        }
    }
    return best;
}

/* Draws two candidates of similar cost in the same kind of zone (this one or
   another) and returns the cheaper one. */
static SpUpstream *
draw(const Pick *p, const SpUpstream *best, double low)
{
    SpUpstream *drawn[2] = {NULL, NULL};
    double costs[2] = {0, 0}, cost;
    guint i, at, seen = 0;

    for (i = 0; i < p->n; i++) {
        SpUpstream *u = p->list[i];
        if (!is_open(p, u) || u->near != best->near) {
            continue;
        }
        cost = cost_of(u, p->usual, p->ch->far_us);
        if (cost > BAND * low) {
            continue;
        }
        at = seen < 2 ? seen : (guint)(SpRand_Unit(p->ch->rand) * (seen + 1));
        seen++;
        if (at < 2) {
            drawn[at] = u;
            costs[at] = cost;
        }
    }
    return drawn[1] && costs[1] < costs[0] ? drawn[1] : drawn[0];
}

/* An instance that is due for a request by TRICKLE_US; NULL if there is none.
 */
static SpUpstream *
untried(const Pick *p)
{
    guint i;

    for (i = 0; i < p->n; i++) {
        SpUpstream *u = p->list[i];
        if (u->near && p->ch->now - u->sent_at > TRICKLE_US && is_open(p, u) &&
            use_of(u) < LIGHT_SHARE) {
            return u;
        }
    }
    return NULL;
}

static SpUpstream *
pick(const Pick *p)
{
    double low = 0;
    const SpUpstream *best = cheapest(p, &low);

    return best ? draw(p, best, low) : NULL;
}

SpUpstream *
SpChooser_Pick(SpUpstream *const *list, guint n, const SpChoice *ch)
{
    static const struct {
        SpTakes takes;
        int bad;
    } order[] = {{SP_TAKES_ALL, 0}, {SP_TAKES_LAST, 0}, {SP_TAKES_ALL, 1}};
    Pick p = {list, n, ch, SP_TAKES_ALL, 0, usual_run(list, n)};
    SpUpstream *u = ch->ntried ? NULL : untried(&p);
    size_t i;

    for (i = 0; !u && i < G_N_ELEMENTS(order); i++) {
        p.takes = order[i].takes;
        p.bad = order[i].bad;
        u = pick(&p);
    }
    return u;
}

void
SpUpstream_Sent(SpUpstream *u, int64_t now)
{
    u->sent_at = now;
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
