/* The learned capacity of the local instance: what its runs tell of it, and
   the limits that follow. Without the setting it does nothing. */
#include <math.h>

#include "relay/relay.h"

/* Change of the learned limit that is logged, as a part of it. */
#define LOG_CHANGE 0.2
/* An overdue run is sent elsewhere if this many run times are left. */
#define MIN_RUNS_LEFT 2

static void
apply_capacity(Relay *n, int64_t now)
{
    const SpCapacity *c = &n->capacity;

    SpLimiter_SetLimit(&n->limiter, SpCapacity_Limit(c));
    SpLimiter_Try(&n->limiter, SpCapacity_StartLimit(c, now, 0),
                  SpCapacity_StartLimit(c, now, 1));
}

void
begin_capacity(Relay *n, int slots)
{
    SpCapacity_Begin(&n->capacity, slots);
    n->capacity_logged = SpCapacity_Limit(&n->capacity);
}

void
set_slots(Relay *n, int slots)
{
    SpLimiter_SetSlots(&n->limiter, slots);
    if (!n->learns) {
        return;
    }
    if (n->capacity.trial.cap <= 0) {
        begin_capacity(n, slots);
    }
    SpCapacity_SetSlots(&n->capacity, slots);
    apply_capacity(n, SpHttp_Now());
}

/* Run time without that of nested calls. */
static int64_t
own_time(const Job *j, int64_t now)
{
    int64_t nested = j->nested_us;

    if (j->nested_open > 0) {
        nested += now - j->nested_since;
    }
    return now - j->started - nested;
}

void
nested_began(Job *j)
{
    if (j->nested_open++ == 0) {
        j->nested_since = SpHttp_Now();
    }
}

void
nested_ended(Job *j)
{
    if (j->nested_open > 0 && --j->nested_open == 0) {
        j->nested_us += SpHttp_Now() - j->nested_since;
    }
}

void
start_capacity_run(Job *j)
{
    if (j->n->learns) {
        SpCapacity_Started(&j->n->capacity, j->route,
                           j->n->limiter.running - 1, &j->run);
    }
}

void
end_capacity_run(Job *j, SpRunEnd end)
{
    int64_t now = SpHttp_Now();

    if (!j->n->learns || !j->started) {
        return;
    }
    SpCapacity_Ended(&j->n->capacity, now, &j->run, end, own_time(j, now));
}

/* Ends an overdue run that may be repeated, so that its caller sends it to
   another instance. */
static void
give_up(Job *j)
{
    Relay *n = j->n;
    Result r = {.kind = SP_TIMEOUT, .outcome = SP_UNKNOWN, .reached = 1};

    SpExchange_Abort(j->x);
    j->x = NULL;
    end_job(j, &r);
    run_next(n);
}

/* An overdue run takes no room any more. One that may not be repeated, has no
   time for it, or is to show whether it is answered, waits on. */
static void
end_overdue(Job *j, int64_t now)
{
    Relay *n = j->n;
    int64_t needed = (int64_t)(MIN_RUNS_LEFT * n->limiter.run_us);
    int again = SpCapacity_Overdue(&n->capacity, now, &j->run) &&
                j->idempotent && !j->is_retry &&
                j->req.deadline - now > needed;

    SpLog(SP_LOG_INFO, "run-overdue",
          "id=%.128s route=%.128s instance=%.128s again=%d conn=%" PRIu64
          " ms=%" PRId64,
          j->id, j->route, n->inst.id, again, j->conn,
          (now - j->started) / SP_MS);
    n->counters.jobs_overdue++;
    SpLimiter_End(&n->limiter, now, &j->req, -1);
    if (again) {
        give_up(j);
    }
}

static void
end_overdue_runs(Relay *n, int64_t now)
{
    GList *k, *next;

    for (k = n->jobs.head; k; k = next) {
        Job *j = k->data;
        next = k->next;
        if (j->x && !j->nested_open &&
            SpCapacity_IsOverdue(&n->capacity, &j->run, own_time(j, now))) {
            end_overdue(j, now);
        }
    }
}

static void
log_change(Relay *n)
{
    double limit = SpCapacity_Limit(&n->capacity);

    if (fabs(limit - n->capacity_logged) < LOG_CHANGE * n->capacity_logged) {
        return;
    }
    SpLog(SP_LOG_INFO, "capacity",
          "instance=%.128s limit=%.0f was=%.0f announced=%d running=%d "
          "queued=%d "
          "floor_ms=%.1f",
          n->inst.id, limit, n->capacity_logged, n->inst.slots,
          n->limiter.running, n->limiter.queued,
          SpCapacity_Floor(&n->capacity) / SP_MS);
    n->capacity_logged = limit;
}

void
tick_capacity(Relay *n, int64_t now)
{
    if (!n->learns) {
        return;
    }
    end_overdue_runs(n, now);
    if (SpCapacity_Step(&n->capacity, now, n->limiter.running,
                        n->limiter.queued)) {
        apply_capacity(n, now);
        log_change(n);
    }
}
