/* What the runs of an instance tell of its capacity. */
#include <math.h>
#include <string.h>

#include "flow/capacity.h"

/* Part of the announced slots to use at most. */
#define SLOTS_SHARE 0.95
#define STEP_US (20 * SP_MS)
#define RUN_WEIGHT 0.02
/* A run time counts as this many floors at most. */
#define MAX_RATIO 3.0
/* Steps of the floor: run times in one, its weight downwards and upwards. */
#define FLOOR_WINDOW 64
#define FLOOR_DOWN 0.2
#define FLOOR_UP 0.02
/* Runs that fix the weight of a route. */
#define WEIGHT_RUNS 64
/* Runs started below this part of the limit show the floor. */
#define LOW_SHARE 0.5
/* A run is overdue after `patience` mean run times of its route, once this
   many later runs of it have been answered. */
#define OVERTAKEN 50
#define OVERDUE_US (250 * SP_MS)
#define FIRST_PATIENCE 10.0
#define MIN_PATIENCE 3.0
#define MAX_PATIENCE 40.0
/* One of so many overdue runs is waited for, to see whether it is answered. Of
   these, an answered one raises the patience, a lost one lowers it. */
#define WAITED_FOR 8
#define PATIENCE_UP 2.0
#define PATIENCE_DOWN 0.9
/* Time since the last lost run in which others may still take places. */
#define LOSING_US (2 * SP_SEC)
/* Requests never answered are remembered for this time. */
#define LOST_MEMORY_US (30 * SP_SEC)

static double
cap_of(int slots)
{
    return MAX(1, (int)(slots * SLOTS_SHARE));
}

void
SpCapacity_Begin(SpCapacity *c, int slots)
{
    uint64_t lifetime = c->lifetime;

    memset(c, 0, sizeof *c);
    c->lifetime = lifetime + 1;
    SpTrial_Begin(&c->trial, cap_of(slots));
    c->patience = FIRST_PATIENCE;
}

void
SpCapacity_SetSlots(SpCapacity *c, int slots)
{
    if (cap_of(slots) != c->trial.cap) {
        SpTrial_SetCap(&c->trial, cap_of(slots));
    }
}

static int
route_index(SpCapacity *c, const char *name)
{
    uint64_t hash = SpHash(name, strlen(name), 0);
    SpCapacityRoute *r;
    int i;

    for (i = 0; i < c->nroutes; i++) {
        r = &c->routes[i];
        if (r->hash == hash) {
            return i;
        }
    }
    if (c->nroutes == SP_CAPACITY_ROUTES) {
        return SP_CAPACITY_ROUTES - 1;
    }
    r = &c->routes[c->nroutes];
    memset(r, 0, sizeof *r);
    r->hash = hash;
    return c->nroutes++;
}

void
SpCapacity_Started(SpCapacity *c, const char *route, int ahead,
                   SpCapacityRun *r)
{
    r->lifetime = c->lifetime;
    r->route = route_index(c, route);
    r->ahead = ahead;
    r->answered = c->routes[r->route].answered;
    r->overdue = 0;
}

/* Only runs that started at low concurrency show the floor: it would follow
   the load otherwise. */
static void
update_floor(SpCapacityRoute *r, double us)
{
    double mean;

    r->window_us += r->floor_us > 0 ? MIN(us, MAX_RATIO * r->floor_us) : us;
    if (++r->window_n < FLOOR_WINDOW) {
        return;
    }
    mean = r->window_us / r->window_n;
    r->window_us = 0;
    r->window_n = 0;
    if (r->floor_us <= 0) {
        r->floor_us = mean;
        return;
    }
    r->floor_us +=
        (mean < r->floor_us ? FLOOR_DOWN : FLOOR_UP) * (mean - r->floor_us);
}

static void
count_answer(SpCapacity *c, const SpCapacityRun *run, double us)
{
    SpCapacityRoute *r = &c->routes[run->route];
    SpTrialView *v = &c->since;

    r->answered++;
    r->mean_us +=
        MAX(RUN_WEIGHT, 1.0 / (double)r->answered) * (us - r->mean_us);
    if (run->ahead < LOW_SHARE * c->trial.limit) {
        update_floor(r, us);
    }
    v->answered++;
    /* fixed early, so that it does not follow the run times */
    if (r->answered <= WEIGHT_RUNS) {
        r->weight_us = r->mean_us;
    }
    v->work += r->weight_us;
    if (r->floor_us > 0) {
        v->own_us += MIN(us, MAX_RATIO * r->floor_us);
        v->floor_us += r->floor_us;
    }
}

