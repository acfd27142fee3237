/* spup: the control address. */
#include <string.h>

#include "standin/up.h"

static void
reply_counts(SpWebReq *web)
{
    GString *s = g_string_new(NULL);
    int i;

    for (i = 0; i < up.n; i++) {
        const Instance *in = &up.list[i];
        g_string_append_printf(
            s,
            "instance=%s service=%s runs=%" PRIu64 " sheds=%" PRIu64
            " lates=%" PRIu64 " cancels=%" PRIu64 " peak=%" PRIu64
            " running=%d busy_us=%" PRId64 " last_run_ms=%" PRId64 "\n",
            in->name, in->service, in->runs, in->sheds, in->lates, in->cancels,
            in->peak, in->running, in->busy_us,
            in->last_run ? (SpClock_Now() - in->last_run) / SP_MS : -1);
    }
    g_string_append_printf(s, "doubles=%" PRIu64 " foreign=%" PRIu64 "\n",
                           up.double_runs, up.foreign);
    SpWebReq_Respond(web, 200, NULL, 0, s->str, s->len);
    g_string_free(s, TRUE);
}

/* Sends a line "ID US" for each request that held a slot. */
static void
reply_work(SpWebReq *web)
{
    GString *s = g_string_new(NULL);
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, up.work);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_string_append_printf(s, "%s %" PRId64 "\n", (char *)k,
                               *(int64_t *)v);
    }
    SpWebReq_Respond(web, 200, NULL, 0, s->str, s->len);
    g_string_free(s, TRUE);
}

/* Sends a line "ID PATH COUNT" for each request on a route with "once". */
static void
reply_run_counts(SpWebReq *web)
{
    GString *s = g_string_new(NULL);
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, up.once);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_string_append_printf(s, "%s %d\n", (char *)k, GPOINTER_TO_INT(v));
    }
    SpWebReq_Respond(web, 200, NULL, 0, s->str, s->len);
    g_string_free(s, TRUE);
}

static void
set_faults(Instance *in, const json_t *j)
{
    const json_t *v;

    if ((v = json_object_get(j, "slow")) != NULL) {
        in->slow = json_number_value(v);
    }
    if ((v = json_object_get(j, "fail")) != NULL) {
        in->fail = json_number_value(v);
    }
    if ((v = json_object_get(j, "silent")) != NULL) {
        in->silent = json_is_true(v);
    }
    if (json_object_get(j, "restart")) {
        in->started_at = SpClock_Now();
    }
    if ((v = json_object_get(j, "state")) != NULL && json_is_string(v)) {
        g_strlcpy(in->state, json_string_value(v), sizeof in->state);
        announce(in);
    }
}

/* Sets faults: {"instance" or "service": name, "slow": x, "fail": x,
   "silent": bool, "restart": any, "state": ".."}. */
static void
handle_set(SpWebReq *web)
{
    size_t n;
    const char *p = SpWebReq_Body(web, &n);
    json_t *j = json_loadb(p, n, 0, NULL);
    const char *name = json_string_value(json_object_get(j, "instance"));
    const char *service = json_string_value(json_object_get(j, "service"));
    int i, hits = 0;

    for (i = 0; i < up.n; i++) {
        Instance *in = &up.list[i];
        if ((name && strcmp(name, in->name) == 0) ||
            (service && strcmp(service, in->service) == 0)) {
            set_faults(in, j);
            hits++;
        }
    }
    json_decref(j);
    SpWebReq_Respond(web, hits ? 200 : 404, NULL, 0, "", 0);
}

void
on_control(void *ctx, SpWebReq *web)
{
    const char *path = SpWebReq_Path(web);

    (void)ctx;
    if (strcmp(path, "/counts") == 0) {
        reply_counts(web);
    }
    else if (strcmp(path, "/work") == 0) {
        reply_work(web);
    }
    else if (strcmp(path, "/once") == 0) {
        reply_run_counts(web);
    }
    else if (strcmp(path, "/set") == 0) {
        handle_set(web);
    }
    else {
        SpWebReq_Respond(web, 404, NULL, 0, "no such page\n", 13);
    }
}
