/*
 * Follows the configuration in the store, on a few nodes of each zone; the
 * others get it from their peers, also after a restart. A node becomes a
 * follower when it knows of fewer than FOLLOWERS followers in its zone whose
 * names sort before its own, or has had no configuration for NO_CONFIG_US.
 */
#include <string.h>

#include "relay/store.h"

/* The followers of a zone end their long reads in turn, each once in this
   period, so that one of them soon notices a connection that has gone silent.
 */
#define READ_PERIOD_MS 4000
/* A read that would end sooner lasts until the next turn: it would only cost a
   call. */
#define READ_MIN_MS 200
/* Number of nodes of a zone that follow the configuration in the store; the
   others receive it from their peers. */
#define FOLLOWERS 2
/* Time after the start without a configuration until a node asks the store
   itself, although others follow it. */
#define NO_CONFIG_US (2 * SP_SEC)

int
follows_store(const Relay *n)
{
    const Task *t = n->store ? &n->store->config : NULL;

    return t && t->step != STEP_FROM_PEERS && !t->failing;
}

static int
is_follower_needed(const Relay *n, int64_t now)
{
    return count_followers(n) < FOLLOWERS ||
           (!n->routes && now - n->started > NO_CONFIG_US);
}

void
update_follower(Task *t, int64_t now)
{
    const Relay *n = t->s->n;
    int needed;

    if (now - n->started < SP_FOLLOW_DELAY_US) {
        return;
    }
    needed = is_follower_needed(n, now);
    if (needed == (t->step != STEP_FROM_PEERS)) {
        return;
    }
    if (t->x) {
        SpExchange_Abort(t->x);
        t->x = NULL;
    }
    t->step = needed ? STEP_NEWEST : STEP_FROM_PEERS;
    t->after[0] = '\0';
    SpLog(SP_LOG_INFO, needed ? "store-followed" : "store-left",
          "version=%" PRIu64, n->routes ? n->routes->version : 0);
}

/* Time until this node's turn to end its long read, by the wall clock. */
static int
read_wait_ms(const Relay *n)
{
    int64_t turn = count_followers(n) % FOLLOWERS * READ_PERIOD_MS / FOLLOWERS;
    int64_t wall_ms = g_get_real_time() / SP_MS;
    int wait = (int)(READ_PERIOD_MS - (wall_ms + turn) % READ_PERIOD_MS);

    return wait < READ_MIN_MS ? wait + READ_PERIOD_MS : wait;
}

void
start_config(Task *t)
{
    Relay *n = t->s->n;
    int wait_ms = read_wait_ms(n);
    GString *s;

    if (n->routes && SpHttp_Now() - n->started < SP_FOLLOW_DELAY_US) {
        t->next_at = n->started + SP_FOLLOW_DELAY_US;
        return;
    }
    s = g_string_sized_new(512);
    if (t->step == STEP_NEWEST) {
        n->adapter->write_newest(s, n->settings.store, SP_STREAM_CONFIG,
                                 t->after);
        send_store_call(t, CALL_NEWEST, s, SP_CALL_TIMEOUT_US);
    }
    else if (t->step == STEP_FOLLOW) {
        n->adapter->write_read(s, n->settings.store, SP_STREAM_CONFIG,
                               t->offset, wait_ms);
        send_store_call(t, CALL_FOLLOW, s, wait_ms * SP_MS + t->slack_us);
    }
    g_string_free(s, TRUE);
}

static int
is_config(const Relay *n, const SpRecord *r)
{
    return r->key && r->value && strcmp(r->key, n->adapter->config_key) == 0;
}

/* Applies only the newest usable record of the configuration: earlier records
   in the same answer are already superseded. */
static void
apply_newest_config(Relay *n, const SpRecords *rs)
{
    guint i;

    for (i = rs->list->len; i > 0; i--) {
        const SpRecord *r = &g_array_index(rs->list, SpRecord, i - 1);
        if (is_config(n, r) &&
            apply_config(n, r->value, r->value_len, "store")) {
            return;
        }
    }
}

/* The pages are made one after the other: what changes behind the key of a
   page meanwhile is after the end of the log that the first page names. */
static void
set_read_offset(Task *t, const SpRecords *rs)
{
    if (t->step == STEP_FOLLOW || !t->after[0]) {
        t->offset = rs->next;
    }
}

int
handle_config_records(Task *t, const SpMsg *m)
{
    SpRecords rs = {0};
    int ok;

    if (t->step == STEP_NEWEST) {
        ok = t->s->n->adapter->read_newest(m, &rs);
    }
    else {
        ok = t->s->n->adapter->read_read(m, t->offset, &rs);
    }
    if (ok) {
        set_read_offset(t, &rs);
        apply_newest_config(t->s->n, &rs);
    }
    if (ok && t->step == STEP_NEWEST) {
        note_last_key(t, &rs);
    }
    if (ok && !t->after[0]) {
        t->step = STEP_FOLLOW;
    }
    if (!ok) {
        /* the history at this offset was trimmed or the answer is unusable:
           start again with the newest records */
        t->step = STEP_NEWEST;
        t->after[0] = '\0';
    }
    free_records(&rs);
    return ok;
}
