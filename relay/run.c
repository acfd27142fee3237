/* Runs of jobs at the local instance: the request, and what its answer says.
 */
#include <string.h>

#include "relay/relay.h"

/* An attempt is not sent again later than this after its deadline here, which
   depends on how long it was on its way. */
#define RESEND_SLACK_US (5 * SP_SEC)
/* Minimum remaining time passed to the instance. */
#define MIN_LEFT_MS 1

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
          "id=%.128s instance=%.128s status=%d named=%d not_run=%d first=%d",
          j->id, j->n->inst.id, m->status, r.has_id, r.not_run, first);
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
              "id=%.128s route=%.128s instance=%.128s status=%d named=%d "
              "conn=%" PRIu64 " ms=%" PRId64,
              j->id, j->route, n->inst.id, m->status, reply->has_id, j->conn,
              (SpHttp_Now() - j->started) / SP_MS);
    }
    else if (reply->refuses) {
        n->counters.refusals_unstated++;
        SpLog(SP_LOG_WARN, "refusal-unstated",
              "id=%.128s route=%.128s instance=%.128s status=%d conn=%" PRIu64,
              j->id, j->route, n->inst.id, m->status, j->conn);
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

/* What the result says of the capacity. An answer of 5xx may have taken any
   time, for instance that of the deadline. */
static SpRunEnd
run_end(const Result *r)
{
    if (r->reached && r->outcome == SP_NOT_RUN) {
        return SP_RUN_REJECTED;
    }
    return r->kind == SP_OK && r->status < 500 ? SP_RUN_ANSWERED
                                               : SP_RUN_NO_NEWS;
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
            SpLog(SP_LOG_WARN, "instance-down", "instance=%.128s why=%s",
                  n->inst.id, why);
            SpPool_CloseIdle(n->pool);
            broadcast_state(n);
        }
    }
    Metrics_Time(n->metrics, METRIC_RUN, ran);
    end_capacity_run(j, run_end(&r));
    SpLimiter_End(&n->limiter, now, &j->req,
                  r.kind == SP_OK && m->status < 500 ? ran : -1);
    if (end != SP_POOL_OK && r.reached) {
        keep_run(j);
    }
    if (end != SP_POOL_OK) {
        SpLog(SP_LOG_WARN, "run-lost",
              "id=%.128s instance=%.128s why=%s sent=%d conn=%" PRIu64
              " ms=%" PRId64,
              j->id, n->inst.id, why, r.reached, j->conn, ran / SP_MS);
    }
    end_job(j, &r);
    if (lines) {
        g_string_free(lines, TRUE);
    }
    run_next(n);
}

void
run_job(Job *j)
{
    Relay *n = j->n;
    int64_t now = SpHttp_Now();
    SpPoolRequest o = {.match = match_reply, .done = on_answer, .data = j};

    j->started = now;
    start_capacity_run(j);
    Metrics_Time(n->metrics, METRIC_WAIT, now - j->req.arrived);
    n->adapter->write_tail(
        j->head, MAX(j->req.deadline - now, MIN_LEFT_MS * SP_MS), n->inst.id);
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
    if (!j->held) {
        j->sent = j->body_len;
        SpHeld_Add(&n->held, SP_HELD_COPIES, j->sent);
    }
    g_free(j->body_copy);
    j->body_copy = NULL;
    j->body = NULL;
    j->body_len = 0;
}
