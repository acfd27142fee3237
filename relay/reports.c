/* Reports of the local instance, and what is known of it from them. */
#include <string.h>

#include "relay/relay.h"

/* Concurrency limit until this or another instance of the service reports
   one. */
#define ASSUMED_LIMIT 8.0

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
        return strcmp(r->id, i->id) != 0;
    }
    if (r->start_ms != i->start_ms) {
        return r->start_ms < i->start_ms;
    }
    return strcmp(r->id, i->id) != 0 || (!r->partial && r->seq <= i->seq);
}

static void
begin_lifetime(Relay *n, const SpReport *r)
{
    g_free(n->inst.id);
    memset(&n->inst, 0, sizeof n->inst);
    n->inst.known = 1;
    n->inst.id = g_strdup(r->id);
    begin_capacity(n, r->slots);
    SpPool_CloseIdle(n->pool);
    SpLog(SP_LOG_INFO, "instance-up",
          "instance=%.128s start_ms=%" PRId64 " slots=%d warmup_ms=%" PRId64,
          r->id, r->start_ms, r->slots, r->warmup_us / SP_MS);
}

/* The highest limit that another instance of the service reports, but at least
   ASSUMED_LIMIT. */
static double
default_limit(Relay *n)
{
    const Service *s = service_of(n, n->settings.service);
    double limit = ASSUMED_LIMIT;
    guint i;

    for (i = 0; i < s->upstreams->len; i++) {
        const SpUpstream *u = g_ptr_array_index(s->upstreams, i);
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
    g_free(i->id);
    i->id = g_strdup(id);
    i->last_seen = SpHttp_Now();
    SpLimiter_SetLimit(&n->limiter, default_limit(n));
    SpLog(SP_LOG_INFO, "instance-up", "instance=%.128s from=check limit=%.0f",
          id, n->limiter.limit);
    broadcast_state(n);
}

static void
apply_report(Relay *n, const SpReport *r)
{
    Instance *i = &n->inst;
    int64_t now = SpHttp_Now();
    SpAcceptState was = local_load(n, now).accepts;

    if (is_stale(i, r)) {
        SpLog(SP_LOG_INFO, "report-stale",
              "instance=%.128s seq=%" PRId64 " start_ms=%" PRId64, r->id,
              r->seq, r->start_ms);
        return;
    }
    if (!r->partial && i->assumed && strcmp(r->id, i->id) == 0) {
        i->assumed = 0; /* same instance as in the status check */
    }
    else if (!r->partial && (!i->known || r->start_ms != i->start_ms)) {
        begin_lifetime(n, r);
    }
    if (!i->known) {
        return; /* a partial report cannot introduce an instance */
    }
    if (!r->partial) {
        i->start_ms = r->start_ms;
        i->seq = r->seq;
        i->slots = r->slots;
        i->unreachable = 0;
        set_slots(n, r->slots);
    }
    i->last_seen = now;
    if (r->phase != SP_INST_READY && !i->leaving_since) {
        i->leaving_since = now;
        SpLog(SP_LOG_INFO, "instance-leaving", "instance=%.128s said=%s",
              r->id, r->phase == SP_INST_GONE ? "gone" : "draining");
    }
    if (local_load(n, now).accepts != was) {
        broadcast_state(n);
    }
    run_next(n);
}

/* Returns 1 for a report of the instance beside this node. A partial one names
   neither address nor service. */
static int
is_local(const Relay *n, const SpReport *r)
{
    return r->partial || (strcmp(r->addr, n->settings.instance) == 0 &&
                          strcmp(r->service, n->settings.service) == 0);
}

static void
answer_report(Relay *n, SpHttpReq *req, SpArena *a)
{
    const SpMsg *m = SpHttpReq_Msg(req);
    char addr[64], service[128];
    SpReport r;

    if (!n->adapter->read_report(m, a, &r)) {
        SpLog(SP_LOG_WARN, "report-unusable", "bytes=%zu", m->body_len);
        SpHttpReq_Respond(req, 400, "", "", 0);
        return;
    }
    if (is_local(n, &r)) {
        apply_report(n, &r);
    }
    else {
        SpLog(SP_LOG_WARN, "report-foreign", "addr=%s service=%.128s",
              SpLog_Quote(addr, sizeof addr, r.addr),
              SpLog_Quote(service, sizeof service, r.service));
    }
    SpHttpReq_Respond(req, 200, "Content-Type: application/json\r\n", "{}", 2);
}

static void
on_report(void *ctx, SpHttpReq *req)
{
    Relay *n = ctx;
    SpArena *a;

    if (n->adapter->is_ready_check(SpHttpReq_Msg(req))) {
        SpHttpReq_Respond(req, is_relay_ready(n) ? 200 : 503, "", "", 0);
        return;
    }
    a = SpArena_New();
    answer_report(n, req, a);
    SpArena_Free(a);
}

static void
on_report_disconnect(void *ctx, SpHttpReq *req)
{
    (void)ctx;
    (void)req; /* every report is answered in its handler */
}

int
listen_reports(Relay *n, GError **err)
{
    SpHttpHandler h = {on_report, on_report_disconnect, n};

    return SpHttpServer_Listen(n->http, n->settings.reports, &h, err) &&
           SpHttpServer_Listen(n->http, n->settings.ready, &h, err);
}
