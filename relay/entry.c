/* Requests of callers: routing, admission, answers. */
#include <string.h>

#include "relay/call.h"

/* Minimum of Retry-After and width of its random spread. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_SPREAD_MS 200
/* Maximum extension of the spread, as a part of the remaining time. */
#define RETRY_AFTER_SHARE 0.33

Job *
parent_of(const Call *c)
{
    return c->nested ? g_hash_table_lookup(c->n->jobs_by_id, c->parent) : NULL;
}

/* Marks the parent request: retrying it on another instance would not help if
   it fails because of a nested call. */
static void
mark_parent(const Call *c)
{
    Job *j = parent_of(c);

    if (j) {
        j->nested_failed = 1;
    }
}

static void
free_call(Call *c)
{
    Job *j = parent_of(c);

    if (j) {
        nested_ended(j);
    }
    g_queue_unlink(&c->n->calls, &c->node);
    SpRoutes_Unref(c->routes);
    if (c->head) {
        g_string_free(c->head, TRUE);
    }
    SpName_Free(c->workspace_name);
    g_free(c->parent);
    g_free(c);
}

/* Writes the field of the workspace, if there is one. */
static const char *
workspace_field(const Call *c, char *buf, size_t size)
{
    char name[SP_LOGGED_NAME];

    buf[0] = '\0';
    if (c->workspace_name) {
        g_snprintf(buf, size, " workspace=%s",
                   SpLog_Quote(name, sizeof name, c->workspace_name));
    }
    return buf;
}

static void
answer_error(Call *c, SpKind k, int status, const char *lines)
{
    char body[96], field[SP_LOGGED_NAME + 16];
    int64_t now = SpHttp_Now();

    SpLog(SP_LOG_INFO, "call-refused",
          "id=%.128s route=%.128s service=%.128s kind=%s status=%d ms=%" PRId64
          " left_ms=%" PRId64
          " tried=%d reached=%d rank=%d share=%.2f config=%" PRIu64 "%s",
          c->id ? c->id : "-", c->route ? c->route->name : "-",
          c->service ? c->service : "-", SpKind_Info(k)->name, status,
          (now - c->arrived) / SP_MS, (c->deadline - now) / SP_MS, c->ntried,
          c->reached, c->rank, c->share, c->routes ? c->routes->version : 0,
          workspace_field(c, field, sizeof field));
    Metrics_Answer(c->n->metrics, c->route ? c->route->name : NULL, k,
                   now - c->arrived);
    mark_parent(c);
    g_snprintf(body, sizeof body, "%s\n", SpKind_Info(k)->name);
    SpHttpReq_Respond(c->req, status, lines, body, strlen(body));
    free_call(c);
}

/*
 * Retry-After in milliseconds, randomized. It is short when capacity may be
 * free at once; the spread grows as the admitted share of the request's rank
 * falls, so that the retries do not arrive together.
 */
static int64_t
retry_after_ms(const Call *c)
{
    double missing = 1, left = (double)(c->deadline - SpHttp_Now()) / SP_MS;
    SpShares s;

    if (c->route) {
        s = SpPaths_Shares(c->n->paths, SpHttp_Now(), c->route->name);
        missing -= s.of[SpRank_Index(c->rank)];
    }
    return (int64_t)(RETRY_AFTER_MIN_MS +
                     SpRand_Unit(&c->n->rand) *
                         (RETRY_AFTER_SPREAD_MS +
                          missing * left * RETRY_AFTER_SHARE));
}

/* The request has not run and will not: the caller may retry it. */
static void
refuse_for(Call *c, SpKind k, int status, int64_t retry_ms)
{
    char line[48];

    c->n->counters.refused++;
    if (c->in_quota) {
        return_to_quota(c->n, c->workspace);
    }
    g_snprintf(line, sizeof line, "Retry-After: %.3f\r\n",
               (double)retry_ms / 1000.0);
    answer_error(c, k, status, line);
}

static void
refuse(Call *c, SpKind k)
{
    refuse_for(c, k, 503, retry_after_ms(c));
}

static void
fail(Call *c, SpKind k)
{
    int late = SpHttp_Now() >= c->deadline;

    c->n->counters.failed++;
    answer_error(c, k, late || k == SP_TIMEOUT ? 504 : 502, "");
}

void
refuse_or_fail(Call *c, SpKind k)
{
    if (c->maybe_ran) {
        fail(c, k);
    }
    else {
        refuse(c, k);
    }
}