static void
change_patience(SpCapacity *c, double factor)
{
    c->patience = CLAMP(factor * c->patience, MIN_PATIENCE, MAX_PATIENCE);
}

/* A run that began beyond the present limit was part of a trial: its failure
   says nothing of that limit. */
static void
count_failed(SpCapacity *c, const SpCapacityRun *r)
{
    if (r->ahead < SpTrial_Limit(&c->trial)) {
        c->since.failed++;
    }
}

static void
count_lost(SpCapacity *c, int64_t now, const SpCapacityRun *r)
{
    count_failed(c, r);
    c->lost_at = now;
}

void
SpCapacity_Ended(SpCapacity *c, int64_t now, const SpCapacityRun *r,
                 SpRunEnd end, int64_t own_us)
{
    if (r->lifetime != c->lifetime) {
        return;
    }
    switch (end) {
    case SP_RUN_ANSWERED:
        count_answer(c, r, (double)own_us);
        if (r->overdue) {
            change_patience(c, PATIENCE_UP);
        }
        break;
    case SP_RUN_REJECTED:
        count_failed(c, r);
        break;
    case SP_RUN_LOST:
        if ((double)own_us < MIN_PATIENCE * c->routes[r->route].mean_us) {
            return;
        }
        change_patience(c, PATIENCE_DOWN);
        if (!r->overdue) {
            count_lost(c, now, r);
        }
        break;
    case SP_RUN_NO_NEWS:
        break;
    }
}

int
SpCapacity_IsOverdue(const SpCapacity *c, const SpCapacityRun *r,
                     int64_t own_us)
{
    const SpCapacityRoute *route = &c->routes[r->route];

    return r->lifetime == c->lifetime && !r->overdue && own_us > OVERDUE_US &&
           route->answered > r->answered + (uint64_t)r->ahead + OVERTAKEN &&
           (double)own_us > c->patience * route->mean_us;
}

int
SpCapacity_Overdue(SpCapacity *c, int64_t now, SpCapacityRun *r)
{
    r->overdue = 1;
    count_lost(c, now, r);
    return ++c->overdue % WAITED_FOR != 0;
}

/* Takes the present run times for the unknown floors: they don't depend on the
   concurrency. */
static void
complete_floors(SpCapacity *c)
{
    int i;

    for (i = 0; i < c->nroutes; i++) {
        SpCapacityRoute *r = &c->routes[i];
        if (r->floor_us <= 0) {
            r->floor_us = r->mean_us;
        }
    }
}

/* For how long a request that is not answered takes a place. */
static double
losing_us(const SpCapacity *c, int64_t now)
{
    double us = 0;
    int i;

    if (!c->lost_at || now - c->lost_at > LOSING_US) {
        return 0;
    }
    for (i = 0; i < c->nroutes; i++) {
        us = MAX(us, c->patience * c->routes[i].mean_us);
    }
    return us;
}

int
SpCapacity_Step(SpCapacity *c, int64_t now, int running, int queued)
{
    double was = SpTrial_Limit(&c->trial), learned = c->trial.limit;
    double elapsed = (double)(now - c->at);
    SpTrialStep s = {now, c->since, running, queued, losing_us(c, now)};

    if (c->trial.cap <= 0 || (c->at && elapsed < STEP_US)) {
        return 0;
    }
    memset(&c->since, 0, sizeof c->since);
    if (c->at) {
        s.since.us = elapsed;
        s.since.running_us = elapsed * running;
        if (SpTrial_Step(&c->trial, &s)) {
            complete_floors(c);
        }
    }
    c->at = now;
    return learned != c->trial.limit || was != SpTrial_Limit(&c->trial);
}

double
SpCapacity_Limit(const SpCapacity *c)
{
    return MAX(1, (int)c->trial.limit);
}

double
SpCapacity_StartLimit(const SpCapacity *c, int64_t now, int firm)
{
    double limit = SpTrial_Limit(&c->trial);

    if (firm && c->lost_at && now - c->lost_at < LOST_MEMORY_US) {
        limit = MIN(limit, c->trial.limit);
    }
    return MAX(1, (int)limit);
}

double
SpCapacity_Floor(const SpCapacity *c)
{
    double sum = 0, n = 0;
    int i;

    for (i = 0; i < c->nroutes; i++) {
        if (c->routes[i].floor_us > 0) {
            sum += c->routes[i].floor_us * (double)c->routes[i].answered;
            n += (double)c->routes[i].answered;
        }
    }
    return n > 0 ? sum / n : 0;
}
