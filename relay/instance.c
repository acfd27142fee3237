/* The local instance: whether it accepts requests, and the jobs: their queue,
   deadlines and end. */
#include <string.h>

#include "relay/relay.h"

/* The instance counts as unavailable after this many report intervals without
   a report, an answer or a status check. */
#define MAX_MISSED_REPORTS 3
/* No request is sent to a leaving instance from this long before the end of
   its drain time. */
#define LEAVE_SLACK_US (700 * SP_MS)
/* The instance itself ends a run at the deadline; the relay aborts it this
   much later. */
#define ABORT_SLACK_US (150 * SP_MS)

static int64_t
drain_end(const Relay *n)
{
    int64_t us = (int64_t)(n->settings.drain_s * SP_SEC) - LEAVE_SLACK_US;

    return n->inst.leaving_since + MAX(us, 0);
}

/* Reason for which the instance accepts no requests now; SP_OK if it does. */
static SpKind
unavailable_kind(const Relay *n, int64_t now)
{
    const Instance *i = &n->inst;

    if (!i->known || i->unreachable) {
        return SP_NO_TARGET;
    }
    if (i->leaving_since) {
        return !i->has_left && now < drain_end(n) ? SP_OK : SP_LEAVING;
    }
    if ((double)(now - i->last_seen) >
        MAX_MISSED_REPORTS * n->settings.report_s * SP_SEC) {
        return SP_NO_TARGET;
    }
    return SP_OK;
}

static SpAcceptState
accept_state(const Relay *n, int64_t now)
{
    SpAcceptState accepts = SpStop_Accepts(&n->stop, now);

    if (unavailable_kind(n, now) != SP_OK) {
        return SP_ACCEPT_NONE;
    }
    return n->inst.leaving_since && accepts == SP_ACCEPT_ALL
               ? SP_ACCEPT_LAST_RESORT
               : accepts;
}

Load
local_load(const Relay *n, int64_t now)
{
    Load l;

    l.accepts = accept_state(n, now);
    l.busy = n->limiter.running + n->limiter.queued;
    l.demand = n->admission.local;
    l.limit = n->limiter.limit;
    l.run_us = SpLimiter_ReportedRun(&n->limiter, now);
    l.follows = follows_store(n);
    return l;
}

SpShares
path_shares(const Relay *n, int64_t now, const char *route)
{
    SpShares s = SpPaths_DownstreamShares(n->paths, now, route);

    SpShares_Min(&s, &n->admission.shares);
    return s;
}

/*
 * Jobs.
 */

static void
free_job(Job *j)
{
    if (g_hash_table_lookup(j->n->jobs_by_id, j->id) == j) {
        g_hash_table_remove(j->n->jobs_by_id, j->id);
    }
    g_queue_unlink(&j->n->jobs, &j->node);
    if (j->head) {
        g_string_free(j->head, TRUE);
    }
    g_free(j->body_copy);
    g_free(j->id);
    SpName_Free(j->route);
    SpName_Free(j->workspace);
    SpBodyMemory_Release(&j->n->job_memory, j->held);
    SpHeld_Release(&j->n->held, SP_HELD_COPIES, j->sent);
    g_free(j);
}

void
end_job(Job *j, const Result *r)
{
    if (j->done) {
        j->done(j, r);
    }
    free_job(j);
}

static void
refuse_job(Job *j, SpKind k)
{
    Result r = {.kind = k, .outcome = SP_NOT_RUN};

    j->n->counters.jobs_refused++;
    SpLog(SP_LOG_INFO, "run-refused",
          "id=%.128s route=%.128s kind=%s rank=%d begun=%d wait_ms=%" PRId64
          " running=%d queued=%d limit=%.0f left_ms=%" PRId64,
          j->id, j->route, SpKind_Info(k)->name, j->req.rank, j->req.nested,
          SpLimiter_EstimateWait(&j->n->limiter, SpHttp_Now(), &j->req) /
              SP_MS,
          j->n->limiter.running, j->n->limiter.queued, j->n->limiter.limit,
          (j->req.deadline - SpHttp_Now()) / SP_MS);
    end_job(j, &r);
}

void
run_next(Relay *n)
{
    SpLimiterReq *next;

    while ((next = SpLimiter_Dequeue(&n->limiter, SpHttp_Now())) != NULL) {
        run_job(next->user);
    }
}

/* Returns 0 if there is no memory for a copy of the body. The copy counts
   until the job ends, since the connection holds the body after it. */
static int
take_body(Job *j, const JobOpts *o)
{
    j->body = o->body;
    j->body_len = o->body_len;
    if (!o->copy_body || !o->body_len) {
        return 1;
    }
    if (!SpBodyMemory_Take(&j->n->job_memory, o->body_len)) {
        return 0;
    }
    j->held = o->body_len;
    j->body_copy = g_memdup2(o->body, o->body_len);
    j->body = j->body_copy;
    return 1;
}

