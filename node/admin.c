/* Administration API for operators: JSON over HTTP. */
#include <string.h>

#include "node/admin.h"

#define PUBLISH_WAIT_US (10 * SP_SEC)
#define WAIT_POLL_MS 20

typedef struct Endpoint {
    const char *method;
    const char *path;
    int change; /* 1: requires the role "change" */
    void (*run)(Request *q);
} Endpoint;

/* A publish request that waits until its record is read back from the log. */
typedef struct PublishWait {
    Node *n;
    SpWebReq *web;
    char *id;
    int64_t deadline;
    uv_timer_t timer;
    PublishedCb cb;
    void *ctx;
} PublishWait;

static void
reply_json(SpWebReq *web, int status, json_t *j)
{
    static const SpHeader hs[] = {{"content-type", "application/json"},
                                  {"cache-control", "no-store"}};
    char *s = json_dumps(j, JSON_INDENT(1));

    SpWebReq_Respond(web, status, hs, 2, s, strlen(s));
    free(s);
    json_decref(j);
}

static void
reply_error(SpWebReq *web, int status, const char *text)
{
    reply_json(web, status, json_pack("{s:s}", "error", text));
}

static json_t *
problems_json(const SpProblems *ps)
{
    json_t *list = json_array();
    guint i;

    for (i = 0; i < SpProblems_Count(ps); i++) {
        const SpProblem *p = SpProblems_At(ps, i);
        json_array_append_new(
            list, json_pack("{s:s, s:s}", "place", p->place, "text", p->text));
    }
    return list;
}

static json_t *
version_json(const SpVersion *v, int with_text)
{
    json_t *j;

    if (!v) {
        return json_pack("{s:i}", "version", 0);
    }
    j = json_pack("{s:i, s:I, s:s, s:s, s:s, s:s, s:I, s:I}", "version",
                  v->number, "offset", (json_int_t)v->offset, "id", v->id,
                  "hash", v->hash, "by", v->by, "reason", v->reason, "at_ms",
                  (json_int_t)v->at_ms, "in_force_here_since_ms",
                  (json_int_t)v->since_ms);
    if (with_text) {
        json_object_set_new(j, "document", json_string(v->text));
    }
    return j;
}

static void
get_config(Request *q)
{
    reply_json(
        q->web, 200,
        version_json(SpVersions_Current(SpCore_Versions(q->n->core)), 1));
}

static void
get_history(Request *q)
{
    const SpVersions *vs = SpCore_Versions(q->n->core);
    json_t *list = json_array();
    const SpVersion *v;
    guint i;

    for (i = 0; (v = SpVersions_History(vs, i)) != NULL; i++) {
        json_array_append_new(list, version_json(v, 0));
    }
    reply_json(q->web, 200, list);
}

static void
get_members(Request *q)
{
    const SpMembers *ms = SpCore_Members(q->n->core);
    json_t *list = json_array();
    char inc[24];
    guint i;

    for (i = 0; i < SpMembers_Count(ms); i++) {
        const SpMember *m = SpMembers_At(ms, i);
        g_snprintf(inc, sizeof inc, "%" PRIx64, m->inc);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i}", "name",
                            m->name, "zone", m->zone, "service", m->service,
                            "mesh", m->mesh, "incarnation", inc, "state",
                            SpMemberState_Name(m->state), "slots", m->slots));
    }
    reply_json(q->web, 200, list);
}

static json_t *
kinds_json(const SpCounters *k)
{
    json_t *o = json_object();
    int i;

    for (i = 0; i < SP_NKINDS; i++) {
        if (k->ended[i]) {
            json_object_set_new(o, SpKind_Info((SpKind)i)->name,
                                json_integer((json_int_t)k->ended[i]));
        }
    }
    return o;
}

static json_t *
levels_json(const SpCore *core)
{
    const SpDoc *d = SpCore_Doc(core);
    json_t *o = json_object();
    int i;

    for (i = 0; d && i < d->nroutes; i++) {
        json_object_set_new(
            o, d->routes[i].name,
            json_integer(SpCore_RouteLevel(core, d->routes[i].name)));
    }
    return o;
}