void
forward_answer(Call *c, const Result *r)
{
    char *lines = g_strndup(r->lines, r->lines_len);

    c->n->counters.answered++;
    SpPaths_RecordSize(c->n->paths, c->route->name,
                       c->head->len + c->msg->body_len + r->lines_len +
                           r->body_len);
    Metrics_Answer(c->n->metrics, c->route->name,
                   r->status >= 500 ? SP_INTERNAL : SP_OK,
                   SpHttp_Now() - c->arrived);
    if (r->status >= 500) {
        mark_parent(c);
        SpLog(SP_LOG_INFO, "call-failed",
              "id=%.128s route=%.128s service=%.128s at=%.128s status=%d "
              "ms=%" PRId64,
              c->id, c->route->name, c->service, c->tried[c->ntried - 1]->name,
              r->status, (SpHttp_Now() - c->arrived) / SP_MS);
    }
    SpHttpReq_Respond(c->req, r->status, lines, r->body, r->body_len);
    g_free(lines);
    free_call(c);
}

static int
find_route(Call *c, const SpRequestInfo *a)
{
    SpPathRoute *rt;

    if (!c->n->routes) {
        refuse(c, SP_NO_CONFIG);
        return 0;
    }
    c->routes = SpRoutes_Ref(c->n->routes);
    if (!a->id || !a->host) {
        answer_error(c, SP_BAD_REQUEST, 400, "");
        return 0;
    }
    rt = SpRoutes_Find(c->routes, a->host, c->msg->target);
    if (!rt) {
        answer_error(c, SP_NO_ROUTE, 404, "");
        return 0;
    }
    c->route = rt;
    c->service = SpPathRoute_NextService(rt);
    return 1;
}

/* Finds the workspace of the caller by its key. Calls of a running request
   have none and belong to its workspace; if that request may be one that this
   process does not know, they are refused and may be repeated. */
static int
find_workspace(Call *c, const SpRequestInfo *a)
{
    const SpWorkspaces *ws = c->routes->workspaces;

    if (!ws || c->nested) {
        return 1;
    }
    c->workspace = a->key ? SpWorkspaces_FindKey(ws, a->key) : NULL;
    if (!c->workspace && !c->route->is_public && c->parent &&
        may_be_past_run(c->n, c->parent)) {
        refuse(c, SP_RUN_UNKNOWN);
        return 0;
    }
    if (!c->workspace && !c->route->is_public) {
        answer_error(c, SP_UNAUTHORIZED, 401, c->n->adapter->key_challenge);
        return 0;
    }
    if (c->workspace) {
        c->workspace_name = SpName_New(c->workspace->name);
    }
    c->rank = SpRankMap_Rank(&c->routes->ranks, c->workspace, c->route->rank);
    return 1;
}

/* Calls that the original request needs after this one succeeds: the rest of
   its parent's, as many as runs of that route usually make, and those after
   the parent. */
static double
calls_left_after(const Call *c, const RunInfo *parent, double calls_done)
{
    SpPaths *ps = c->n->paths;
    double rest = SpPaths_Calls(ps, parent->route) - calls_done - 1 -
                  SpPaths_Calls(ps, c->route->name);

    return parent->calls_left + MAX(rest, 0);
}

/*
 * Returns 1 if the instance beside this node may have sent the request as a
 * call: it shows no key, and came from this machine on a connection that has
 * carried no request of a caller. An id alone tells nothing, as callers choose
 * theirs.
 */
static int
may_be_nested(const Call *c, const SpRequestInfo *a)
{
    int shows_key = c->routes->workspaces && a->key;

    if (!a->parent_len || shows_key) {
        SpHttpReq_MarkConn(c->req);
        return 0;
    }
    return !SpHttpReq_IsConnMarked(c->req) && SpHttpReq_IsLocal(c->req);
}

/* A nested call inherits the rank, share and deadline of the request on behalf
   of which the local instance makes it. */
static void
inherit_parent(Call *c, const SpRequestInfo *a)
{
    Relay *n = c->n;
    const RunInfo *past;
    RunInfo info;
    Job *j;

    c->rank = SpRankMap_Rank(&c->routes->ranks, NULL, c->route->rank);
    if (!may_be_nested(c, a)) {
        return;
    }
    c->parent = g_strndup(a->id, a->parent_len);
    j = g_hash_table_lookup(n->jobs_by_id, c->parent);
    past = j ? NULL : find_past_run(n->past_runs, c->parent);
    if (!j && (!past || !past->is_served)) {
        return;
    }
    info = j ? run_info(j) : *past;
    c->nested = 1;
    if (j) {
        nested_began(j);
    }
    c->is_retry = info.is_retry;
    n->parents_known = 1;
    c->rank = info.rank;
    c->deadline = MIN(c->deadline, info.deadline);
    c->share = info.share;
    if (info.workspace[0]) {
        c->workspace_name = SpName_New(info.workspace);
    }
    c->calls_left = calls_left_after(c, &info, j ? j->calls_done : 0);
    SpPaths_RecordCall(n->paths, c->arrived, info.route, c->route->name);
}

/* Rejects new requests in excess of the capacity of the services downstream,
   before any of them has done work. */
