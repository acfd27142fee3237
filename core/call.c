/* The filter chain that an incoming call passes, and the end of a request. */
#include <string.h>

#include "core/state.h"

#define CONTROL_PREFIX "/.sp/"

typedef enum { PASS, ENDED } Verdict;

typedef struct Filter {
    const char *name;
    Verdict (*run)(SpCore *c, int64_t now, SpReq *r);
} Filter;

int
SpReq_Rank(const SpReq *r)
{
    return r->class * SP_SLICES + r->slice;
}

static void
answer_parked(SpCore *c, int64_t now, SpHandle h, const SpAnswer *a)
{
    while (h) {
        SpReq *w = SpCore_Req(c, h);
        if (!w) {
            return;
        }
        h = w->next_parked;
        w->next_parked = 0;
        c->counters.replays++;
        SpReq_End(c, now, w, a);
    }
}

/* If this node is the home of the request's key, stores the outcome of the
   key. */
static void
record_key_outcome(SpCore *c, int64_t now, SpReq *r, SpAnswer *a)
{
    if (r->state == SP_REQ_PARKED || !r->keyed ||
        strcmp(r->key.home, c->o.name) != 0 ||
        g_hash_table_lookup(c->by_key, r->key_text) != &r->self) {
        return;
    }
    g_hash_table_remove(c->by_key, r->key_text);
    if (a->outcome == SP_NOT_RUN) {
        SpKeys_Refuse(c->keys, SpMembers_Clock(c->members, now), &r->key);
        a->certified = 1;
    }
    else if (a->kind == SP_OK) {
        SpKeys_StoreAnswer(c->keys, &r->key, a);
        a->certified = 1;
    }
    else {
        SpKeys_MarkLost(c->keys, &r->key);
    }
}

/* Replaces SP_NOT_RUN by SP_UNKNOWN unless no process that knows the request
   can still run it. */
static void
settle_outcome(const SpReq *r, SpAnswer *a)
{
    if (a->outcome != SP_NOT_RUN) {
        return;
    }
    if ((r->keyed || r->caller_key) && !a->certified &&
        !(r->own_key && r->sends == 0)) {
        a->outcome = SP_UNKNOWN;
    }
    if (r->maybe_ran && !a->certified) {
        a->outcome = SP_UNKNOWN;
    }
}

static void
update_parent(SpCore *c, SpReq *r, const SpAnswer *a)
{
    SpReq *p = SpCore_Req(c, r->parent);

    if (!p) {
        return;
    }
    p->budget += r->budget;
    if (a->kind != SP_OK || a->status >= 500) {
        p->downstream_failed = 1;
    }
    if (r->level >= 0 && !r->optional &&
        (p->level < 0 || r->level < p->level)) {
        p->level = r->level;
    }
}

static void
count_answer(SpCore *c, const SpReq *r, const SpAnswer *a)
{
    c->counters.ended[a->kind]++;
    if (a->kind == SP_OK && a->status < 500) {
        c->counters.whole[r->class]++;
    }
    else {
        c->counters.refused[r->class]++;
    }
}

/* Records what is needed to explain the refusal later. */
static void
record_refusal(SpCore *c, int64_t now, const SpReq *r, const SpAnswer *a)
{
    const SpVersion *v = SpVersions_Current(c->versions);
    SpRefusal f;

    if (a->kind == SP_OK) {
        return;
    }
    memset(&f, 0, sizeof f);
    f.hlc = SpEventLog_Stamp(c->event_log, SpCore_WallMs(c, now));
    f.trace[0] = r->call.trace[0];
    f.trace[1] = r->call.trace[1];
    f.kind = a->kind;
    f.outcome = a->outcome;
    f.class = r->class;
    f.slice = r->slice;
    f.level = a->level;
    f.version = v ? v->number : 0;
    if (f.level < 0) {
        f.level = SpCore_RouteLevel(c, r->route);
    }
    g_strlcpy(f.route, r->route, sizeof f.route);
    SpRefusals_Add(c->refusals, &f);
}