static void
get_status(Request *q)
{
    SpCore *c = q->n->core;
    const SpGate *g = SpCore_Gate(c);
    const SpMember *self = SpMembers_Self(SpCore_Members(c));
    json_t *j =
        json_pack("{s:s, s:s, s:s, s:s, s:i, s:I}", "name", q->n->set.name,
                  "zone", q->n->set.zone, "service", q->n->set.service,
                  "state", SpMemberState_Name(self->state), "members",
                  (int)SpMembers_Count(SpCore_Members(c)), "requests",
                  (json_int_t)SpCore_Requests(c));

    json_object_set_new(
        j, "config", version_json(SpVersions_Current(SpCore_Versions(c)), 0));
    json_object_set_new(
        j, "gate",
        json_pack("{s:f, s:i, s:i, s:i, s:i}", "limit", SpGate_Limit(g),
                  "running", SpGate_Running(g), "queued", SpGate_Queued(g),
                  "level", SpGate_Level(g), "load", SpGate_Load(g)));
    json_object_set_new(j, "levels", levels_json(c));
    json_object_set_new(j, "answers", kinds_json(SpCore_Counters(c)));
    json_object_set_new(j, "keys", json_integer(SpKeys_Count(SpCore_Keys(c))));
    reply_json(q->web, 200, j);
}

static void
get_events(Request *q)
{
    SpEventLog *l = SpCore_EventLog(q->n->core);
    GString *s = g_string_new(NULL);
    static const SpHeader type = {"content-type", "text/plain"};
    guint i;

    for (i = 0; i < SpEventLog_Count(l); i++) {
        const SpEvent *e = SpEventLog_At(l, i);
        g_string_append_printf(
            s, "hlc=%" PRIu64 ".%u node=%s zone=%s event=%s %s\n",
            e->hlc >> 16, (unsigned)(e->hlc & 0xffff), q->n->set.name,
            q->n->set.zone, e->kind, e->text);
    }
    SpWebReq_Respond(q->web, 200, &type, 1, s->str, s->len);
    g_string_free(s, TRUE);
}

static void
append_refusal(GString *s, const SpRefusal *r, const char *node)
{
    g_string_append_printf(
        s,
        "hlc=%" PRIu64 ".%u node=%s event=refusal trace=%016" PRIx64
        "%016" PRIx64 " kind=%s outcome=%s route=%s class=%d slice=%d "
        "rank=%d level=%d version=%d\n",
        r->hlc >> 16, (unsigned)(r->hlc & 0xffff), node, r->trace[0],
        r->trace[1], SpKind_Info(r->kind)->name, SpOutcome_Name(r->outcome),
        r->route[0] ? r->route : "-", r->class, r->slice,
        r->class * SP_SLICES + r->slice, r->level, r->version);
}

/* With ?trace=ID the refusal of that request, else the newest 100. */
static void
get_refusals(Request *q)
{
    static const SpHeader type = {"content-type", "text/plain"};
    const SpRefusals *rs = SpCore_Refusals(q->n->core);
    GString *s = g_string_new(NULL);
    const SpRefusal *r;
    uint64_t trace[2];
    guint i;

    if (strncmp(q->query, "trace=", 6) == 0) {
        r = strlen(q->query) == 38 && SpParse_Hex(q->query + 6, 16, trace) &&
                    SpParse_Hex(q->query + 22, 16, trace + 1)
                ? SpRefusals_Find(rs, trace)
                : NULL;
        if (r) {
            append_refusal(s, r, q->n->set.name);
        }
    }
    else {
        for (i = 0; i < MIN(SpRefusals_Count(rs), 100); i++) {
            append_refusal(s, SpRefusals_At(rs, i), q->n->set.name);
        }
    }
    SpWebReq_Respond(q->web, 200, &type, 1, s->str, s->len);
    g_string_free(s, TRUE);
}

static void
append_metric(GString *s, const char *name, const char *labels, double v)
{
    g_string_append_printf(s, "siskinpond_%s%s %.15g\n", name, labels, v);
}

