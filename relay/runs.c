/*
 * Runs of the local instance that this process does not hold: those of an
 * earlier process, of which the nodes that sent them tell, and those whose
 * answer was lost. Their calls show no key and are known by the run only.
 *
 * Calls of a run that is not idempotent are served, since it may have done a
 * part of its work. Those of an idempotent one whose caller has left are
 * refused where they would need a key: nobody waits for its answer.
 */
#include <string.h>

#include "relay/link.h"

/* Maximum number of runs that are kept; the oldest are forgotten first. */
#define MAX_RUNS 4096
/* Maximum length of their ids; a run with a longer one is not kept. */
#define MAX_ID_BYTES 1024
/* The instance ends a run at its deadline; its calls may come a little later.
 */
#define LATE_CALL_US (1 * SP_SEC)
/* Fields of a run in FRAME_RUNS. */
#define RUN_FIELDS 8

typedef struct PastRun {
    char *id; /* owned */
    RunInfo info;
    GList node;
} PastRun;

struct PastRuns {
    GHashTable *by_id; /* to PastRun */
    GQueue order;      /* the same, the oldest first */
    int64_t checked_at;
};

static void
free_run(PastRun *r)
{
    g_free(r->id);
    SpName_Free(r->info.route);
    SpName_Free(r->info.workspace);
    g_free(r);
}

static PastRun *
new_past_run(const char *id, const RunInfo *info)
{
    PastRun *r = g_new0(PastRun, 1);

    r->id = g_strdup(id);
    r->info = *info;
    r->info.route = SpName_New(info->route);
    r->info.workspace = SpName_New(info->workspace);
    r->node.data = r;
    return r;
}

PastRuns *
new_past_runs(void)
{
    PastRuns *rs = g_new0(PastRuns, 1);

    rs->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&rs->order);
    return rs;
}

static void
remove_run(PastRuns *rs, PastRun *r)
{
    g_hash_table_remove(rs->by_id, r->id);
    g_queue_unlink(&rs->order, &r->node);
    free_run(r);
}

void
add_past_run(PastRuns *rs, const char *id, const RunInfo *info)
{
    PastRun *known = g_hash_table_lookup(rs->by_id, id), *r;

    if (strlen(id) > MAX_ID_BYTES) {
        return;
    }
    if (known) {
        remove_run(rs, known);
    }
    if (rs->order.length >= MAX_RUNS) {
        remove_run(rs, g_queue_peek_head(&rs->order));
    }
    r = new_past_run(id, info);
    g_queue_push_tail_link(&rs->order, &r->node);
    g_hash_table_insert(rs->by_id, r->id, r);
}

const RunInfo *
find_past_run(const PastRuns *rs, const char *id)
{
    const PastRun *r = g_hash_table_lookup(rs->by_id, id);

    return r ? &r->info : NULL;
}

void
free_past_runs(PastRuns *rs)
{
    while (rs->order.length) {
        remove_run(rs, g_queue_peek_head(&rs->order));
    }
    g_hash_table_destroy(rs->by_id);
    g_free(rs);
}

void
expire_past_runs(PastRuns *rs, int64_t now)
{
    GList *k, *next;

    if (now - rs->checked_at < LATE_CALL_US) {
        return;
    }
    rs->checked_at = now;
    for (k = rs->order.head; k; k = next) {
        PastRun *r = k->data;
        next = k->next;
        if (now > r->info.deadline + LATE_CALL_US) {
            remove_run(rs, r);
        }
    }
}

void
send_past_runs(LinkConn *conn, const PastRuns *rs)
{
    int64_t now = SpHttp_Now();
    const GList *k;
    FrameOut f;

    if (!rs->order.length) {
        return;
    }
    begin_link_frame(&f, conn, FRAME_RUNS, 1);
    put_array(&f, (size_t)rs->order.length * RUN_FIELDS);
    for (k = rs->order.head; k; k = k->next) {
        const PastRun *r = k->data;
        put_str(&f, r->id);
        put_str(&f, r->info.route);
        put_str(&f, r->info.workspace);
        put_real(&f, r->info.share);
        put_uint(&f, (uint64_t)r->info.rank);
        put_uint(&f, (uint64_t)r->info.is_retry);
        put_real(&f, r->info.calls_left);
        put_int(&f, r->info.deadline - now);
    }
    end_frame(&f);
}

int
handle_runs(LinkConn *conn, FrameIn *f)
{
    Relay *n = conn->n;
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    FrameIn in = {.args = list, .n = count};
    int64_t now = SpHttp_Now();

    for (i = 0; i < count / RUN_FIELDS && !in.bad; i++) {
        const char *id = get_text(&in);
        RunInfo info = {.is_served = 1, .route = get_text(&in)};
        info.workspace = get_text(&in);
        info.share = get_real(&in);
        info.rank = (int)get_uint(&in);
        info.is_retry = get_uint(&in) != 0;
        info.calls_left = get_real(&in);
        info.deadline = now + get_int(&in);
        if (!in.bad && !g_hash_table_contains(n->jobs_by_id, id)) {
            add_past_run(n->past_runs, id, &info);
        }
    }
    SpArena_Free(in.arena);
    SpLog(SP_LOG_INFO, "runs-learned", "peer=%.128s runs=%u", conn->name, i);
    return !f->bad && !in.bad;
}

RunInfo
run_info(const Job *j)
{
    return (RunInfo){.route = j->route,
                     .workspace = j->workspace,
                     .share = j->share,
                     .calls_left = j->calls_left,
                     .rank = j->req.rank,
                     .is_retry = j->is_retry,
                     .is_served = 1,
                     .deadline = j->req.deadline};
}

void
keep_run(const Job *j)
{
    const SpRoutes *rs = j->n->routes;
    RunInfo info = run_info(j);

    if (j->idempotent && !(rs && rs->workspaces)) {
        return; /* its calls need no key, and are taken as new requests */
    }
    info.is_served = !j->idempotent;
    add_past_run(j->n->past_runs, j->id, &info);
}

int
may_be_past_run(const Relay *n, const char *id)
{
    return find_past_run(n->past_runs, id) ||
           SpHttp_Now() - n->started < n->longest_run_us + LATE_CALL_US;
}
