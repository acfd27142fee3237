/* HTTP endpoint for metrics in the Prometheus text format. */
#include <string.h>

#include "relay/relay.h"

static void
put(GString *s, const char *name, double v)
{
    g_string_append_printf(s, "sp_%s %.10g\n", name, v);
}

static void
put_held(GString *s, const Relay *n)
{
    SpHttpCounts c = SpHttpServer_Counts(n->http);
    int k;

    for (k = 0; k < SP_HELD_NKINDS; k++) {
        g_string_append_printf(s, "sp_held_bytes{kind=\"%s\"} %zu\n",
                               SpHeld_KindName((SpHeldKind)k),
                               n->held.by_kind[k]);
    }
    put(s, "held_limit_bytes", (double)n->held.limit);
    put(s, "client_connections_limit", SpHttpServer_MaxConnections(n->http));
    g_string_append_printf(s,
                           "sp_clients_closed_total{why=\"memory\"} %" PRIu64
                           "\nsp_clients_closed_total{why=\"descriptors\"} "
                           "%" PRIu64 "\n",
                           c.closed_memory, c.closed_descriptors);
    put(s, "clients_turned_away_total", (double)c.turned_away);
    put(s, "answers_without_memory_total", (double)c.answers_dropped);
}

static void
put_state(GString *s, const Relay *n)
{
    static const char *const ranks[SP_MAX_RANKS] = {"0", "1", "2", "3",
                                                    "4", "5", "6", "7"};
    Load l = local_load(n, SpHttp_Now());
    int i;

    put(s, "instance_running", n->limiter.running);
    put(s, "instance_queued", n->limiter.queued);
    put(s, "instance_limit", n->limiter.limit);
    put(s, "instance_takes", l.accepts);
    if (n->learns && n->inst.slots > 0) {
        put(s, "instance_capacity", SpCapacity_Limit(&n->capacity));
        put(s, "instance_run_floor_seconds",
            SpCapacity_Floor(&n->capacity) / SP_SEC);
        put(s, "runs_overdue_total", (double)n->counters.jobs_overdue);
    }
    put(s, "config_version", n->routes ? (double)n->routes->version : 0);
    put(s, "nodes_linked", count_links(n));
    put(s, "store_followed", follows_store(n));
    put(s, "workspaces_tracked", SpFairShare_Tracked(n->fair));
    put(s, "client_connections", SpHttpServer_Connections(n->http));
    put(s, "ready", is_relay_ready(n));
    put_held(s, n);
    put(s, "body_memory_bytes", (double)n->body_memory.used);
    put(s, "body_memory_limit_bytes", (double)n->body_memory.limit);
    put(s, "job_memory_bytes", (double)n->job_memory.used);
    put(s, "job_memory_limit_bytes", (double)n->job_memory.limit);
    put(s, "link_memory_bytes", (double)n->link_memory.used);
    put(s, "link_memory_limit_bytes", (double)n->link_memory.limit);
    put(s, "log_lines_lost_total", (double)SpLog_Dropped());
    for (i = 0; i < SP_MAX_RANKS; i++) {
        g_string_append_printf(s, "sp_admitted_share{rank=\"%s\"} %.3f\n",
                               ranks[i], n->admission.shares.of[i]);
    }
}

static void
put_pool(GString *s, const SpPool *p)
{
    SpPoolCounts c = SpPool_Counts(p);

    put(s, "instance_connections_total", (double)c.opened);
    put(s, "replies_unsolicited_total", (double)c.unsolicited);
    put(s, "replies_discarded_total", (double)c.discarded);
}

static void
put_counters(GString *s, const RelayCounters *c)
{
    put(s, "calls_total", (double)c->calls);
    put(s, "callers_left_total", (double)c->disconnected);
    put(s, "retries_total", (double)c->retries);
    put(s, "sent_own_zone_total", (double)c->sent_same_zone);
    put(s, "sent_other_zones_total", (double)c->sent_other_zones);
    put(s, "refused_for_share_total", (double)c->refused_fair);
    put(s, "runs_total", (double)c->jobs);
    put(s, "runs_refused_total", (double)c->jobs_refused);
    put(s, "runs_rejected_total", (double)c->jobs_rejected);
    put(s, "refusals_unstated_total", (double)c->refusals_unstated);
}

static void
on_metrics(void *ctx, SpHttpReq *r)
{
    Relay *n = ctx;
    GString *s;

    if (is_where_request(SpHttpReq_Msg(r))) {
        answer_where(n, r);
        return;
    }
    s = g_string_sized_new(8192);
    put_state(s, n);
    put_pool(s, n->pool);
    put_counters(s, &n->counters);
    print_links(n, s);
    print_store(n, s);
    print_quotas(n, s);
    Metrics_Print(n->metrics, s);
    SpHttpReq_Respond(r, 200, "Content-Type: text/plain; version=0.0.4\r\n",
                      s->str, s->len);
    g_string_free(s, TRUE);
}

static void
on_disconnect(void *ctx, SpHttpReq *r)
{
    (void)ctx;
    (void)r; /* every request is answered in its handler */
}

int
listen_metrics(Relay *n, GError **err)
{
    SpHttpHandler h = {on_metrics, on_disconnect, n};

    return !n->settings.metrics[0] ||
           SpHttpServer_Listen(n->http, n->settings.metrics, &h, err);
}