static void
append_kind_metrics(GString *s, const SpCounters *k)
{
    char label[64];
    int i;

    g_string_append(s, "# TYPE siskinpond_answers_total counter\n");
    for (i = 0; i < SP_NKINDS; i++) {
        g_snprintf(label, sizeof label, "{kind=\"%s\"}",
                   SpKind_Info((SpKind)i)->name);
        append_metric(s, "answers_total", label, (double)k->ended[i]);
    }
}

static void
get_metrics(Request *q)
{
    static const SpHeader type = {"content-type", "text/plain; version=0.0.4"};
    const SpCounters *k = SpCore_Counters(q->n->core);
    const SpGate *g = SpCore_Gate(q->n->core);
    const SpVersion *v = SpVersions_Current(SpCore_Versions(q->n->core));
    GString *s = g_string_new(NULL);
    const struct {
        const char *name;
        double v;
    } counters[] = {{"calls_from_callers_total", (double)k->calls[0]},
                    {"calls_from_nodes_total", (double)k->calls[1]},
                    {"calls_from_instance_total", (double)k->calls[2]},
                    {"runs_total", (double)k->runs},
                    {"sends_total", (double)k->sends},
                    {"retries_total", (double)k->retries},
                    {"retries_denied_total", (double)k->retries_denied},
                    {"handoffs_total", (double)k->handoffs},
                    {"replays_total", (double)k->replays},
                    {"cancels_total", (double)k->cancels},
                    {"peer_messages_in_total", (double)k->peer_in},
                    {"peer_messages_out_total", (double)k->peer_out},
                    {"peer_bytes_in_total", (double)k->peer_in_bytes},
                    {"peer_bytes_out_total", (double)k->peer_out_bytes},
                    {"peer_malformed_total", (double)k->peer_malformed},
                    {"log_reads_total", (double)k->log_reads},
                    {"log_appends_total", (double)k->log_appends},
                    {"log_failures_total", (double)k->log_failures}};
    const struct {
        const char *name;
        double v;
    } gauges[] = {{"gate_limit", SpGate_Limit(g)},
                  {"gate_running", SpGate_Running(g)},
                  {"gate_queued", SpGate_Queued(g)},
                  {"gate_level", SpGate_Level(g)},
                  {"config_version", v ? v->number : 0},
                  {"members", SpMembers_Count(SpCore_Members(q->n->core))},
                  {"keys", SpKeys_Count(SpCore_Keys(q->n->core))}};
    size_t i;

    append_kind_metrics(s, k);
    for (i = 0; i < G_N_ELEMENTS(counters); i++) {
        g_string_append_printf(s, "# TYPE siskinpond_%s counter\n",
                               counters[i].name);
        append_metric(s, counters[i].name, "", counters[i].v);
    }
    for (i = 0; i < G_N_ELEMENTS(gauges); i++) {
        g_string_append_printf(s, "# TYPE siskinpond_%s gauge\n",
                               gauges[i].name);
        append_metric(s, gauges[i].name, "", gauges[i].v);
    }
    SpWebReq_Respond(q->web, 200, &type, 1, s->str, s->len);
    g_string_free(s, TRUE);
}

/*
 * Requests that change state.
 */

static void
on_wait_closed(uv_handle_t *t)
{
    PublishWait *w = t->data;

    SpWebReq_Unref(w->web);
    g_free(w->id);
    g_free(w);
}

static void
poll_published(uv_timer_t *t)
{
    PublishWait *w = t->data;
    SpPublishState st = SpCore_PublishState(w->n->core, w->id);

    if (st == SP_PUBLISH_UNKNOWN && SpClock_Now() < w->deadline) {
        return;
    }
    uv_timer_stop(t);
    w->cb(w->ctx, st);
    uv_close((uv_handle_t *)t, on_wait_closed);
}

