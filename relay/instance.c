/* The local instance: its queue and the requests it runs. */
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
/* An attempt is not sent again later than this after its deadline here, which
   depends on how long it was on its way. */
#define RESEND_SLACK_US (5 * SP_SEC)
/* Minimum remaining time passed to the instance. */
#define MIN_LEFT_MS 1

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
        return now < drain_end(n) ? SP_OK : SP_LEAVING;
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
    SpBodyMemory_Release(&j->n->job_memory, j->held);
    g_free(j);
}

static void
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
          "id=%s route=%s kind=%s rank=%d begun=%d wait_ms=%" PRId64
          " running=%d queued=%d limit=%.0f left_ms=%" PRId64,
          j->id, j->route, SpKind_Info(k)->name, j->req.rank, j->req.nested,
          SpLimiter_EstimateWait(&j->n->limiter, SpHttp_Now(),
                                 j->req.queue_index) /
              SP_MS,
          j->n->limiter.running, j->n->limiter.queued, j->n->limiter.limit,
          (j->req.deadline - SpHttp_Now()) / SP_MS);
    end_job(j, &r);
}

/*
 * Matches a response by the id of the attempt. A rejection without an id is
 * believed only on a connection that has carried no other request: elsewhere
 * it may be a late copy of the rejection of an earlier one.
 */
static SpReplyMatch
match_reply(void *data, const SpMsg *m, int first)
{
    Job *j = data;
    SpReplyInfo r;

    j->n->adapter->read_reply(m, j->id, &r);
    if (r.matches_id || (!r.has_id && r.not_run && first)) {
        return r.not_run ? SP_REPLY_REJECTION : SP_REPLY_FINAL;
    }
    if (j->ndiscarded++ > 0) {
        return SP_REPLY_OTHER; /* there may be any number of them */
    }
    SpLog(SP_LOG_WARN, "reply-discarded",
          "id=%s instance=%s status=%d named=%d not_run=%d first=%d", j->id,
          j->n->inst.last.id, m->status, r.has_id, r.not_run, first);
    return SP_REPLY_OTHER;
}

static void
append_headers(GString *s, const SpMsg *m)
{
    int i;

    for (i = 0; i < m->nheaders; i++) {
        if (!SpHttp_IsHopByHop(m->headers[i].name)) {
            g_string_append_printf(s, "%s: %s\r\n", m->headers[i].name,
                                   m->headers[i].value);
        }
    }
}

/* Logs an answer that is, or looks like, a statement that the request has not
   run. */
static void
log_refusal(const Job *j, const SpMsg *m, const SpReplyInfo *reply)
{
    Relay *n = j->n;

    if (reply->not_run) {
        n->counters.jobs_rejected++;
        SpLog(SP_LOG_INFO, "run-rejected",
              "id=%s route=%s instance=%s status=%d named=%d conn=%" PRIu64
              " ms=%" PRId64,
              j->id, j->route, n->inst.last.id, m->status, reply->has_id,
              j->conn, (SpHttp_Now() - j->started) / SP_MS);
    }
    else if (reply->refuses) {
        n->counters.refusals_unstated++;
        SpLog(SP_LOG_WARN, "refusal-unstated",
              "id=%s route=%s instance=%s status=%d conn=%" PRIu64, j->id,
              j->route, n->inst.last.id, m->status, j->conn);
    }
}

/* The status of a refusal that does not say so is not passed on: the caller
   would take it for a promise, and the request may have run. */
static SpKind
answer_kind(const SpReplyInfo *reply)
{
    if (reply->not_run) {
        return SP_THROTTLED;
    }
    return reply->refuses ? SP_BROKEN : SP_OK;
}

