/* Load balancing over the instances of a service. */
#include "flow/flow.h"

/* Added cost of a request to another zone: network delay, and the bytes that
   are billed. Capped at a share of the target latency, so that a request that
   would be late in this zone is sent to another. */
#define CROSS_ZONE_US (40.0 * SP_MS)
#define CROSS_ZONE_US_PER_KB (30.0 * SP_MS)
#define CROSS_ZONE_AIM_SHARE 0.3
#define KB 1024.0
/* Default run time when no instance has reported one. */
#define DEFAULT_RUN_US (30.0 * SP_MS)
/* Utilization adds little to the cost up to LIGHT_SHARE of the limit and grows
   quadratically beyond. */
#define LIGHT_SHARE 0.6
#define LIGHT_WEIGHT 0.3
#define FULL_WEIGHT 4.0
/* A lightly loaded instance in this zone gets a request at least this often,
   because the figures of an instance that gets no requests become outdated. */
#define PROBE_INTERVAL_US (4 * SP_SEC)
/* Power of two choices among the instances within this factor of the lowest
   cost: many nodes with the same data must not all select the same one. */
#define COST_BAND 1.3
/* After this many consecutive failures an instance is avoided for AVOID_US. */
#define MAX_FAILS 3
#define AVOID_US (1 * SP_SEC)

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
mean_run(SpUpstream *const *list, guint n)
{
    double sum = 0;
    guint i, reported = 0;

    for (i = 0; i < n; i++) {
        if (list[i]->run_us > 0) {
            sum += list[i]->run_us;
            reported++;
        }
    }
    return reported ? sum / reported : DEFAULT_RUN_US;
}

int64_t
SpBalancer_CrossZoneCost(double bytes, int64_t aim_us)
{
    double us = CROSS_ZONE_US + CROSS_ZONE_US_PER_KB * bytes / KB;

    if (aim_us > 0) {
        us = MIN(us, CROSS_ZONE_AIM_SHARE * (double)aim_us);
    }
    return (int64_t)us;
}

/* Utilization of the limit with one more request. */
static double
utilization(const SpUpstream *u)
{
    double busy = u->busy + MAX(0, u->in_flight - u->in_flight_reported) + 1;

    return busy / MAX(1.0, u->limit);
}

/* Estimated cost in microseconds. */
static double
cost_of(const SpUpstream *u, double mean_run_us, int64_t cross_zone_us)
{
    double used = utilization(u);
    double run = u->run_us > 0 ? u->run_us : mean_run_us;
    double overload = MAX(0, used - LIGHT_SHARE) / (1 - LIGHT_SHARE);
    double cost =
        run * (1 + LIGHT_WEIGHT * used + FULL_WEIGHT * overload * overload);

    return u->same_zone ? cost : cost + (double)cross_zone_us;
}

/* Parameters of one selection pass. */
typedef struct Pick {
    SpUpstream *const *list;
    guint n;
    const SpBalancerOpts *opts;
    SpAcceptState accepts;
    int include_failed; /* 1: include instances that failed recently */
    double mean_run_us;
} Pick;

static int
is_candidate(const Pick *p, const SpUpstream *u)
{
    return u->accepts == p->accepts &&
           !was_tried(u, p->opts->tried, p->opts->ntried) &&
           (p->include_failed || u->avoid_until <= p->opts->now);
}

static SpUpstream *
cheapest(const Pick *p, double *min_cost)
{
    SpUpstream *best = NULL;
    double cost;
    guint i;

    for (i = 0; i < p->n; i++) {
        if (!is_candidate(p, p->list[i])) {
            continue;
        }
        cost = cost_of(p->list[i], p->mean_run_us, p->opts->cross_zone_us);
        if (!best || cost < *min_cost) {
            best = p->list[i];
            *min_cost = cost;
        }
    }
    return best;
}

/* Only candidates of the zone of the best one are drawn, or only those of
   other zones if it is in another. */
static int
is_in_band(const Pick *p, const SpUpstream *u, const SpUpstream *best,
           double cost, double min_cost)
{
    return is_candidate(p, u) && u->same_zone == best->same_zone &&
           cost <= COST_BAND * min_cost;
}

/* Returns the cheaper of two random candidates whose cost is within COST_BAND.
 */
