/* Attempts of a call: choice of an instance, sending, retries. */
#include <string.h>

#include "relay/call.h"

/* A request with less time left is not sent. */
#define MIN_LEFT_US (10 * SP_MS)

void
cancel_attempt(Call *c)
{
    SpUpstream *u = c->target;

    if (!u) {
        return;
    }
    c->target = NULL;
    SpUpstream_Ended(u, SpHttp_Now(), 1);
    if (c->job) {
        Job *j = c->job;
        c->job = NULL;
        drop_job(j);
    }
    else if (u->user) {
        cancel_remote_call(u->user, c->seq);
    }
}

static void
on_job_done(Job *j, const Result *r)
{
    Call *c = j->owner;
    Result here = *r;

    c->job = NULL;
    here.path = path_shares(j->n, SpHttp_Now(), j->route);
    end_attempt(c, &here);
}

/* Time by which the instance has to answer. */
static int64_t
target_deadline(const Call *c)
{
    return MIN(c->deadline, answer_by(c->n));
}

static int
send_to(Call *c, SpUpstream *u)
{
    Relay *n = c->n;
    JobOpts o = {.id = c->id,
                 .route = c->route->name,
                 .workspace = c->workspace_name ? c->workspace_name : "",
                 .share = c->share,
                 .rank = c->rank,
                 .nested = c->nested,
                 .is_retry = c->is_retry || c->reached > 0,
                 .idempotent = c->route->idempotent,
                 .calls_left = c->calls_left,
                 .left_us = target_deadline(c) - SpHttp_Now(),
                 .service = c->service,
                 .body = c->msg->body,
                 .body_len = c->msg->body_len,
                 .done = on_job_done,
                 .owner = c};
    Job *j;

    c->target = u;
    SpUpstream_Sent(u, SpHttp_Now());
    if (u == &n->self) {
        o.head = g_string_new_len(c->head->str, (gssize)c->head->len);
        /* the request owns the body until it is answered, and a run that is
           not idempotent is not aborted and can outlast it */
        o.copy_body = !o.idempotent;
        n->counters.sent_same_zone++;
        j = start_job(n, &o);
        if (j) {
            c->job = j;
        }
        return 1; /* if refused, end_attempt was called */
    }
    o.head = c->head;
    c->seq = send_remote_call(u->user, c, &o);
    if (!c->seq) {
        c->target = NULL;
        c->last_kind = SP_UNREACHABLE;
        SpUpstream_Ended(u, SpHttp_Now(), 0);
        return 0;
    }
    if (u->same_zone) {
        n->counters.sent_same_zone++;
    }
    else {
        n->counters.sent_other_zones++;
    }
    return 1;
}

void
update_self(Relay *n, int64_t now)
{
    Load l = local_load(n, now);

    n->self.accepts = l.accepts;
    n->self.busy = l.busy;
    n->self.in_flight_reported = n->self.in_flight;
    n->self.limit = l.limit;
    n->self.run_us = l.run_us;
}

/* Selects an instance that has not had the request. Once as many as the route
   allows have received it, those that refused it are tried again. */
static SpUpstream *
pick_instance(Call *c, int64_t now)
{
    const Service *s = service_of(c->n, c->service);
    double bytes = SpPaths_Size(c->n->paths, c->route->name);
    SpBalancerOpts opts = {now,
                           SpBalancer_CrossZoneCost(bytes, c->route->aim_us),
                           c->tried, c->ntried, &c->n->rand};

    if (c->nrefused && c->reached >= c->route->attempts) {
        opts.ntried = 0;
        return SpBalancer_Pick(c->refused_by, (guint)c->nrefused, &opts);
    }
    return SpBalancer_Pick((SpUpstream *const *)s->upstreams->pdata,
                           s->upstreams->len, &opts);
}