static int
is_entry(const SpReq *r)
{
    return r->call.source == SP_FROM_CALLER ||
           (r->call.source == SP_FROM_INSTANCE && !r->parent);
}

/* At the entry node, updates the route's level and its count of admitted
   requests that are not answered yet. */
static void
update_route_level(SpCore *c, int64_t now, const SpReq *r)
{
    SpLevelView *v;

    if (!is_entry(r) || !r->route[0]) {
        return;
    }
    v = SpCore_GetLevelView(c->route_views, r->route);
    SpLevelView_Update(v, now, r->level);
    if (r->admitted) {
        v->unanswered--;
    }
}

static void
free_request(SpCore *c, SpReq *r)
{
    if (r->entry) {
        SpGate_Remove(c->gate, r->entry);
    }
    g_hash_table_remove(c->by_span, &r->span);
    c->o.ops->done(c->o.ctx, r->call.user);
    SpTable_Remove(c->reqs, r->self);
}

void
SpReq_End(SpCore *c, int64_t now, SpReq *r, const SpAnswer *given)
{
    SpAnswer a = *given;
    SpHandle parked = r->parked;
    SpAnswer replay;

    record_key_outcome(c, now, r, &a);
    settle_outcome(r, &a);
    if (a.level >= 0 && (r->level < 0 || a.level < r->level)) {
        r->level = a.level;
    }
    update_route_level(c, now, r);
    update_parent(c, r, &a);
    a.level = r->level;
    a.budget = r->budget;
    if (r->keyed) {
        g_strlcpy(a.key, r->key_text, sizeof a.key);
    }
    SpAnswer_SetSender(c, now, &a);
    count_answer(c, r, &a);
    record_refusal(c, now, r, &a);
    replay = a;
    if (!r->detached) {
        c->o.ops->answer(c->o.ctx, r->call.user, &a);
    }
    free_request(c, r);
    answer_parked(c, now, parked, &replay);
}

void
SpReq_Refuse(SpCore *c, int64_t now, SpReq *r, SpKind k)
{
    SpAnswer a;

    SpAnswer_Init(&a, k);
    a.level = r->level;
    if (strcmp(r->service, c->o.service) == 0 &&
        r->call.source != SP_FROM_INSTANCE) {
        a.level = SpGate_Level(c->gate);
    }
    a.below = r->downstream_failed;
    SpReq_End(c, now, r, &a);
}

static Verdict
refuse(SpCore *c, int64_t now, SpReq *r, SpKind k)
{
    SpReq_Refuse(c, now, r, k);
    return ENDED;
}

/*
 * Control calls: keys and outcomes.
 */

static Verdict
reply_json(SpCore *c, int64_t now, SpReq *r, int status, const char *name,
           const char *value)
{
    static const SpHeader type = {"content-type", "application/json"};
    char body[512];
    SpAnswer a;

    g_snprintf(body, sizeof body, "{\"%s\": \"%s\"}\n", name, value);
    SpAnswer_Init(&a, SP_OK);
    a.status = status;
    a.headers = &type;
    a.nheaders = 1;
    a.body = body;
    a.body_len = strlen(body);
    SpReq_End(c, now, r, &a);
    return ENDED;
}

static Verdict
make_key(SpCore *c, int64_t now, SpReq *r, const char *route)
{
    char text[SP_KEY_TEXT];
    const char *service = NULL;
    SpBoundKey k;
    int i;

    for (i = 0; c->doc && i < c->doc->nroutes; i++) {
        if (strcmp(c->doc->routes[i].name, route) == 0) {
            service = c->doc->routes[i].service_name;
        }
    }
    if (!service) {
        return refuse(c, now, r, c->doc ? SP_NO_ROUTE : SP_NO_CONFIG);
    }
    if (!SpCore_BindKey(c, now, SpCore_GetPicker(c, service), NULL, 0, &k)) {
        return refuse(c, now, r, SP_NO_TARGET);
    }
    SpBoundKey_Print(&k, text, sizeof text);
    return reply_json(c, now, r, 201, "key", text);
}