static SpUpstream *
draw_two(const Pick *p, const SpUpstream *best, double min_cost)
{
    SpUpstream *candidates[2] = {NULL, NULL};
    double costs[2] = {0, 0}, cost;
    guint i, at, seen = 0;

    for (i = 0; i < p->n; i++) {
        SpUpstream *u = p->list[i];
        cost = cost_of(u, p->mean_run_us, p->opts->cross_zone_us);
        if (!is_in_band(p, u, best, cost, min_cost)) {
            continue;
        }
        at =
            seen < 2 ? seen : (guint)(SpRand_Unit(p->opts->rand) * (seen + 1));
        seen++;
        if (at < 2) {
            candidates[at] = u;
            costs[at] = cost;
        }
    }
    return candidates[1] && costs[1] < costs[0] ? candidates[1]
                                                : candidates[0];
}

/* Returns a lightly loaded instance in this zone that has had no request from
   this node for PROBE_INTERVAL_US, or NULL. */
static SpUpstream *
find_stale(const Pick *p)
{
    guint i;

    for (i = 0; i < p->n; i++) {
        SpUpstream *u = p->list[i];
        if (u->same_zone && p->opts->now - u->sent_at > PROBE_INTERVAL_US &&
            is_candidate(p, u) && utilization(u) < LIGHT_SHARE) {
            return u;
        }
    }
    return NULL;
}

static SpUpstream *
pick(const Pick *p)
{
    double min_cost = 0;
    const SpUpstream *best = cheapest(p, &min_cost);

    return best ? draw_two(p, best, min_cost) : NULL;
}

/* The passes of a selection, until one finds a candidate. */
static const struct {
    SpAcceptState accepts;
    int include_failed;
} passes[] = {
    {SP_ACCEPT_ALL, 0}, {SP_ACCEPT_LAST_RESORT, 0}, {SP_ACCEPT_ALL, 1}};

static void
begin_pass(Pick *p, size_t i)
{
    p->accepts = passes[i].accepts;
    p->include_failed = passes[i].include_failed;
}

SpUpstream *
SpBalancer_Pick(SpUpstream *const *list, guint n, const SpBalancerOpts *o)
{
    Pick p = {list, n, o, SP_ACCEPT_ALL, 0, mean_run(list, n)};
    SpUpstream *u = o->ntried ? NULL : find_stale(&p);
    size_t i;

    for (i = 0; !u && i < G_N_ELEMENTS(passes); i++) {
        begin_pass(&p, i);
        u = pick(&p);
    }
    return u;
}

/* Marks the instances among which a selection would draw. */
static void
mark_selectable(Pick *p, SpUpstreamView *views)
{
    const SpUpstream *stale = find_stale(p), *best = NULL;
    double min_cost = 0;
    size_t i;
    guint k;

    for (i = 0; !stale && !best && i < G_N_ELEMENTS(passes); i++) {
        begin_pass(p, i);
        best = cheapest(p, &min_cost);
    }
    for (k = 0; k < p->n; k++) {
        SpUpstreamView *v = &views[k];
        v->selectable =
            v->upstream == stale ||
            (best && is_in_band(p, v->upstream, best, v->cost_us, min_cost));
    }
}

void
SpBalancer_Explain(SpUpstream *const *list, guint n, const SpBalancerOpts *o,
                   SpUpstreamView *views)
{
    Pick p = {list, n, o, SP_ACCEPT_ALL, 0, mean_run(list, n)};
    guint i;

    for (i = 0; i < n; i++) {
        views[i].upstream = list[i];
        views[i].cost_us = cost_of(list[i], p.mean_run_us, o->cross_zone_us);
        views[i].used = utilization(list[i]);
        views[i].avoided = list[i]->avoid_until > o->now;
    }
    mark_selectable(&p, views);
}

void
SpUpstream_Sent(SpUpstream *u, int64_t now)
{
    u->sent_at = now;
    u->in_flight++;
}

void
SpUpstream_Ended(SpUpstream *u, int64_t now, int ok)
{
    u->in_flight--;
    u->in_flight_reported = MIN(u->in_flight_reported, u->in_flight);
    if (ok) {
        u->fails = 0;
        u->avoid_until = 0;
        return;
    }
    if (++u->fails >= MAX_FAILS) {
        u->avoid_until = now + AVOID_US;
    }
}
