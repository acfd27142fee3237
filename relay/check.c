/*
 * Status checks of the local instance: a node that has just started polls the
 * instance, so that it can send requests before the first report. Reports take
 * precedence: after the first one no more checks are made.
 */
#include "relay/relay.h"

#define INTERVAL_US (250 * SP_MS)
#define TIMEOUT_US (500 * SP_MS)

static void
on_check(void *data, SpPoolStatus end, const SpMsg *m, const char *why)
{
    Relay *n = data;
    const char *id;

    n->check = NULL;
    n->check_at = SpHttp_Now() + INTERVAL_US;
    id = end == SP_POOL_OK ? n->adapter->read_check(m) : NULL;
    if (id) {
        assume_instance(n, id);
        return;
    }
    SpLog(SP_LOG_INFO, "check-failed", "why=%s status=%d", why,
          m ? m->status : 0);
}

static void
send_check(Relay *n, const char *path)
{
    GString *s = g_string_sized_new(128);
    /* neither its answer nor that of a request names what it answers to, so
       that a late copy of one must not reach the other */
    SpPoolRequest o = {.own_connection = 1, .done = on_check, .data = n};

    n->adapter->write_check(s, n->settings.instance, path);
    o.head = s->str;
    o.head_len = s->len;
    n->check = SpPool_Send(n->pool, &o);
    n->check_at = SpHttp_Now() + TIMEOUT_US;
    g_string_free(s, TRUE);
}

void
tick_check(Relay *n, int64_t now)
{
    const SpServiceConf *c;

    if (now < n->check_at) {
        return;
    }
    if (n->check) {
        SpExchange_Abort(n->check);
        n->check = NULL;
        n->check_at = now + INTERVAL_US;
        SpLog(SP_LOG_INFO, "check-failed", "why=timeout status=0");
        return;
    }
    if (n->inst.known || !n->routes) {
        return;
    }
    c = SpRoutes_Service(n->routes, n->settings.service);
    if (c && c->check && c->check[0]) {
        send_check(n, c->check);
    }
}