Job *
start_job(Relay *n, const JobOpts *o)
{
    int64_t now = SpHttp_Now();
    Job *j = g_new0(Job, 1);
    SpKind k = unavailable_kind(n, now);

    j->n = n;
    j->idempotent = o->idempotent;
    j->is_retry = o->is_retry;
    j->share = o->share;
    j->calls_left = o->calls_left;
    j->route = SpName_New(o->route);
    j->workspace = SpName_New(o->workspace);
    j->head = o->head;
    j->done = o->done;
    j->owner = o->owner;
    j->seq = o->seq;
    j->req.user = j;
    j->req.workspace = j->workspace;
    j->req.part = workspace_part(n, j->workspace);
    j->req.rank = o->rank;
    j->req.nested = o->nested;
    j->req.repeatable = o->idempotent;
    j->req.deadline = MIN(now + o->left_us, answer_by(n));
    j->node.data = j;
    j->id = g_strdup(o->id);
    g_queue_push_tail_link(&n->jobs, &j->node);
    /* replaces the key too, which belongs to the job: the one of an earlier
       job with this id is freed with that */
    g_hash_table_replace(n->jobs_by_id, j->id, j);
    if (strcmp(o->service, n->settings.service) != 0) {
        k = SP_NO_ROUTE;
    }
    if (k != SP_OK) {
        refuse_job(j, k);
        return NULL;
    }
    if (!take_body(j, o)) {
        refuse_job(j, SP_SHED);
        return NULL;
    }
    SpAdmission_CountArrival(&n->admission, j->req.rank, o->share);
    switch (SpLimiter_Submit(&n->limiter, now, &j->req)) {
    case SP_LIMITER_RUN:
        run_job(j);
        return j;
    case SP_LIMITER_QUEUE:
        return j;
    case SP_LIMITER_REJECT:
        break;
    }
    refuse_job(j, SP_SHED);
    return NULL;
}

void
drop_job(Job *j)
{
    Relay *n = j->n;

    j->done = NULL;
    if (j->x && !j->idempotent) {
        /* not abortable: its outcome would be unknown */
        SpLog(SP_LOG_INFO, "run-detached",
              "id=%.128s route=%.128s instance=%.128s conn=%" PRIu64
              " ms=%" PRId64,
              j->id, j->route, n->inst.id, j->conn,
              (SpHttp_Now() - j->started) / SP_MS);
        return;
    }
    if (j->x) {
        SpExchange_Abort(j->x);
        keep_run(j);
        SpLog(SP_LOG_INFO, "run-dropped",
              "id=%.128s route=%.128s instance=%.128s ms=%" PRId64, j->id,
              j->route, n->inst.id, (SpHttp_Now() - j->started) / SP_MS);
    }
    else {
        SpLog(SP_LOG_INFO, "run-unqueued",
              "id=%.128s route=%.128s rank=%d ms=%" PRId64
              " running=%d queued=%d",
              j->id, j->route, j->req.rank,
              (SpHttp_Now() - j->req.arrived) / SP_MS, n->limiter.running,
              n->limiter.queued);
    }
    end_capacity_run(j, SP_RUN_NO_NEWS);
    SpLimiter_End(&n->limiter, SpHttp_Now(), &j->req, -1);
    free_job(j);
    run_next(n);
}

/* Ends a run that the instance has not answered. */
static void
abort_run(Job *j, int64_t now)
{
    Relay *n = j->n;
    Result r = {.kind = SP_TIMEOUT, .outcome = SP_UNKNOWN, .reached = 1};

    SpExchange_Abort(j->x);
    j->x = NULL;
    keep_run(j);
    SpLog(SP_LOG_WARN, "run-cut", "id=%.128s instance=%.128s ms=%" PRId64,
          j->id, n->inst.id, (now - j->started) / SP_MS);
    end_capacity_run(j, SP_RUN_LOST);
    SpLimiter_End(&n->limiter, now, &j->req, now - j->started);
    end_job(j, &r);
}

/* Aborts the runs that the instance did not end at their deadline. */
static void
abort_overdue_runs(Relay *n, int64_t now)
{
    GList *k, *next;

    for (k = n->jobs.head; k; k = next) {
        Job *j = k->data;
        next = k->next;
        if (j->x && now > j->req.deadline + ABORT_SLACK_US) {
            abort_run(j, now);
        }
    }
}

void
lower_deadline(Job *j, int64_t deadline)
{
    if (j->req.queued) {
        j->req.deadline = MIN(j->req.deadline, deadline);
    }
}

void
lower_queued_deadlines(Relay *n, int64_t deadline)
{
    GList *k;

    for (k = n->jobs.head; k; k = k->next) {
        lower_deadline(k->data, deadline);
    }
}

static void
refuse_waiting(Relay *n, SpKind why)
{
    GList *k, *next;

    for (k = n->jobs.head; k; k = next) {
        Job *j = k->data;
        next = k->next;
        if (j->req.queued) {
            SpLimiter_End(&n->limiter, 0, &j->req, -1);
            refuse_job(j, why);
        }
    }
}

/* Total demand of the other instances of the service, estimated from those to
   which this node has links. */
static SpDemand
remote_demand(Relay *n)
{
    const Service *s = service_of(n, n->settings.service);
    SpDemand near = {{0}, 0}, far = {{0}, 0};
    guint i;

    for (i = 0; i < s->upstreams->len; i++) {
        const SpUpstream *u = g_ptr_array_index(s->upstreams, i);
        if (u != &n->self && u->accepts == SP_ACCEPT_ALL) {
            SpDemand_Add(u->same_zone ? &near : &far, &u->demand);
        }
    }
    return SpSubset_EstimateDemand(&s->linked, &near, &far);
}

void
tick_instance(Relay *n, int64_t now)
{
    SpKind k = unavailable_kind(n, now);
    SpDemand others;
    SpLimiterReq *late;

    others = remote_demand(n);
    SpAdmission_Update(&n->admission, now, &n->limiter, &others);
    abort_overdue_runs(n, now);
    tick_capacity(n, now);
    while ((late = SpLimiter_DequeueLate(&n->limiter, now)) != NULL) {
        refuse_job(late->user, SP_LATE);
    }
    if (k != SP_OK && n->limiter.queued) {
        refuse_waiting(n, k);
    }
    run_next(n);
    SpPool_Tick(n->pool, now);
}