void
wait_published(Request *q, char *id, PublishedCb cb, void *ctx)
{
    PublishWait *w = g_new0(PublishWait, 1);

    w->n = q->n;
    w->web = q->web;
    w->id = id;
    w->cb = cb;
    w->ctx = ctx;
    w->deadline = SpClock_Now() + PUBLISH_WAIT_US;
    SpWebReq_Ref(w->web);
    uv_timer_init(q->n->loop, &w->timer);
    w->timer.data = w;
    uv_timer_start(&w->timer, poll_published, WAIT_POLL_MS, WAIT_POLL_MS);
}

static void
on_published(void *ctx, SpPublishState st)
{
    static const char *const names[] = {"unknown", "accepted", "lost",
                                        "invalid"};
    static const int statuses[] = {504, 201, 409, 422};
    Request *q = ctx;
    const SpVersion *v = SpVersions_Current(SpCore_Versions(q->n->core));

    reply_json(q->web, statuses[st],
               json_pack("{s:s, s:o}", "result", names[st], "in_force",
                         version_json(v, 0)));
    g_free(q);
}

/* Publishes a document: {"replaces": N, "reason": "..", "document": ".."} */
static void
post_config(Request *q)
{
    SpProblems *ps = SpProblems_New();
    size_t n;
    const char *body = SpWebReq_Body(q->web, &n);
    json_t *j = SpJson_Load(body, n, ps);
    const char *text = json_string_value(json_object_get(j, "document"));
    const char *reason = json_string_value(json_object_get(j, "reason"));
    json_t *replaces = json_object_get(j, "replaces");

    if (j && (!text || !reason || !*reason || !json_is_integer(replaces))) {
        SpProblems_Add(ps, "top",
                       "needs \"replaces\" (a number), \"reason\" "
                       "and \"document\" (strings)");
    }
    if (text) {
        g_free(SpDoc_Parse(text, strlen(text), ps));
    }
    if (SpProblems_Count(ps)) {
        reply_json(q->web, 422,
                   json_pack("{s:s, s:o}", "result", "invalid", "problems",
                             problems_json(ps)));
    }
    else {
        wait_published(q,
                       SpCore_Publish(q->n->core, SpClock_Now(),
                                      (int)json_integer_value(replaces),
                                      q->holder->name, reason, text),
                       on_published, g_memdup2(q, sizeof *q));
    }
    json_decref(j);
    SpProblems_Free(ps);
}

static void
post_check(Request *q)
{
    SpProblems *ps = SpProblems_New();
    size_t n;
    const char *body = SpWebReq_Body(q->web, &n);

    g_free(SpDoc_Parse(body, n, ps));
    reply_json(q->web, SpProblems_Count(ps) ? 422 : 200,
               json_pack("{s:o}", "problems", problems_json(ps)));
    SpProblems_Free(ps);
}

static void
post_drain(Request *q)
{
    SpCore_Drain(q->n->core, SpClock_Now(), 1);
    reply_json(q->web, 200, json_pack("{s:b}", "drained", 1));
}

static void
post_undrain(Request *q)
{
    SpCore_Drain(q->n->core, SpClock_Now(), 0);
    reply_json(q->web, 200, json_pack("{s:b}", "drained", 0));
}

/* Drops messages to peers, to simulate a network partition in tests:
   {"peers": ["IP:port", ...], "on": true} */
static void
post_drop(Request *q)
{
    size_t n, i;
    const char *body = SpWebReq_Body(q->web, &n);
    json_t *j = json_loadb(body, n, 0, NULL), *v;

    if (!q->n->set.fault_drops) {
        reply_error(q->web, 403, "fault_drops is off in the settings");
        json_decref(j);
        return;
    }
    json_array_foreach(json_object_get(j, "peers"), i, v)
    {
        if (json_is_string(v)) {
            drop_peer(q->n->peers, json_string_value(v),
                      json_is_true(json_object_get(j, "on")));
        }
    }
    json_decref(j);
    reply_json(q->web, 200, json_object());
}

