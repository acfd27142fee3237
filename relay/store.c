/*
 * Tasks that call the platform's store: one call at a time, with a time limit,
 * and a delay after a failure.
 */
#include <string.h>

#include "relay/store.h"

#define BACKOFF_MIN_US (200 * SP_MS)
#define BACKOFF_MAX_US (2 * SP_SEC)
/* Time after a restart for the peers to send the configuration. */
#define PEERS_DELAY_US (80 * SP_MS)
#define IDLE_US (5 * SP_SEC)
#define ANSWER_BYTES ((size_t)8 << 20)

static const char *const call_names[NCALLS] = {"register", "list", "newest",
                                               "follow"};

static void
set_failing(Task *t, int failing, const char *why, int status)
{
    if (t->failing == failing) {
        return;
    }
    t->failing = failing;
    if (failing) {
        t->slack_us = SP_CALL_TIMEOUT_US;
    }
    SpLog(failing ? SP_LOG_WARN : SP_LOG_INFO,
          failing ? "store-lost" : "store-back", "task=%s why=%s status=%d",
          t->name, why, status);
}

static void
back_off(Task *t)
{
    uint64_t *rand = &t->s->n->rand;

    t->next_at = SpHttp_Now() + t->backoff_us / 2 +
                 (int64_t)(SpRand(rand) % (uint64_t)t->backoff_us);
    t->backoff_us = MIN(t->backoff_us * 2, BACKOFF_MAX_US);
}

static void
on_answer(void *data, SpPoolStatus end, const SpMsg *m, const char *why)
{
    Task *t = data;

    t->x = NULL;
    if (end != SP_POOL_OK || !t->handle(t, m)) {
        t->s->failed++;
        set_failing(t, 1, end == SP_POOL_OK ? "answer" : why,
                    m ? m->status : 0);
        back_off(t);
        return;
    }
    set_failing(t, 0, "ok", m->status);
    t->backoff_us = BACKOFF_MIN_US;
    if (SpHttp_Now() - (t->deadline - t->slack_us) < SP_READ_SLACK_US) {
        t->slack_us = SP_READ_SLACK_US;
    }
}

void
send_store_call(Task *t, CallReason why, const GString *s, int64_t timeout_us)
{
    SpPoolRequest o = {
        .head = s->str, .head_len = s->len, .done = on_answer, .data = t};

    t->s->calls[why]++;
    t->deadline = SpHttp_Now() + timeout_us;
    t->x = SpPool_Send(t->s->pool, &o);
}

static void
tick_task(Task *t, int64_t now)
{
    if (t->x) {
        if (now > t->deadline) {
            SpExchange_Abort(t->x);
            t->x = NULL;
            t->s->failed++;
            set_failing(t, 1, "timeout", 0);
            /* the other connections may have gone silent too; the time-out was
               delay enough before a call on a new one */
            SpPool_CloseIdle(t->s->pool);
        }
        return;
    }
    if (now >= t->next_at) {
        t->start(t);
    }
}

void
note_last_key(Task *t, const SpRecords *rs)
{
    t->after[0] = '\0';
    if (rs->more && rs->list->len) {
        g_strlcpy(t->after,
                  g_array_index(rs->list, SpRecord, rs->list->len - 1).key,
                  sizeof t->after);
    }
}

void
free_records(SpRecords *rs)
{
    SpArena_Free(rs->arena);
    if (rs->list) {
        g_array_free(rs->list, TRUE);
    }
}

static void
init_task(Store *s, Task *t, const char *name, void (*start)(Task *t),
          int (*handle)(Task *t, const SpMsg *m))
{
    t->s = s;
    t->name = name;
    t->start = start;
    t->handle = handle;
    t->backoff_us = BACKOFF_MIN_US;
    t->slack_us = SP_READ_SLACK_US;
}

int
open_store(Relay *n, GError **err)
{
    SpPoolOpts o = {.connect_us = 1 * SP_SEC,
                    .idle_us = IDLE_US,
                    .body_bytes = ANSWER_BYTES};
    Store *s = g_new0(Store, 1);

    (void)err;
    g_strlcpy(o.addr, n->settings.store, sizeof o.addr);
    s->n = n;
    s->pool = SpPool_New(n->loop, &o);
    init_task(s, &s->nodes, "nodes", start_nodes, handle_nodes);
    init_task(s, &s->config, "config", start_config, handle_config_records);
    s->nodes.step = n->settings.first_start ? STEP_REGISTER : STEP_LIST;
    s->config.next_at =
        n->started +
        (n->settings.first_start ? SP_FOLLOW_DELAY_US : PEERS_DELAY_US);
    n->store = s;
    return 1;
}

void
tick_store(Relay *n, int64_t now)
{
    update_follower(&n->store->config, now);
    tick_task(&n->store->nodes, now);
    tick_task(&n->store->config, now);
    SpPool_Tick(n->store->pool, now);
}

void
print_store(const Relay *n, GString *s)
{
    int i;

    for (i = 0; i < NCALLS; i++) {
        g_string_append_printf(
            s, "sp_store_calls_total{reason=\"%s\"} %" PRIu64 "\n",
            call_names[i], n->store->calls[i]);
    }
    g_string_append_printf(s, "sp_store_calls_failed_total %" PRIu64 "\n",
                           n->store->failed);
}
