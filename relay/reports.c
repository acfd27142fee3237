/* Reports of the local instance, and what is known of it from them. */
#include <string.h>

#include "relay/relay.h"

/* Concurrency limit until this or another instance of the service reports
   one. */
#define ASSUMED_LIMIT 8.0
/* A report arrives at most this long after it was sent. */
#define LATEST_REPORT_US (10 * SP_SEC)
/* Status of the answer to a report that another node is to get. */
#define MISDIRECTED 421

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

/*
 * Returns 1 if the report, which says that the instance leaves, is the first
 * of its lifetime that does: the one before it was received here, or a report
 * that was sent after the start of this process. Otherwise an earlier process
 * may have acknowledged one.
 */
static int
is_first_of_leaving(const Relay *n, const SpReport *r)
{
    const Instance *i = &n->inst;

    if (!i->known || i->assumed || strcmp(r->id, i->id) != 0) {
        return 0;
    }
    if (!r->partial && r->start_ms != i->start_ms) {
        return 0;
    }
    return (!r->partial && r->seq == i->seq + 1) ||
           i->reported_at - n->started > LATEST_REPORT_US;
}

/* 1 if what is known of an instance that leaves is of the present one. Another
   may begin under an id whose start is not known, but not so soon. */
static int
is_of_present(const Relay *n, const Departure *d)
{
    const Instance *i = &n->inst;
    int64_t drain_us = (int64_t)(n->settings.drain_s * SP_SEC);

    if (!d->id || !i->known || strcmp(d->id, i->id) != 0) {
        return 0;
    }
    if (!d->start_ms) {
        return SpHttp_Now() - d->since < drain_us + LATEST_REPORT_US;
    }
    return i->assumed || d->start_ms == i->start_ms;
}

/* Applies what was known of the instance before it was introduced here. */
static void
apply_departure(Relay *n)
{
    Instance *i = &n->inst;
    const Departure *d = &n->departure;

    if (!is_of_present(n, d) ||
        (i->leaving_since && i->leaving_since <= d->since)) {
        return;
    }
    i->leaving_since = d->since;
    i->has_left |= d->is_over;
    SpLog(SP_LOG_INFO, "instance-leaving",
          "instance=%.128s said=before ms=%" PRId64 " over=%d", i->id,
          (SpHttp_Now() - d->since) / SP_MS, i->has_left);
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
    apply_departure(n);
    SpLog(SP_LOG_INFO, "instance-up", "instance=%.128s from=check limit=%.0f",
          id, n->limiter.limit);
    broadcast_state(n);
}

static void
set_departure(Relay *n, const char *id, int64_t start_ms, int64_t since,
              int is_over)
{
    Departure *d = &n->departure;
    char *copy = g_strdup(id);

    g_free(d->id);
    *d = (Departure){copy, start_ms, since, is_over};
}

static void
begin_leaving(Relay *n, const SpReport *r, int is_first)
{
    Instance *i = &n->inst;

    i->leaving_since = SpHttp_Now();
    i->has_left = !is_first;
    SpLog(SP_LOG_INFO, "instance-leaving", "instance=%.128s said=%s first=%d",
          r->id, r->phase == SP_INST_GONE ? "gone" : "draining", is_first);
    set_departure(n, i->id, i->start_ms, i->leaving_since, i->has_left);
    announce_departure(n);
}

/* Introduces the instance, or brings what is known of it up to date. */
static void
take_report(Relay *n, const SpReport *r)
{
    Instance *i = &n->inst;

    if (!r->partial && i->assumed && strcmp(r->id, i->id) == 0) {
        i->assumed = 0; /* same instance as in the status check */
    }
    else if (!r->partial && (!i->known || r->start_ms != i->start_ms)) {
        begin_lifetime(n, r);
    }
    if (!r->partial) {
        i->start_ms = r->start_ms;
        i->seq = r->seq;
        i->slots = r->slots;
        i->unreachable = 0;
        i->reported_at = SpHttp_Now();
        set_slots(n, r->slots);
    }
    i->last_seen = SpHttp_Now();
    apply_departure(n);
}

static void
apply_report(Relay *n, const SpReport *r)
{
    int64_t now = SpHttp_Now();
    SpAcceptState was = local_load(n, now).accepts;
    int is_first = is_first_of_leaving(n, r);

    if (is_stale(&n->inst, r)) {
        SpLog(SP_LOG_INFO, "report-stale",
              "instance=%.128s seq=%" PRId64 " start_ms=%" PRId64, r->id,
              r->seq, r->start_ms);
        return;
    }
    if (!n->inst.known && r->partial) {
        /* it cannot introduce an instance, but a late report may */
        set_departure(n, r->id, r->start_ms, now, 1);
        announce_departure(n);
        return;
    }
    take_report(n, r);
    if (r->phase != SP_INST_READY && !n->inst.leaving_since) {
        begin_leaving(n, r, is_first);
    }
    if (local_load(n, now).accepts != was) {
        broadcast_state(n);
    }
    run_next(n);
}

void
learn_departure(Relay *n, const Departure *d)
{
    if (n->departure.id && n->departure.since > d->since) {
        return; /* of an earlier instance */
    }
    set_departure(n, d->id, d->start_ms, d->since, d->is_over);
    apply_departure(n);
    broadcast_state(n);
    run_next(n);
}

/* A partial report names neither address nor service. */
static int
is_from_elsewhere(const Relay *n, const SpReport *r)
{
    return !r->partial && strcmp(r->addr, n->settings.instance) != 0;
}

static int
is_of_other_service(const Relay *n, const SpReport *r)
{
    return !r->partial && strcmp(r->service, n->settings.service) != 0;
}

static void
log_foreign(const SpReport *r)
{
    char addr[64], service[128];

    SpLog(SP_LOG_WARN, "report-foreign", "addr=%s service=%s",
          SpLog_Quote(addr, sizeof addr, r->addr),
          SpLog_Quote(service, sizeof service, r->service));
}

/* Only what takes effect here is acknowledged: the node of another address
   would not learn that its instance leaves. Nothing is sent to an instance of
   another service. */
static void
answer_report(Relay *n, SpHttpReq *req, SpArena *a)
{
    const SpMsg *m = SpHttpReq_Msg(req);
    SpReport r;

    if (!n->adapter->read_report(m, a, &r)) {
        SpLog(SP_LOG_WARN, "report-unusable", "bytes=%zu", m->body_len);
        SpHttpReq_Respond(req, 400, "", "", 0);
        return;
    }
    if (is_from_elsewhere(n, &r)) {
        log_foreign(&r);
        SpHttpReq_Respond(req, MISDIRECTED, "", "", 0);
        return;
    }
    if (is_of_other_service(n, &r)) {
        log_foreign(&r);
    }
    else {
        apply_report(n, &r);
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
