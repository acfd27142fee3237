/* The local instance: its reports, its queue and the requests it runs. */
#include <string.h>

#include "relay/relay.h"

/* Missing reports after which the instance counts as unavailable. */
#define MISSED_REPORTS 3
/* No request is sent to a leaving instance from this long before the end of
   its drain time. */
#define LEAVE_SLACK_US (700 * SP_MS)
/* The instance itself ends a run at the deadline; the relay aborts it this
   much later. */
#define CUT_SLACK_US (150 * SP_MS)
/* Minimum remaining time passed to the instance. */
#define LEAST_MS 1
/* Concurrency limit until this or another instance of the service reports
   one. */
#define ASSUMED_LIMIT 8.0
/* For this long after the start of a stop the node accepts requests as
   before. */
#define STOP_LAST_US (2000 * SP_MS)

static int64_t
leave_bound(const Relay *n)
{
    int64_t us = (int64_t)(n->set.drain_s * SP_SEC) - LEAVE_SLACK_US;

    return n->inst.leave_at + MAX(us, 0);
}

/* Reason for which the instance accepts no requests now; SP_OK if it does. */
static SpKind
closed_for(const Relay *n, int64_t now)
{
    const Instance *i = &n->inst;

    if (!i->known || i->down) {
        return SP_NO_TARGET;
    }
    if (i->leave_at) {
        return now < leave_bound(n) ? SP_OK : SP_LEAVING;
    }
    if ((double)(now - i->seen) > MISSED_REPORTS * n->set.report_s * SP_SEC) {
        return SP_NO_TARGET;
    }
    return SP_OK;
}

static SpTakes
takes_of(const Relay *n, int64_t now)
{
    int64_t stopping = n->stop_at ? now - n->stop_at : 0;

    if (closed_for(n, now) != SP_OK || stopping > SP_STOP_NOTICE_US) {
        return SP_TAKES_NONE;
    }
    return n->inst.leave_at || stopping > STOP_LAST_US ? SP_TAKES_LAST
                                                       : SP_TAKES_ALL;
}

Load
own_load(const Relay *n, int64_t now)
{
    Load l;

    l.takes = takes_of(n, now);
    l.busy = n->lim.running + n->lim.queued;
    l.demand = n->admission.own;
    l.limit = n->lim.limit;
    l.run_us = SpLimiter_Told(&n->lim, now);
    l.follows = follows_store(n);
    return l;
}

SpShares
path_shares(const Relay *n, int64_t now, const char *route)
{
    SpShares s = SpPaths_Behind(n->paths, now, route);

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
    g_free(j->own_body);
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

    j->n->n.jobs_refused++;
    SpLog(SP_LOG_INFO, "run-refused",
          "id=%s route=%s kind=%s rank=%d begun=%d wait_ms=%" PRId64
          " running=%d queued=%d limit=%.0f left_ms=%" PRId64,
          j->id, j->route, SpKind_Info(k)->name, j->turn.rank, j->turn.begun,
          SpLimiter_Wait(&j->n->lim, SpHttp_Now(), j->turn.lane) / SP_MS,
          j->n->lim.running, j->n->lim.queued, j->n->lim.limit,
          (j->turn.deadline - SpHttp_Now()) / SP_MS);
    end_job(j, &r);
}

static void run_next(Relay *n);

static int
is_mine(void *data, const SpMsg *m)
{
    Job *j = data;
    SpReply r;

    j->n->ad->read_reply(m, j->id, &r);
    return r.mine;
}

static void
append_lines(GString *s, const SpMsg *m)
{
    int i;

    for (i = 0; i < m->nheaders; i++) {
        if (!SpHttp_IsHop(m->headers[i].name)) {
            g_string_append_printf(s, "%s: %s\r\n", m->headers[i].name,
                                   m->headers[i].value);
        }
    }
}