static const char *const outcome_names[] = {
    [SP_KEY_NEW] = "unused",          [SP_KEY_RUNNING] = "running",
    [SP_KEY_ANSWERED] = "done",       [SP_KEY_REFUSED] = "not-run",
    [SP_KEY_ANSWER_LOST] = "unknown", [SP_KEY_OTHER_REQUEST] = "unknown",
    [SP_KEY_OUTDATED] = "unknown",    [SP_KEY_TABLE_FULL] = "not-run"};

static int
is_home(const SpCore *c, const SpBoundKey *k)
{
    return strcmp(k->home, c->o.name) == 0 &&
           k->inc == SpMembers_Self(c->members)->inc;
}

static int
service_of_home(const SpCore *c, const SpBoundKey *k, char *service)
{
    const SpMember *m = SpMembers_Find(c->members, k->home);

    if (!m || m->inc != k->inc || m->state == SP_MEMBER_DOWN) {
        return 0;
    }
    g_strlcpy(service, m->service, SP_NAME_BYTES);
    return 1;
}

/* GET returns the outcome of a key. DELETE also marks an unused key as one
   that never runs. */
static Verdict
report_outcome(SpCore *c, int64_t now, SpReq *r, const char *key)
{
    SpKeyState st;

    if (!SpBoundKey_Parse(key, &r->key)) {
        return refuse(c, now, r, SP_BAD_REQUEST);
    }
    if (!is_home(c, &r->key)) {
        if (!service_of_home(c, &r->key, r->service)) {
            return reply_json(c, now, r, 200, "outcome", "unknown");
        }
        r->keyed = 1;
        r->idempotent = 1;
        SpReq_Send(c, now, r);
        return ENDED;
    }
    st = SpKeys_Lookup(c->keys, SpMembers_Clock(c->members, now), &r->key);
    if (st == SP_KEY_NEW && strcmp(r->call.method, "DELETE") == 0) {
        SpKeys_Refuse(c->keys, SpMembers_Clock(c->members, now), &r->key);
        st = SP_KEY_REFUSED;
    }
    return reply_json(c, now, r, 200, "outcome", outcome_names[st]);
}

static Verdict
filter_control(SpCore *c, int64_t now, SpReq *r)
{
    const char *p = r->call.path;

    if (strncmp(p, CONTROL_PREFIX, strlen(CONTROL_PREFIX)) != 0) {
        return PASS;
    }
    r->deadline = now + 2 * SP_SEC;
    r->caller_key = 0;
    p += strlen(CONTROL_PREFIX);
    if (strncmp(p, "keys/", 5) == 0 && strcmp(r->call.method, "POST") == 0) {
        return make_key(c, now, r, p + 5);
    }
    if (strncmp(p, "outcomes/", 9) == 0) {
        return report_outcome(c, now, r, p + 9);
    }
    return refuse(c, now, r, SP_NO_ROUTE);
}

/*
 * The other filters, in the order of the chain.
 */

/* Without a configuration, only calls with a safe method to the local instance
   are served. */
static Verdict
filter_config(SpCore *c, int64_t now, SpReq *r)
{
    if (c->doc) {
        return PASS;
    }
    if (r->call.source == SP_FROM_INSTANCE || !SpDoc_IsSafe(r->call.method)) {
        return refuse(c, now, r, SP_NO_CONFIG);
    }
    g_strlcpy(r->service, c->o.service, sizeof r->service);
    r->idempotent = 1;
    r->caller_key = 0;
    r->deadline = now + 10 * SP_SEC;
    r->slice = (int)(SpHash(r->call.trace, 16, 0) % SP_SLICES);
    SpReq_PlaceLocal(c, now, r);
    return ENDED;
}

static Verdict
filter_route(SpCore *c, int64_t now, SpReq *r)
{
    int i = SpDoc_FindRoute(c->doc, r->call.method, r->call.path);
    const SpRoute *rt;

    if (i < 0) {
        return refuse(c, now, r, SP_NO_ROUTE);
    }
    rt = &c->doc->routes[i];
    g_strlcpy(r->route, rt->name, sizeof r->route);
    g_strlcpy(r->service, rt->service_name, sizeof r->service);
    r->class = rt->class;
    r->idempotent = rt->idempotent;
    r->optional = rt->optional;
    r->deadline = now + rt->deadline_ms * SP_MS;
    return PASS;
}