void
try_instances(Call *c)
{
    Service *s = service_of(c->n, c->service);
    int64_t now = SpHttp_Now();
    SpUpstream *u;

    use_service(c->n, s, now);
    while (c->ntried < SP_MAX_TRIES) {
        if (target_deadline(c) - now < MIN_LEFT_US) {
            refuse_or_fail(c, c->n->stop.since ? SP_LEAVING : SP_LATE);
            return;
        }
        update_self(c->n, now);
        u = pick_instance(c, now);
        if (!u) {
            if (!c->ntried) {
                SpPaths_RecordUnavailable(c->n->paths, now, c->route->name);
            }
            refuse_or_fail(c, c->ntried ? c->last_kind : SP_NO_TARGET);
            return;
        }
        c->tried[c->ntried++] = u;
        if (send_to(c, u)) {
            return;
        }
    }
    refuse_or_fail(c, c->last_kind);
}

/* Takes a retry from the budget of the service and from the part that the
   workspace has of it. */
static int
take_retry(Call *c, int64_t now)
{
    Service *s = service_of(c->n, c->service);
    int rank = SpRankMap_RouteRank(&c->routes->ranks, c->rank);
    SpRetryRoom room = SpRetryBudget_Room(&s->retries, now, rank);
    double calls_left =
        c->calls_left + SpPaths_Calls(c->n->paths, c->route->name);
    int of_workspace = c->workspace_name && s->retry_parts;

    if (of_workspace &&
        !SpRetryParts_Allows(s->retry_parts, now, c->workspace_name, &room)) {
        return 0;
    }
    if (!SpRetryBudget_Take(&s->retries, now, rank, calls_left)) {
        return 0;
    }
    if (of_workspace) {
        SpRetryParts_CountRetry(s->retry_parts, now, c->workspace_name);
    }
    return 1;
}

static int
may_retry(Call *c)
{
    if (c->nested_failed || c->ntried == SP_MAX_TRIES ||
        (c->reached >= c->route->attempts && c->nrefused < c->reached) ||
        (c->maybe_ran && !c->route->idempotent)) {
        return 0;
    }
    return take_retry(c, SpHttp_Now());
}

/* Records an attempt that reached an instance. */
static void
count_outcome(Call *c, SpUpstream *u, const Result *r)
{
    int refused = r->outcome == SP_NOT_RUN;

    if (!r->reached) {
        return;
    }
    c->reached++;
    SpRetryBudget_CountOutcome(&service_of(c->n, c->service)->retries,
                               !refused);
    if (refused) {
        c->refused_by[c->nrefused++] = u;
    }
}

/* Records the success of a nested call for the run that made it. */
static void
count_success(Call *c, const Result *r)
{
    Job *parent = parent_of(c);

    SpPaths_RecordCalls(c->n->paths, c->route->name, r->calls);
    if (parent) {
        parent->calls_done += 1 + r->calls;
    }
}

void
end_attempt(Call *c, const Result *r)
{
    SpUpstream *u = c->target;
    int ok = r->kind == SP_OK && r->status < 500;
    int again;

    c->target = NULL;
    c->job = NULL;
    c->last_kind = r->kind;
    SpUpstream_Ended(u, SpHttp_Now(),
                     r->outcome == SP_NOT_RUN && !r->reached ? 1 : ok);
    if (r->kind != SP_BROKEN) {
        SpPaths_RecordShares(c->n->paths, SpHttp_Now(), c->route->name,
                             &r->path);
    }
    count_outcome(c, u, r);
    c->nested_failed |= r->nested_failed;
    if (r->outcome != SP_NOT_RUN) {
        c->maybe_ran = 1;
    }
    if (ok) {
        count_success(c, r);
    }
    if (ok || (r->kind == SP_OK && r->status == 504)) {
        forward_answer(c, r);
        return;
    }
    again = !r->reached || may_retry(c);
    SpLog(
        SP_LOG_INFO, "send-ended",
        "id=%.128s at=%.128s kind=%s outcome=%s reached=%d status=%d again=%d "
        "calls_left=%.1f accepted=%.2f",
        c->id, u->name, SpKind_Info(r->kind)->name, SpOutcome_Name(r->outcome),
        r->reached, r->status, again, c->calls_left,
        service_of(c->n, c->service)->retries.accepted);
    if (again) {
        c->n->counters.retries += r->reached ? 1 : 0;
        try_instances(c);
        return;
    }
    if (r->kind == SP_OK) {
        forward_answer(c, r);
        return;
    }
    refuse_or_fail(c, r->kind);
}