static void
on_answer(void *data, SpPoolEnd end, const SpMsg *m, const char *why)
{
    Job *j = data;
    Relay *n = j->n;
    int64_t now = SpHttp_Now(), ran = now - j->started;
    Result r = {.kind = SP_BROKEN, .outcome = SP_UNKNOWN, .reached = 1};
    GString *lines = NULL;
    SpReply reply;

    j->x = NULL;
    if (end == SP_POOL_OK) {
        n->inst.seen = now;
        n->ad->read_reply(m, j->id, &reply);
        lines = g_string_sized_new(512);
        append_lines(lines, m);
        r.kind = reply.not_run ? SP_THROTTLED : SP_OK;
        if (reply.not_run) {
            SpAdmission_Shed(&n->admission, j->turn.rank, j->share);
        }
        r.outcome = reply.not_run ? SP_NOT_RUN : SP_DONE;
        r.status = m->status;
        r.below = j->below;
        r.lines = lines->str;
        r.lines_len = lines->len;
        r.body = m->body;
        r.body_len = m->body_len;
    }
    else if (end == SP_POOL_UNSENT) {
        r.kind = SP_UNREACHABLE;
        r.outcome = SP_NOT_RUN;
        r.reached = 0;
        if (!n->inst.down) {
            n->inst.down = 1;
            SpLog(SP_LOG_WARN, "instance-down", "instance=%s why=%s",
                  n->inst.last.id, why);
            SpPool_Flush(n->pool);
            tell_links(n);
        }
    }
    Metrics_Time(n->metrics, METRIC_RUN, ran);
    SpLimiter_End(&n->lim, now, &j->turn,
                  r.kind == SP_OK && m->status < 500 ? ran : -1);
    if (end != SP_POOL_OK) {
        SpLog(SP_LOG_WARN, "run-lost",
              "id=%s instance=%s why=%s sent=%d ms=%" PRId64, j->id,
              n->inst.last.id, why, r.reached, ran / SP_MS);
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
    SpPoolSend o = {.is_mine = is_mine, .done = on_answer, .data = j};

    j->started = now;
    Metrics_Time(n->metrics, METRIC_WAIT, now - j->turn.arrived);
    n->ad->write_tail(j->head, MAX(j->turn.deadline - now, LEAST_MS * SP_MS),
                      n->inst.last.id);
    o.head = j->head->str;
    o.head_len = j->head->len;
    o.body = j->body;
    o.body_len = j->body_len;
    o.is_head = strncmp(j->head->str, "HEAD ", 5) == 0;
    n->n.jobs++;
    j->x = SpPool_Send(n->pool, &o);
}

static void
run_next(Relay *n)
{
    SpTurn *t;

    while ((t = SpLimiter_Next(&n->lim, SpHttp_Now())) != NULL) {
        run_job(t->user);
    }
}

Job *
start_job(Relay *n, const JobOpts *o)
{
    int64_t now = SpHttp_Now();
    Job *j = g_new0(Job, 1);
    SpKind k = closed_for(n, now);

    j->n = n;
    j->idempotent = o->idempotent;
    j->again = o->again;
    j->share = o->share;
    g_strlcpy(j->route, o->route, sizeof j->route);
    j->head = o->head;
    j->done = o->done;
    j->owner = o->owner;
    j->seq = o->seq;
    j->turn.user = j;
    j->turn.rank = o->rank;
    j->turn.begun = o->begun;
    j->turn.deadline = now + o->left_us;
    j->node.data = j;
    g_strlcpy(j->id, o->id, sizeof j->id);
    g_queue_push_tail_link(&n->jobs, &j->node);
    g_hash_table_insert(n->jobs_by_id, j->id, j);
    if (strcmp(o->service, n->set.service) != 0) {
        k = SP_NO_ROUTE;
    }
    if (k != SP_OK) {
        refuse_job(j, k);
        return NULL;
    }
    j->body = o->body;
    j->body_len = o->body_len;
    if (o->copy_body && o->body_len) {
        j->own_body = g_memdup2(o->body, o->body_len);
        j->body = j->own_body;
    }
    SpAdmission_Arrived(&n->admission, j->turn.rank, o->share);
    switch (SpLimiter_Offer(&n->lim, now, &j->turn)) {
    case SP_TURN_RUN:
        run_job(j);
        return j;
    case SP_TURN_WAIT:
        return j;
    case SP_TURN_REFUSE:
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
        return; /* not abortable: its outcome would be unknown */
    }
    if (j->x) {
        SpExchange_Abort(j->x);
        SpLog(SP_LOG_INFO, "run-dropped",
              "id=%s route=%s instance=%s ms=%" PRId64, j->id, j->route,
              n->inst.last.id, (SpHttp_Now() - j->started) / SP_MS);
    }
    SpLimiter_End(&n->lim, SpHttp_Now(), &j->turn, -1);
    free_job(j);
    run_next(n);
}

/* Aborts a run that the instance did not end at its deadline. */
static void
cut_run(Job *j, int64_t now)
{
    Relay *n = j->n;
    Result r = {.kind = SP_TIMEOUT, .outcome = SP_UNKNOWN, .reached = 1};

    SpExchange_Abort(j->x);
    j->x = NULL;
    SpLog(SP_LOG_WARN, "run-cut", "id=%s instance=%s ms=%" PRId64, j->id,
          n->inst.last.id, (now - j->started) / SP_MS);
    SpLimiter_End(&n->lim, now, &j->turn, now - j->started);
    end_job(j, &r);
}

static void
check_runs(Relay *n, int64_t now)
{
    GList *k, *next;

    for (k = n->jobs.head; k; k = next) {
        Job *j = k->data;
        next = k->next;
        if (j->x && now > j->turn.deadline + CUT_SLACK_US) {
            cut_run(j, now);
        }
    }
}

static void
refuse_waiting(Relay *n, SpKind why)
{
    GList *k, *next;

    for (k = n->jobs.head; k; k = next) {
        Job *j = k->data;
        next = k->next;
        if (j->turn.queued) {
            SpLimiter_End(&n->lim, 0, &j->turn, -1);
            refuse_job(j, why);
        }
    }
}

/* Total demand reported by the other instances of the service. */
static SpDemand
demand_elsewhere(Relay *n)
{
    const Service *s = service_of(n, n->set.service);
    SpDemand sum = {{0}, 0};
    guint i;

    for (i = 0; i < s->ups->len; i++) {
        const SpUpstream *u = g_ptr_array_index(s->ups, i);
        if (u != &n->self && u->takes == SP_TAKES_ALL) {
            SpDemand_Add(&sum, &u->demand);
        }
    }
    return sum;
}

void
tick_instance(Relay *n, int64_t now)
{
    SpKind k = closed_for(n, now);
    SpDemand others;
    SpTurn *t;

    others = demand_elsewhere(n);
    SpAdmission_Step(&n->admission, now, &n->lim, &others);
    check_runs(n, now);
    while ((t = SpLimiter_Late(&n->lim, now)) != NULL) {
        refuse_job(t->user, SP_LATE);
    }
    if (k != SP_OK && n->lim.queued) {
        refuse_waiting(n, k);
    }
    run_next(n);
    SpPool_Tick(n->pool, now);
}

/*
 * Reports.
 */

/* 1 if the report is older than the last one or from an earlier lifetime. */
static int
is_stale(const Instance *i, const SpReport *r)
{
    if (!i->known) {
        return 0;
    }
    if (i->assumed && !r->partial) {
        return 0;
    }
    if (r->partial && (!r->has_start || i->assumed)) {
        return strcmp(r->id, i->last.id) != 0;
    }
    if (r->start_ms != i->last.start_ms) {
        return r->start_ms < i->last.start_ms;
    }
    return strcmp(r->id, i->last.id) != 0 ||
           (!r->partial && r->seq <= i->last.seq);
}

static void
begin_lifetime(Relay *n, const SpReport *r)
{
    memset(&n->inst, 0, sizeof n->inst);
    n->inst.known = 1;
    n->inst.last = *r;
    SpPool_Flush(n->pool);
    SpLog(SP_LOG_INFO, "instance-up",
          "instance=%s start_ms=%" PRId64 " slots=%d warmup_ms=%" PRId64,
          r->id, r->start_ms, r->slots, r->warmup_us / SP_MS);
}

/* The highest limit that another instance of the service reports, but at least
   ASSUMED_LIMIT. */
static double
usual_limit(Relay *n)
{
    const Service *s = service_of(n, n->set.service);
    double limit = ASSUMED_LIMIT;
    guint i;

    for (i = 0; i < s->ups->len; i++) {
        const SpUpstream *u = g_ptr_array_index(s->ups, i);
        if (u != &n->self) {
            limit = MAX(limit, u->limit);
        }
    }
    return limit;
}

void
assume_instance(Relay *n, const char *id)
{
    Instance *i = &n->inst;

    if (i->known) {
        return;
    }
    i->known = i->assumed = 1;
    g_strlcpy(i->last.id, id, sizeof i->last.id);
    i->seen = SpHttp_Now();
    SpLimiter_Assume(&n->lim, usual_limit(n));
    SpLog(SP_LOG_INFO, "instance-up", "instance=%s from=check limit=%.0f", id,
          n->lim.limit);
    tell_links(n);
}

static void
take_report(Relay *n, const SpReport *r)
{
    Instance *i = &n->inst;
    int64_t now = SpHttp_Now();
    SpTakes was = own_load(n, now).takes;

    if (is_stale(i, r)) {
        SpLog(SP_LOG_INFO, "report-stale",
              "instance=%s seq=%" PRId64 " start_ms=%" PRId64, r->id, r->seq,
              r->start_ms);
        return;
    }
    if (!r->partial && i->assumed && strcmp(r->id, i->last.id) == 0) {
        i->assumed = 0; /* same instance as in the status check */
    }
    else if (!r->partial && (!i->known || r->start_ms != i->last.start_ms)) {
        begin_lifetime(n, r);
    }
    if (!i->known) {
        return; /* a partial report cannot introduce an instance */
    }
    if (!r->partial) {
        i->last = *r;
        i->down = 0;
        SpLimiter_SetSlots(&n->lim, r->slots);
    }
    i->seen = now;
    if (r->phase != SP_INST_READY && !i->leave_at) {
        i->leave_at = now;
        SpLog(SP_LOG_INFO, "instance-leaving", "instance=%s said=%s", r->id,
              r->phase == SP_INST_GONE ? "gone" : "draining");
    }
    if (own_load(n, now).takes != was) {
        tell_links(n);
    }
    run_next(n);
}

static void
on_report(void *ctx, SpHttpReq *req)
{
    Relay *n = ctx;
    const SpMsg *m = SpHttpReq_Msg(req);
    SpReport r;

    if (n->ad->is_ready_check(m)) {
        SpHttp_Answer(req, is_relay_ready(n) ? 200 : 503, "", "", 0);
        return;
    }
    if (!n->ad->read_report(m, &r)) {
        SpLog(SP_LOG_WARN, "report-unusable", "bytes=%zu", m->body_len);
        SpHttp_Answer(req, 400, "", "", 0);
        return;
    }
    if ((!r.partial && strcmp(r.addr, n->set.instance) != 0) ||
        (!r.partial && strcmp(r.service, n->set.service) != 0)) {
        char a[64], s[128];
        SpLog(SP_LOG_WARN, "report-foreign", "addr=%s service=%s",
              SpLog_Quote(a, sizeof a, r.addr),
              SpLog_Quote(s, sizeof s, r.service));
    }
    else {
        take_report(n, &r);
    }
    SpHttp_Answer(req, 200, "Content-Type: application/json\r\n", "{}", 2);
}

static void
on_report_gone(void *ctx, SpHttpReq *req)
{
    (void)ctx;
    (void)req; /* every report is answered in its handler */
}

int
listen_reports(Relay *n, GError **err)
{
    SpHttpHandler h = {on_report, on_report_gone, n};

    return SpHttp_Listen(n->http, n->set.reports, &h, err) &&
           SpHttp_Listen(n->http, n->set.ready, &h, err);
}