/* The low 16 bits of a span id made here are a checksum, so that the span of
   a request that has ended here can be told from one that the instance
   started itself. */
static uint64_t
make_checked_span(const SpCore *c, uint64_t high)
{
    return high << 16 | (SpHash(&high, sizeof high, c->span_seed) & 0xffff);
}

static uint64_t
make_span(SpCore *c)
{
    return make_checked_span(c, SpRand(&c->rand) >> 16 | 1);
}

static int
is_own_span(const SpCore *c, uint64_t span)
{
    return make_checked_span(c, span >> 16) == span;
}

static Verdict
filter_deadline(SpCore *c, int64_t now, SpReq *r)
{
    const SpReq *p;

    if (r->call.timeout_us < 0) {
        return refuse(c, now, r, SP_LATE);
    }
    if (r->call.timeout_us > 0) {
        /* the call may have waited unread while this process was stopped */
        r->deadline =
            MIN(r->deadline, now + r->call.timeout_us - SpCore_Stall(c, now));
    }
    if (r->call.source == SP_FROM_INSTANCE && is_own_span(c, r->call.parent)) {
        SpHandle *h = g_hash_table_lookup(c->by_span, &r->call.parent);
        p = h ? SpCore_Req(c, *h) : NULL;
        if (!p) {
            /* the request that made this call has ended */
            return refuse(c, now, r, SP_LATE);
        }
        r->parent = p->self;
        r->deadline = MIN(r->deadline, p->deadline);
    }
    return r->deadline <= now ? refuse(c, now, r, SP_LATE) : PASS;
}

static Verdict
filter_classify(SpCore *c, int64_t now, SpReq *r)
{
    SpReq *p = SpCore_Req(c, r->parent);

    (void)now;
    if (p) {
        r->class = p->class;
        r->slice = p->slice;
        r->budget = (p->budget + 1) / 2;
        p->budget -= r->budget;
    }
    else if (r->call.source == SP_FROM_NODE) {
        r->class = CLAMP(r->call.class, 0, c->doc->nclasses - 1);
        r->slice = CLAMP(r->call.slice, 0, SP_SLICES - 1);
        r->budget = CLAMP(r->call.budget, 0, c->doc->retries.per_request);
    }
    else {
        r->slice = (int)(SpHash(r->call.trace, 16, 0) % SP_SLICES);
        r->budget = c->doc->retries.per_request;
    }
    return PASS;
}

static uint64_t
digest_of(const SpReq *r)
{
    uint64_t h = SpHash(r->call.method, strlen(r->call.method), 1);

    h = SpHash(r->call.path, strlen(r->call.path), h);
    return SpHash(r->call.body, r->call.body_len, h);
}

static Verdict
filter_key(SpCore *c, int64_t now, SpReq *r)
{
    if (r->idempotent) {
        r->caller_key = 0;
        return PASS;
    }
    r->digest = digest_of(r);
    if (!r->call.key) {
        if (r->call.source == SP_FROM_INSTANCE) {
            r->own_key = 1;
            return PASS;
        }
        return refuse(c, now, r, SP_KEY_REQUIRED);
    }
    if (!r->caller_key) {
        return refuse(c, now, r, SP_KEY_REQUIRED);
    }
    r->keyed = 1;
    SpBoundKey_Print(&r->key, r->key_text, sizeof r->key_text);
    return PASS;
}

/* Refuses a call that the local instance makes for an admitted request: an
   optional call at or above the level of its service, any other if it is not
   of class 0 and its rank exceeds the level by more than SP_LEVEL_MARGIN. */