static void
on_answer(void *data, SpPoolStatus end, const SpMsg *m, const char *why)
{
    Job *j = data;
    Relay *n = j->n;
    int64_t now = SpHttp_Now(), ran = now - j->started;
    Result r = {.kind = SP_BROKEN, .outcome = SP_UNKNOWN, .reached = 1};
    GString *lines = NULL;
    SpReplyInfo reply;

    j->x = NULL;
    if (end == SP_POOL_OK) {
        n->inst.last_seen = now;
        n->adapter->read_reply(m, j->id, &reply);
        log_refusal(j, m, &reply);
        lines = g_string_sized_new(512);
        append_headers(lines, m);
        r.kind = answer_kind(&reply);
        if (reply.not_run) {
            SpAdmission_UndoArrival(&n->admission, j->req.rank, j->share);
        }
        r.outcome = reply.not_run ? SP_NOT_RUN : SP_DONE;
        r.status = m->status;
        r.nested_failed = j->nested_failed;
        r.calls = j->calls_done;
        if (r.kind == SP_OK && m->status < 500) {
            SpPaths_RecordCalls(n->paths, j->route, j->calls_done);
        }
        r.lines = lines->str;
        r.lines_len = lines->len;
        r.body = m->body;
        r.body_len = m->body_len;
    }
    else if (end == SP_POOL_NOT_SENT) {
        r.kind = SP_UNREACHABLE;
        r.outcome = SP_NOT_RUN;
        r.reached = 0;
        if (!n->inst.unreachable) {
            n->inst.unreachable = 1;
            SpLog(SP_LOG_WARN, "instance-down", "instance=%s why=%s",
                  n->inst.last.id, why);
            SpPool_CloseIdle(n->pool);
            broadcast_state(n);
        }
    }
    Metrics_Time(n->metrics, METRIC_RUN, ran);
    SpLimiter_End(&n->limiter, now, &j->req,
                  r.kind == SP_OK && m->status < 500 ? ran : -1);
    if (end != SP_POOL_OK) {
        SpLog(SP_LOG_WARN, "run-lost",
              "id=%s instance=%s why=%s sent=%d conn=%" PRIu64 " ms=%" PRId64,
              j->id, n->inst.last.id, why, r.reached, j->conn, ran / SP_MS);
    }
    end_job(j, &r);
    if (lines) {
        g_string_free(lines, TRUE);
    }
    run_next(n);
}

static void
run_job(Job *j)
{
    Relay *n = j->n;
    int64_t now = SpHttp_Now();
    SpPoolRequest o = {.match = match_reply, .done = on_answer, .data = j};

    j->started = now;
    Metrics_Time(n->metrics, METRIC_WAIT, now - j->req.arrived);
    n->adapter->write_tail(j->head,
                           MAX(j->req.deadline - now, MIN_LEFT_MS * SP_MS),
                           n->inst.last.id);
    o.head = j->head->str;
    o.head_len = j->head->len;
    o.body = j->body;
    o.body_len = j->body_len;
    o.is_head = strncmp(j->head->str, "HEAD ", 5) == 0;
    o.key = g_str_hash(j->id);
    o.key_until = j->req.deadline + RESEND_SLACK_US;
    n->counters.jobs++;
    j->x = SpPool_Send(n->pool, &o);
    j->conn = SpExchange_Connection(j->x);
    /* the exchange has a copy of its own */
    g_free(j->body_copy);
    j->body_copy = NULL;
    j->body = NULL;
    j->body_len = 0;
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
    g_strlcpy(j->route, o->route, sizeof j->route);
    j->head = o->head;
    j->done = o->done;
    j->owner = o->owner;
    j->seq = o->seq;
    j->req.user = j;
    j->req.rank = o->rank;
    j->req.nested = o->nested;
    j->req.deadline = MIN(now + o->left_us, answer_by(n));
    j->node.data = j;
    g_strlcpy(j->id, o->id, sizeof j->id);
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
              "id=%s route=%s instance=%s conn=%" PRIu64 " ms=%" PRId64, j->id,
              j->route, n->inst.last.id, j->conn,
              (SpHttp_Now() - j->started) / SP_MS);
        return;
    }
    if (j->x) {
        SpExchange_Abort(j->x);
        SpLog(SP_LOG_INFO, "run-dropped",
              "id=%s route=%s instance=%s ms=%" PRId64, j->id, j->route,
              n->inst.last.id, (SpHttp_Now() - j->started) / SP_MS);
    }
    else {
        SpLog(SP_LOG_INFO, "run-unqueued",
              "id=%s route=%s rank=%d ms=%" PRId64 " running=%d queued=%d",
              j->id, j->route, j->req.rank,
              (SpHttp_Now() - j->req.arrived) / SP_MS, n->limiter.running,
              n->limiter.queued);
    }
    SpLimiter_End(&n->limiter, SpHttp_Now(), &j->req, -1);
    free_job(j);
    run_next(n);
}

/* Aborts a run that the instance did not end at its deadline. */
static void
abort_run(Job *j, int64_t now)
{
    Relay *n = j->n;
    Result r = {.kind = SP_TIMEOUT, .outcome = SP_UNKNOWN, .reached = 1};

    SpExchange_Abort(j->x);
    j->x = NULL;
    SpLog(SP_LOG_WARN, "run-cut", "id=%s instance=%s ms=%" PRId64, j->id,
          n->inst.last.id, (now - j->started) / SP_MS);
    SpLimiter_End(&n->limiter, now, &j->req, now - j->started);
    end_job(j, &r);
}

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
    while ((late = SpLimiter_DequeueLate(&n->limiter, now)) != NULL) {
        refuse_job(late->user, SP_LATE);
    }
    if (k != SP_OK && n->limiter.queued) {
        refuse_waiting(n, k);
    }
    run_next(n);
    SpPool_Tick(n->pool, now);
}
