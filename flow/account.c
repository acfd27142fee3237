/* Accounts of the ledger: bucket and fraction of one workspace. */
#include <math.h>

#include "flow/ledger_priv.h"

/* Time in which the level is brought to zero: longer than a word takes to act,
   or the fraction swings. */
#define HORIZON_S 0.8
/* The rate offered is smoothed over the time of this many requests of the
   quota, within bounds. */
#define SMOOTH_REQUESTS 5.0
#define SMOOTH_MIN_S 0.1
#define SMOOTH_MAX_S 1.0
/* A debt is forgotten beyond this time of the quota. */
#define DEBT_MAX_S 4.0
/* While a debt is paid back, this part of the rate is still admitted. */
#define MIN_PART 0.1
/* Smallest bucket. */
#define MIN_BURST 1.0
/* A workspace is near its limit from this part of its rate on, and below this
   part of its burst. */
#define HOT_RATE 0.9
#define HOT_LEVEL 0.9
/* A ledger that starts may follow one that has spent the burst. */
#define START_LEVEL 0.25
/* Bounds of the wait of a refused caller. */
#define WAIT_MAX_S 5.0
/* A caller that is refused is one of 1/fraction: it waits for this time more
   for each other one. */
#define WAIT_EACH_S 0.2

Account *
new_account(const SpWorkspace *w, int64_t now)
{
    Account *a = g_new0(Account, 1);

    a->key = SpQuota_Key(w->name);
    a->name = g_strdup(w->name);
    a->level = w->burst * START_LEVEL;
    a->admit = a->told = 1;
    a->created = now;
    return a;
}

void
free_account(void *p)
{
    Account *a = p;

    g_free(a->name);
    g_free(a);
}

double
held_for_zone(const Account *a, guint zone)
{
    double fresh = a->total > 0 ? a->fresh[zone] / a->total : 0;

    return MAX(a->stale[zone] - fresh, 0);
}

static void
set_wait(Account *a, double eff)
{
    double wait = (1 / a->admit - 1) * WAIT_EACH_S;

    if (a->level < 0 && eff > 0) {
        wait -= a->level / eff;
    }
    a->wait_us = (int64_t)(MIN(wait, WAIT_MAX_S) * SP_SEC);
}

static void
set_fraction(Account *a, int64_t now, double eff)
{
    int was_limited = a->admit < 1;
    double target = MAX(eff + a->level / HORIZON_S, eff * MIN_PART);

    a->admit = a->offered > target ? target / a->offered : 1;
    a->admit = MAX(a->admit, 0.001);
    if (a->admit < 1) {
        a->limited_since = was_limited ? a->limited_since : now;
        a->limited_at = now;
    }
    a->hot = a->admit < 1 ||
             (a->offered > HOT_RATE * eff && a->level < HOT_LEVEL * a->burst);
    set_wait(a, eff);
}

static void
smooth_rate(Account *a, double dt_s)
{
    double t = CLAMP(SMOOTH_REQUESTS / a->rate, SMOOTH_MIN_S, SMOOTH_MAX_S);

    a->own_rate += (a->own_now - a->own_rate) * (1 - exp(-dt_s / t));
    a->offered = a->own_rate + a->far_rate;
}

void
step_account(Account *a, int64_t now, double dt_s, double unheard)
{
    double held = a->held_members + a->held_far + unheard, eff, cap;
    guint z;

    for (z = 0; z < SP_LEDGER_ZONES; z++) {
        held += held_for_zone(a, z);
    }
    a->held = MIN(held, 1);
    eff = a->rate * (1 - a->held);
    cap = MAX(a->burst * (1 - a->held), MIN_BURST);
    a->level += a->rate * (1 - MIN(unheard, 1)) * dt_s;
    a->level = CLAMP(a->level, -DEBT_MAX_S * a->rate, cap);
    smooth_rate(a, dt_s);
    set_fraction(a, now, eff);
}