static const Endpoint endpoints[] = {
    {"GET", "/v1/status", 0, get_status},
    {"GET", "/v1/config", 0, get_config},
    {"GET", "/v1/history", 0, get_history},
    {"GET", "/v1/members", 0, get_members},
    {"GET", "/v1/events", 0, get_events},
    {"GET", "/v1/refusals", 0, get_refusals},
    {"GET", "/metrics", 0, get_metrics},
    {"GET", "/", 0, get_console},
    {"GET", "/console", 0, get_console},
    {"GET", "/console/edit", 0, get_edit},
    {"POST", "/console/edit", 1, post_edit},
    {"POST", "/v1/check", 0, post_check},
    {"POST", "/v1/config", 1, post_config},
    {"POST", "/v1/drain", 1, post_drain},
    {"POST", "/v1/undrain", 1, post_undrain},
    {"POST", "/v1/faults/drop", 1, post_drop},
};

char *
form_token(const Request *q)
{
    return g_compute_hmac_for_string(
        G_CHECKSUM_SHA256, (const guchar *)q->n->form_secret,
        strlen(q->n->form_secret), q->holder->name, -1);
}

/* Returns the access token: the credentials of "Bearer", or the password of
   "Basic", for which browsers show a dialog. NULL if there is none. */
static char *
request_token(SpWebReq *web)
{
    const char *s = SpWebReq_Header(web, "authorization");
    char *plain, *colon, *all, *token;
    gsize n;

    if (s && strncmp(s, "Bearer ", 7) == 0) {
        return g_strdup(s + 7);
    }
    if (!s || strncmp(s, "Basic ", 6) != 0) {
        return NULL;
    }
    plain = (char *)g_base64_decode(s + 6, &n);
    all = g_strndup(plain, n);
    colon = strchr(all, ':');
    token = g_strdup(colon ? colon + 1 : "");
    g_free(plain);
    g_free(all);
    return token;
}

static const SpToken *
find_token(const Node *n, SpWebReq *web)
{
    char *given = request_token(web);
    const SpToken *found = NULL;
    int i;

    for (i = 0; given && i < n->set.ntokens; i++) {
        if (SpEqual_ConstTime(n->set.tokens[i].token, given)) {
            found = &n->set.tokens[i];
        }
    }
    g_free(given);
    return found;
}

void
refuse_admin(Request *q, int status, const char *why)
{
    static const SpHeader hs[] = {
        {"content-type", "application/json"},
        {"www-authenticate", "Basic realm=\"siskinpond\""}};
    char path[128], body[160];

    SpLog(SP_LOG_WARN, "admin-refused", "status=%d path=%s who=%s", status,
          SpLog_Quote(path, sizeof path, q->path),
          q->holder ? q->holder->name : "-");
    g_snprintf(body, sizeof body, "{\"error\": \"%s\"}\n", why);
    SpWebReq_Respond(q->web, status, hs, status == 401 ? 2 : 1, body,
                     strlen(body));
}

static void
on_admin(void *ctx, SpWebReq *web)
{
    const char *full = SpWebReq_Path(web);
    const char *mark = strchr(full, '?');
    Request q = {ctx, web, NULL, full, mark ? mark + 1 : ""};
    size_t i, n = mark ? (size_t)(mark - full) : strlen(full);
    int known = 0;

    q.path = SpArena_Dup(SpWebReq_Arena(web), full, n);
    q.holder = find_token(q.n, web);
    if (!q.holder) {
        refuse_admin(&q, 401, "send a known token as Authorization: Bearer");
        return;
    }
    for (i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        const Endpoint *e = &endpoints[i];
        if (strcmp(e->path, q.path) != 0) {
            continue;
        }
        known = 1;
        if (strcmp(e->method, SpWebReq_Method(web)) != 0) {
            continue;
        }
        if (e->change && strcmp(q.holder->role, "change") != 0) {
            refuse_admin(&q, 403, "this token may view only");
            return;
        }
        e->run(&q);
        return;
    }
    reply_error(web, known ? 405 : 404,
                known ? "another method is needed here" : "no such page");
}

static void
on_disconnect(void *ctx, SpWebReq *web)
{
    (void)ctx;
    (void)web;
}

int
listen_admin(Node *n, GError **err)
{
    SpWebHandler h = {on_admin, on_disconnect, n};

    return SpWeb_Listen(n->web, n->set.admin, &h, err);
}