static Verdict
admit_downstream(SpCore *c, int64_t now, SpReq *r)
{
    double level;

    if (r->call.source != SP_FROM_INSTANCE) {
        return PASS;
    }
    level = SpCore_GetLevelView(c->service_views, r->service)->level;
    if (r->optional) {
        return SpReq_Rank(r) >= level ? refuse(c, now, r, SP_OPTIONAL) : PASS;
    }
    if (r->class == 0 || SpReq_Rank(r) <= level + SP_LEVEL_MARGIN) {
        return PASS;
    }
    r->level = (int)level;
    return refuse(c, now, r, SP_SHED);
}

static Verdict
filter_admit(SpCore *c, int64_t now, SpReq *r)
{
    int top = SpCore_MaxLevel(c), level;

    if (c->doc->policy != SP_POLICY_FULL) {
        return PASS;
    }
    if (!is_entry(r)) {
        return admit_downstream(c, now, r);
    }
    level = SpCore_RouteLevel(c, r->route);
    if (strcmp(r->service, c->o.service) == 0) {
        level = MIN(level, SpGate_Level(c->gate));
    }
    if (SpReq_Rank(r) >= level ||
        (r->call.attempt > 0 && r->class > 0 && level < top)) {
        return refuse(c, now, r, SP_SHED);
    }
    r->admitted = 1;
    SpCore_GetLevelView(c->route_views, r->route)->unanswered++;
    return PASS;
}

static Verdict
filter_place(SpCore *c, int64_t now, SpReq *r)
{
    if (r->call.source != SP_FROM_INSTANCE &&
        strcmp(r->service, c->o.service) == 0) {
        SpReq_PlaceLocal(c, now, r);
    }
    else if (r->call.source == SP_FROM_NODE) {
        SpReq_Refuse(c, now, r, SP_NO_ROUTE);
    }
    else {
        SpReq_Send(c, now, r);
    }
    return ENDED;
}

static const Filter chain[] = {
    {"control", filter_control},   {"config", filter_config},
    {"route", filter_route},       {"deadline", filter_deadline},
    {"classify", filter_classify}, {"key", filter_key},
    {"admit", filter_admit},       {"place", filter_place},
};

SpHandle
SpCore_Call(SpCore *c, int64_t now, const SpCall *call)
{
    SpHandle h;
    SpReq *r = SpTable_Add(c->reqs, &h);
    size_t i;

    c->counters.calls[call->source]++;
    r->self = h;
    r->call = *call;
    r->arrived = now;
    r->deadline = now + SP_SEC;
    r->level = -1;
    r->span = make_span(c);
    r->caller_key = call->key && SpBoundKey_Parse(call->key, &r->key);
    if (call->source == SP_FROM_NODE && call->from && call->from[0]) {
        int64_t *at = g_hash_table_lookup(c->senders, call->from);
        if (!at) {
            at = g_new(int64_t, 1);
            g_hash_table_insert(c->senders, g_strdup(call->from), at);
        }
        *at = now;
    }
    for (i = 0; i < G_N_ELEMENTS(chain); i++) {
        if (chain[i].run(c, now, r) == ENDED) {
            break;
        }
    }
    return SpTable_Get(c->reqs, h) ? h : 0;
}

void
SpCore_CallerLeft(SpCore *c, int64_t now, SpHandle h)
{
    SpReq *r = SpCore_Req(c, h);
    SpAnswer a;

    if (!r || r->detached) {
        return;
    }
    c->counters.cancels++;
    r->detached = 1;
    if (r->state == SP_REQ_RUNNING && SpReq_OutlivesCaller(c, r)) {
        return; /* the outcome is still needed */
    }
    SpAnswer_Init(&a, SP_CANCELLED);
    if (r->state == SP_REQ_RUNNING) {
        a.outcome = SP_UNKNOWN;
        SpReq_CancelRun(c, now, r);
    }
    else if (r->state == SP_REQ_SENT) {
        a.outcome = SP_UNKNOWN;
        SpReq_AbandonSend(c, r);
        c->o.ops->cancel(c->o.ctx, r->call.user);
    }
    SpReq_End(c, now, r, &a);
    SpCore_DispatchQueue(c, now);
}
