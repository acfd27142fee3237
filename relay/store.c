/*
 * Client of the platform's store, which holds the configuration and a record
 * of each node. There are two tasks, each with at most one call in progress.
 * The nodes task lists the nodes and registers this one if its record differs.
 * The configuration task follows the configuration on a few nodes of each
 * zone; the others get it from their peers, also after a restart. A node
 * becomes a follower when it knows of fewer than FOLLOWERS followers in its
 * zone whose names sort before its own, or has had no configuration for
 * NO_CONFIG_US.
 */
#include <jansson.h>
#include <string.h>

#include "relay/relay.h"

#define CALL_TIMEOUT_US (2 * SP_SEC)
/* The followers of a zone end their long reads in turn, each once in this
   period, so that one of them soon notices a connection that has gone silent.
 */
#define READ_PERIOD_MS 4000
/* A read that would end sooner lasts until the next turn: it would only cost a
   call. */
#define READ_MIN_MS 200
/* A long read that is not answered this long after its end has failed. As the
   store may be slow, the time is CALL_TIMEOUT_US after a failure, until an
   answer comes in time. */
#define READ_SLACK_US (600 * SP_MS)
/* Number of nodes of a zone that follow the configuration in the store; the
   others receive it from their peers. */
#define FOLLOWERS 2
/* Time after the start of a node to learn of the others before it decides
   whether to follow. */
#define FOLLOW_DELAY_US (1 * SP_SEC)
/* Time after a restart for the peers to send the configuration. */
#define PEERS_DELAY_US (80 * SP_MS)
/* Time after the start without a configuration until a node asks the store
   itself, although others follow it. */
#define NO_CONFIG_US (2 * SP_SEC)
/* When all nodes start together, one in LIST_ONE_IN reads the list, this long
   after its registration so that the others have registered; it links to nodes
   of each service, which learn of the others from it. A node that nobody has
   linked in time reads the list itself. */
#define LIST_ONE_IN 8
#define LIST_DELAY_US (500 * SP_MS)
#define LIST_FALLBACK_US (1500 * SP_MS)
#define LIST_SPREAD_US (500 * SP_MS)
#define BACKOFF_MIN_US (200 * SP_MS)
#define BACKOFF_MAX_US (2 * SP_SEC)
/* Interval at which a node without links lists the others again. */
#define RELIST_US (3 * SP_SEC)
#define ANSWER_BYTES ((size_t)8 << 20)

typedef enum { STEP_REGISTER, STEP_LIST, STEP_IDLE } NodesStep;
typedef enum { STEP_NEWEST, STEP_FOLLOW, STEP_FROM_PEERS } ConfigStep;

/* Reasons for the calls to the store. */
typedef enum {
    CALL_REGISTER,
    CALL_LIST,
    CALL_NEWEST,
    CALL_FOLLOW,
    NCALLS
} CallReason;

static const char *const call_names[NCALLS] = {"register", "list", "newest",
                                               "follow"};

/* A sequence of calls, one at a time, with a backoff after a failure. */
typedef struct Task {
    Store *s;
    const char *name;
    SpExchange *x;
    int64_t deadline; /* deadline of the call in progress */
    int64_t next_at;  /* earliest start of the next call */
    int64_t backoff_us;
    int64_t slack_us; /* for the answer of a long read after its end */
    int failing;
    void (*start)(struct Task *t);
    /* returns 0 if the answer is unusable */
    int (*handle)(struct Task *t, const SpMsg *m);
    int step;
    int64_t offset;  /* of the next read in the stream */
    char after[256]; /* last key of the previous page; empty: first page */
} Task;

struct Store {
    Relay *n;
    SpPool *pool;
    Task nodes, config;
    int registered;    /* 1: the store has the record of this node */
    int may_skip_list; /* 1: the next list is not read if there are links */
    uint64_t calls[NCALLS], failed;
};