static int
is_admitted(Call *c)
{
    Relay *n = c->n;
    double draw;
    SpShares s;

    if (c->nested) {
        return 1;
    }
    s = SpPaths_Shares(n->paths, c->arrived, c->route->name);
    c->share = fair_share(c, &s);
    draw = SpRand_Unit(&n->rand);
    if (draw < c->share ||
        SpPaths_TakeProbe(n->paths, c->arrived, c->route->name)) {
        return 1;
    }
    n->counters.refused_fair += draw < s.of[SpRank_Index(c->rank)];
    return 0;
}

/* Refuses a request beyond the quota of its workspace. */
static int
take_quota(Call *c)
{
    int64_t retry_us;

    if (!c->workspace) {
        return 1;
    }
    c->in_quota = admit_to_quota(c->n, c->workspace, &retry_us);
    if (!c->in_quota) {
        refuse_for(c, SP_OVER_QUOTA, 429, retry_us / SP_MS);
    }
    return c->in_quota;
}

/* A request counts for the retry budget whether it is sent or not. */
static void
count_attempt(const Call *c)
{
    Service *s = service_of(c->n, c->service);

    SpRetryBudget_CountFirst(&s->retries, c->arrived);
    if (c->is_retry) {
        SpRetryBudget_CountRetry(&s->retries, c->arrived);
    }
    if (!c->workspace_name) {
        return;
    }
    if (!s->retry_parts) {
        s->retry_parts = SpRetryParts_New(s->retries.o.window_us);
    }
    SpRetryParts_CountFirst(s->retry_parts, c->arrived, c->workspace_name);
    if (c->is_retry) {
        SpRetryParts_CountRetry(s->retry_parts, c->arrived, c->workspace_name);
    }
}

static void
write_head(Call *c)
{
    SpOrigin o = {.service = c->n->settings.service,
                  .has_workspaces = c->routes->workspaces != NULL};

    if (c->workspace) {
        o.workspace = c->workspace->name;
    }
    c->head = g_string_sized_new(512);
    c->n->adapter->write_head(c->head, c->msg, &o);
}

static void
on_call(void *ctx, SpHttpReq *req)
{
    Relay *n = ctx;
    Call *c = g_new0(Call, 1);
    SpRequestInfo a;

    n->counters.calls++;
    c->n = n;
    c->req = req;
    c->msg = SpHttpReq_Msg(req);
    c->arrived = SpHttp_Now() - stall_us(n);
    c->node.data = c;
    g_queue_push_tail_link(&n->calls, &c->node);
    SpHttpReq_SetData(req, c);
    n->adapter->read_request(c->msg, &a);
    c->id = a.id;
    c->deadline =
        c->arrived + (a.left_us > 0 ? a.left_us : SP_DEFAULT_DEADLINE_US);
    if (!find_route(c, &a)) {
        return;
    }
    if (c->route->timeout_us > 0) {
        c->deadline = MIN(c->deadline, c->arrived + c->route->timeout_us);
    }
    inherit_parent(c, &a);
    if (!find_workspace(c, &a)) {
        return;
    }
    count_attempt(c);
    if (!c->nested && !SpStop_AdmitsNew(&n->stop, c->arrived)) {
        refuse(c, SP_LEAVING);
        return;
    }
    if (!take_quota(c)) {
        return;
    }
    if (!is_admitted(c)) {
        refuse(c, SP_SHED);
        return;
    }
    write_head(c);
    try_instances(c);
}

static void
on_disconnect(void *ctx, SpHttpReq *req)
{
    Relay *n = ctx;
    Call *c = SpHttpReq_Data(req);

    n->counters.disconnected++;
    SpLog(SP_LOG_INFO, "caller-left", "id=%.128s ms=%" PRId64, c->id,
          (SpHttp_Now() - c->arrived) / SP_MS);
    cancel_attempt(c);
    free_call(c);
}

void
tick_calls(Relay *n, int64_t now)
{
    GList *k, *next;

    for (k = n->calls.head; k; k = next) {
        Call *c = k->data;
        next = k->next;
        if (now < c->deadline) {
            continue;
        }
        n->counters.timed_out++;
        c->maybe_ran |= c->target != NULL;
        cancel_attempt(c);
        refuse_or_fail(c, SP_TIMEOUT);
    }
}

void
fail_all_calls(Relay *n, SpKind k)
{
    Call *c;

    while ((c = g_queue_peek_head(&n->calls)) != NULL) {
        c->maybe_ran |= c->target != NULL;
        cancel_attempt(c);
        refuse_or_fail(c, k);
    }
}

int
listen_callers(Relay *n, GError **err)
{
    SpHttpHandler h = {on_call, on_disconnect, n};

    return SpHttpServer_Listen(n->http, n->settings.outbound, &h, err) &&
           (!n->settings.inbound[0] ||
            SpHttpServer_Listen(n->http, n->settings.inbound, &h, err));
}