static void
set_failing(Task *t, int failing, const char *why, int status)
{
    if (t->failing == failing) {
        return;
    }
    t->failing = failing;
    if (failing) {
        t->slack_us = CALL_TIMEOUT_US;
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
    if (SpHttp_Now() - (t->deadline - t->slack_us) < READ_SLACK_US) {
        t->slack_us = READ_SLACK_US;
    }
}

static void
send_call(Task *t, CallReason why, const GString *s, int64_t timeout_us)
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

/*
 * Nodes: registration and list.
 */

/* The record of this node; the caller frees it. */
static char *
write_node_record(const Relay *n)
{
    const SpRelaySettings *st = &n->settings;
    json_t *o = json_pack("{s:s,s:s,s:s}", "addr", st->link, "zone", st->zone,
                          "service", st->service);
    char *text = json_dumps(o, JSON_COMPACT);

    json_decref(o);
    return text;
}

static int
copy_text(char *to, size_t size, const json_t *o, const char *key)
{
    const char *text = json_string_value(json_object_get(o, key));

    return text && *text && g_strlcpy(to, text, size) < size;
}

/* Returns 0 if the record describes no node. */
static int
read_node_record(const SpRecord *r, SpNodeInfo *m)
{
    json_t *o = r->value ? json_loadb(r->value, r->value_len, 0, NULL) : NULL;
    int ok;

    memset(m, 0, sizeof *m);
    ok = r->key && *r->key &&
         g_strlcpy(m->name, r->key, sizeof m->name) < sizeof m->name &&
         copy_text(m->addr, sizeof m->addr, o, "addr") &&
         copy_text(m->zone, sizeof m->zone, o, "zone") &&
         copy_text(m->service, sizeof m->service, o, "service");
    json_decref(o);
    return ok;
}

static void
start_nodes(Task *t)
{
    Relay *n = t->s->n;
    const SpAdapter *ad = n->adapter;
    GString *s;
    char *record;

    if (t->step == STEP_IDLE || t->s->may_skip_list) {
        t->s->may_skip_list = 0;
        t->step = count_links(n) > 0 ? STEP_IDLE : STEP_LIST;
    }
    if (t->step == STEP_IDLE) {
        t->next_at = SpHttp_Now() + RELIST_US;
        return;
    }
    s = g_string_sized_new(512);
    if (t->step == STEP_REGISTER) {
        record = write_node_record(n);
        ad->write_append(s, n->settings.store, SP_STREAM_NODES,
                         n->settings.name, record);
        free(record);
        send_call(t, CALL_REGISTER, s, CALL_TIMEOUT_US);
    }
    else {
        ad->write_newest(s, n->settings.store, SP_STREAM_NODES, t->after);
        send_call(t, CALL_LIST, s, CALL_TIMEOUT_US);
    }
    g_string_free(s, TRUE);
}

static int
is_own_record(const Relay *n, const SpNodeInfo *m)
{
    const SpRelaySettings *st = &n->settings;

    return strcmp(m->name, st->name) == 0 && strcmp(m->addr, st->link) == 0 &&
           strcmp(m->zone, st->zone) == 0 &&
           strcmp(m->service, st->service) == 0;
}

static void
add_listed_members(Store *s, const SpRecords *rs)
{
    SpNodeInfo m;
    guint i;

    for (i = 0; i < rs->list->len; i++) {
        if (!read_node_record(&g_array_index(rs->list, SpRecord, i), &m)) {
            continue; /* of another version of the program */
        }
        s->registered |= is_own_record(s->n, &m);
        add_member(s->n, &m, 1);
    }
}

static void
note_last_key(Task *t, const SpRecords *rs)
{
    t->after[0] = '\0';
    if (rs->more && rs->list->len) {
        g_strlcpy(t->after,
                  g_array_index(rs->list, SpRecord, rs->list->len - 1).key,
                  sizeof t->after);
    }
}

static void
free_records(SpRecords *rs)
{
    SpArena_Free(rs->arena);
    if (rs->list) {
        g_array_free(rs->list, TRUE);
    }
}

static void
after_registration(Task *t)
{
    Relay *n = t->s->n;
    Store *s = t->s;
    int64_t delay = LIST_DELAY_US;

    s->registered = 1;
    t->step = STEP_IDLE;
    if (!n->settings.first_start && SpDirectory_Count(n->directory) > 1) {
        return;
    }
    if (n->settings.first_start && SpRand(&n->rand) % LIST_ONE_IN != 0) {
        s->may_skip_list = 1;
        delay =
            LIST_FALLBACK_US + (int64_t)(SpRand(&n->rand) % LIST_SPREAD_US);
    }
    t->step = STEP_LIST;
    t->next_at = SpHttp_Now() + delay;
}

static int
handle_nodes(Task *t, const SpMsg *m)
{
    Store *s = t->s;
    SpRecords rs = {0};
    int ok;

    if (t->step == STEP_REGISTER) {
        if (m->status != 200) {
            return 0;
        }
        after_registration(t);
        return 1;
    }
    ok = s->n->adapter->read_newest(m, &rs);
    if (ok) {
        add_listed_members(s, &rs);
        note_last_key(t, &rs);
    }
    if (ok && !t->after[0]) {
        t->step = s->registered ? STEP_IDLE : STEP_REGISTER;
        t->next_at = s->registered ? SpHttp_Now() + RELIST_US : 0;
    }
    free_records(&rs);
    return ok;
}

/*
 * Configuration.
 */

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

/* Stops following if there are enough followers; starts again with the newest
   records if there are not. */
static void
update_follower(Task *t, int64_t now)
{
    const Relay *n = t->s->n;
    int needed;

    if (now - n->started < FOLLOW_DELAY_US) {
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

static void
start_config(Task *t)
{
    Relay *n = t->s->n;
    int wait_ms = read_wait_ms(n);
    GString *s;

    if (n->routes && SpHttp_Now() - n->started < FOLLOW_DELAY_US) {
        t->next_at = n->started + FOLLOW_DELAY_US;
        return;
    }
    s = g_string_sized_new(512);
    if (t->step == STEP_NEWEST) {
        n->adapter->write_newest(s, n->settings.store, SP_STREAM_CONFIG,
                                 t->after);
        send_call(t, CALL_NEWEST, s, CALL_TIMEOUT_US);
    }
    else if (t->step == STEP_FOLLOW) {
        n->adapter->write_read(s, n->settings.store, SP_STREAM_CONFIG,
                               t->offset, wait_ms);
        send_call(t, CALL_FOLLOW, s, wait_ms * SP_MS + t->slack_us);
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

static int
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

/*
 * Set-up and timer.
 */

static void
init_task(Store *s, Task *t, const char *name, void (*start)(Task *t),
          int (*handle)(Task *t, const SpMsg *m))
{
    t->s = s;
    t->name = name;
    t->start = start;
    t->handle = handle;
    t->backoff_us = BACKOFF_MIN_US;
    t->slack_us = READ_SLACK_US;
}

int
open_store(Relay *n, GError **err)
{
    SpPoolOpts o = {.connect_us = 1 * SP_SEC,
                    .idle_us = 5 * SP_SEC,
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
        (n->settings.first_start ? FOLLOW_DELAY_US : PEERS_DELAY_US);
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
