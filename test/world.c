#include <string.h>

#include "test/world.h"

#define LATENCY_US (500)
/* A doubled call comes so late at most. */
#define DOUBLE_US (300 * SP_MS)
#define ANNOUNCE_US (1 * SP_SEC)
#define MAX_PLANS 32

typedef struct Node Node;
typedef struct Call Call;
typedef struct Event Event;

struct Event {
    int64_t at;
    uint64_t order;
    void (*fire)(World *w, Event *e);
    int node;      /* that it happens at; -1 none */
    uint64_t life; /* of that node's process */
    int from;
    Call *call; /* by reference */
    uint32_t number;
    SpHandle h;
    char *p;
    size_t n;
    SpAnswer *a;
    SpArena *arena; /* of the answer */
    char stream[16];
    int64_t offset;
    uint64_t tag;
    int ok;
};

/* One call that some core serves; it is counted, for events point to it. */
struct Call {
    int refs;
    int node; /* that serves it */
    uint64_t life;
    SpHandle h; /* in that core; 0 once it has ended */
    SpArena *arena;
    const char *id, *method, *path, *key, *body, *from;
    size_t body_len;
    /* the sender, if it is a node */
    int up_node;
    uint64_t up_life;
    SpHandle up_h;
    uint32_t up_number;
    Call *up; /* its call; set while an answer is wanted */
    /* the caller, if it is a test */
    WResultCb cb;
    void *ctx;
    /* the job, if it is a call of an instance */
    Call *job;
    /* what is in flight for it */
    Call *down;   /* the call at the target */
    uint32_t run; /* number of the run at the own instance; 0 none */
    uint64_t span;
    uint64_t trace[2];
    int64_t until; /* deadline of the run */
    int next_child;
};

struct Node {
    World *w;
    int index;
    char name[SP_NAME_BYTES], service[SP_NAME_BYTES], zone[SP_NAME_BYTES];
    char mesh[SP_ADDR_BYTES], peer[SP_ADDR_BYTES];
    SpCore *core;
    uint64_t life; /* counts its processes */
    int slots, paused, no_log;
    char inst[16];
    GQueue held;      /* of Event, while it is paused */
    GPtrArray *calls; /* of Call, to be freed with the process */
    int drop_call[W_MAX_NODES], drop_reply[W_MAX_NODES], dup_call[W_MAX_NODES];
};

typedef struct Record {
    char *p;
    size_t n;
} Record;

typedef struct Stream {
    GArray *records; /* of Record; index 0 is offset `oldest` */
    int64_t oldest;
} Stream;

typedef struct Plan {
    char path[SP_PATH_BYTES];
    int64_t work_us;
    int fails;
    char method[4][16], child[4][SP_PATH_BYTES];
    int nchildren;
} Plan;

struct World {
    int64_t now, tick_us;
    uint64_t order, rand;
    GArray *heap; /* of Event pointers, by time */
    Node nodes[W_MAX_NODES];
    int n;
    WFaults f;
    char cuts[16][2][SP_NAME_BYTES];
    int ncuts;
    GHashTable *streams;
    int log_down, log_lose;
    Plan plans[MAX_PLANS];
    int nplans;
    GHashTable *runs; /* "id path" -> count */
    int doubles, foreign;
};

/*
 * Time.
 */

static int
is_before(const Event *a, const Event *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static Event **
slot(World *w, guint i)
{
    return &g_array_index(w->heap, Event *, i);
}

static void
swap(Event **a, Event **b)
{
    Event *t = *a;

    *a = *b;
    *b = t;
}

static Event *
at(World *w, int64_t delay, void (*fire)(World *, Event *), int node)
{
    Event *e = g_new0(Event, 1);
    guint i = w->heap->len;

    e->at = w->now + delay;
    e->order = ++w->order;
    e->fire = fire;
    e->node = node;
    e->life = node >= 0 ? w->nodes[node].life : 0;
    g_array_append_val(w->heap, e);
    while (i > 0 && is_before(*slot(w, i), *slot(w, (i - 1) / 2))) {
        swap(slot(w, i), slot(w, (i - 1) / 2));
        i = (i - 1) / 2;
    }
    return e;
}

static Event *
take(World *w)
{
    Event *top = *slot(w, 0);
    guint i = 0, k, n = w->heap->len - 1;

    *slot(w, 0) = *slot(w, n);
    g_array_set_size(w->heap, n);
    while ((k = 2 * i + 1) < n) {
        if (k + 1 < n && is_before(*slot(w, k + 1), *slot(w, k))) {
            k++;
        }
        if (!is_before(*slot(w, k), *slot(w, i))) {
            break;
        }
        swap(slot(w, i), slot(w, k));
        i = k;
    }
    return top;
}

static void
drop_call_ref(Call *c)
{
    if (!c || --c->refs > 0) {
        return;
    }
    drop_call_ref(c->up);
    drop_call_ref(c->job);
    drop_call_ref(c->down);
    SpArena_Free(c->arena);
    g_free(c);
}

static Call *
ref(Call *c)
{
    c->refs++;
    return c;
}

static void
free_event(Event *e)
{
    drop_call_ref(e->call);
    g_free(e->p);
    SpArena_Free(e->arena);
    g_free(e);
}

static void
fire(World *w, Event *e)
{
    if (e->node >= 0) {
        Node *n = &w->nodes[e->node];
        if (n->paused && n->life == e->life) {
            g_queue_push_tail(&n->held, e);
            return;
        }
        if (n->life != e->life) {
            free_event(e);
            return;
        }
    }
    e->fire(w, e);
    free_event(e);
}

void
World_Run(World *w, int64_t us)
{
    int64_t end = w->now + us;

    while (w->heap->len && (*slot(w, 0))->at <= end) {
        Event *e = take(w);
        w->now = MAX(w->now, e->at);
        fire(w, e);
    }
    w->now = end;
}

int64_t
World_Now(const World *w)
{
    return w->now;
}

uint64_t
World_Rand(World *w)
{
    return SpRand(&w->rand);
}

double
World_Unit(World *w)
{
    return SpRand_Unit(&w->rand);
}

static int
chance(World *w, double p)
{
    return p > 0 && World_Unit(w) < p;
}

static int64_t
latency(World *w)
{
    if (chance(w, w->f.delay)) {
        return LATENCY_US + (int64_t)(World_Unit(w) * (double)w->f.delay_us);
    }
    return LATENCY_US;
}

void
World_SetFaults(World *w, const WFaults *f)
{
    w->f = *f;
}

static int
is_cut(const World *w, int a, int b)
{
    const char *za = w->nodes[a].zone, *zb = w->nodes[b].zone;
    int i;

    for (i = 0; i < w->ncuts; i++) {
        if ((strcmp(w->cuts[i][0], za) == 0 &&
             strcmp(w->cuts[i][1], zb) == 0) ||
            (strcmp(w->cuts[i][0], zb) == 0 &&
             strcmp(w->cuts[i][1], za) == 0)) {
            return 1;
        }
    }
    return 0;
}

void
World_Cut(World *w, const char *a, const char *b, int on)
{
    int i;

    if (on && w->ncuts < 16) {
        g_strlcpy(w->cuts[w->ncuts][0], a, SP_NAME_BYTES);
        g_strlcpy(w->cuts[w->ncuts++][1], b, SP_NAME_BYTES);
        return;
    }
    for (i = 0; !on && i < w->ncuts; i++) {
        if (strcmp(w->cuts[i][0], a) == 0 && strcmp(w->cuts[i][1], b) == 0) {
            w->ncuts--;
            memcpy(w->cuts[i], w->cuts[w->ncuts], sizeof w->cuts[i]);
            return;
        }
    }
}

/*
 * Calls.
 */

static Call *
new_call(World *w, int node)
{
    Call *c = g_new0(Call, 1);

    c->refs = 1;
    c->node = node;
    c->life = w->nodes[node].life;
    c->up_node = -1;
    c->arena = SpArena_New();
    return c;
}

static const SpAnswer *
copy_answer(Event *e, const SpAnswer *a)
{
    SpHeader *h;
    int i;

    e->arena = SpArena_New();
    e->a = SpArena_Alloc(e->arena, sizeof *a);
    *e->a = *a;
    h = SpArena_Alloc(e->arena, sizeof *h * (size_t)(a->nheaders + 1));
    for (i = 0; i < a->nheaders; i++) {
        h[i].name = SpArena_Str(e->arena, a->headers[i].name);
        h[i].value = SpArena_Str(e->arena, a->headers[i].value);
    }
    e->a->headers = h;
    e->a->body = SpArena_Dup(e->arena, a->body, a->body_len);
    return e->a;
}

static void
enter(World *w, Call *c, SpCall *sc)
{
    Node *n = &w->nodes[c->node];
    SpHandle h;

    sc->method = c->method;
    sc->path = c->path;
    sc->key = c->key;
    sc->body = c->body;
    sc->body_len = c->body_len;
    sc->user = ref(c); /* dropped by on_done */
    g_ptr_array_add(n->calls, c);
    h = SpCore_Call(n->core, w->now, sc);
    if (h) {
        c->h = h;
    }
}

static void
fire_reply(World *w, Event *e)
{
    Call *up = e->call;

    if (up->h && up->run == 0) {
        SpCore_Replied(w->nodes[e->node].core, w->now, e->h, e->number, e->a);
    }
}

static void
reply_up(World *w, Call *c, const SpAnswer *a, int64_t delay)
{
    Event *e;

    if (!c->up || w->nodes[c->up_node].life != c->up_life) {
        return;
    }
    e = at(w, delay, fire_reply, c->up_node);
    e->call = ref(c->up);
    e->h = c->up_h;
    e->number = c->up_number;
    copy_answer(e, a);
}

static void next_child(World *w, Call *job);
static void finish_job(World *w, Call *job, int status, const char *why);

static int
is_own(const Call *c, const SpAnswer *a)
{
    char want[256];
    int n = g_snprintf(want, sizeof want, "%s %s", c->id, c->path);

    return a->body_len == (size_t)n && memcmp(a->body, want, (size_t)n) == 0;
}

static void
fire_child_answer(World *w, Event *e)
{
    Call *job = e->call;

    if (!job->run || !job->h) {
        return;
    }
    if (e->a->kind == SP_OK && e->a->status == 200) {
        next_child(w, job);
    }
    else {
        finish_job(w, job, 502, "part failed");
    }
}

static void
on_answer(void *ctx, void *user, const SpAnswer *a)
{
    World *w = ((Node *)ctx)->w;
    Call *c = user;
    Event *e;
    WResult r;

    if (a->kind == SP_OK && a->status == 200 &&
        strncmp(c->path, "/.sp/", 5) != 0 && !is_own(c, a)) {
        w->foreign++;
    }
    if (c->cb) {
        r = (WResult){c->id,  a->kind, a->status,  a->outcome,
                      a->key, a->body, a->body_len};
        c->cb(c->ctx, w, &r);
    }
    else if (c->job) {
        e = at(w, LATENCY_US / 10, fire_child_answer, c->node);
        e->call = ref(c->job);
        copy_answer(e, a);
    }
    else if (c->up) {
        Node *n = &w->nodes[c->node];
        if (is_cut(w, c->node, c->up_node)) {
            return; /* the sender's own deadline ends it */
        }
        if (n->drop_reply[c->up_node] || chance(w, w->f.lose_reply)) {
            SpAnswer lost;
            n->drop_reply[c->up_node] = 0;
            SpAnswer_Init(&lost, SP_BROKEN);
            reply_up(w, c, &lost, latency(w));
            return;
        }
        reply_up(w, c, a, latency(w));
    }
}

static void
on_done(void *ctx, void *user)
{
    World *w = ((Node *)ctx)->w;
    Call *c = user;

    c->h = 0;
    c->run = 0;
    g_ptr_array_remove_fast(w->nodes[c->node].calls, c);
    if (c->up) {
        drop_call_ref(c->up);
        c->up = NULL;
    }
    if (c->job) {
        drop_call_ref(c->job);
        c->job = NULL;
    }
    if (c->down) {
        drop_call_ref(c->down);
        c->down = NULL;
    }
    drop_call_ref(c);
}

static void
fire_left(World *w, Event *e)
{
    if (e->call->h) {
        SpCore_Left(w->nodes[e->node].core, w->now, e->call->h);
    }
}

static void
on_cancel(void *ctx, void *user)
{
    World *w = ((Node *)ctx)->w;
    Call *c = user;
    Event *e;

    c->run = 0;
    if (c->down) {
        if (!is_cut(w, c->node, c->down->node)) {
            e = at(w, latency(w), fire_left, c->down->node);
            e->life = c->down->life;
            e->call = ref(c->down);
        }
        drop_call_ref(c->down);
        c->down = NULL;
    }
}

static int
node_of_mesh(const World *w, const char *addr)
{
    int i;

    for (i = 0; i < w->n; i++) {
        if (strcmp(w->nodes[i].mesh, addr) == 0) {
            return i;
        }
    }
    return -1;
}

static void
fire_call(World *w, Event *e)
{
    Call *c = e->call;
    SpCall sc = {.source = SP_FROM_NODE,
                 .class = (int)e->offset,
                 .slice = e->ok,
                 .budget = (int)e->tag,
                 .timeout_us = c->until,
                 .from = c->from};

    sc.trace[0] = c->trace[0];
    sc.trace[1] = c->trace[1];
    enter(w, c, &sc);
}

static Call *
make_down(World *w, Call *up, const SpSend *s, int to)
{
    Call *c = new_call(w, to);

    c->id = SpArena_Str(c->arena, up->id);
    c->method = SpArena_Str(c->arena, s->method);
    c->path = SpArena_Str(c->arena, s->path);
    c->key = SpArena_Str(c->arena, s->key);
    c->body = SpArena_Dup(c->arena, s->body, s->body_len);
    c->body_len = s->body_len;
    c->from = SpArena_Str(c->arena, w->nodes[up->node].name);
    c->trace[0] = s->trace[0];
    c->trace[1] = s->trace[1];
    c->until = s->timeout_us;
    return c;
}

static void
post_call(World *w, Call *c, const SpSend *s, int64_t delay)
{
    Event *e = at(w, delay, fire_call, c->node);

    e->call = ref(c);
    e->offset = s->class;
    e->ok = s->slice;
    e->tag = (uint64_t)s->budget;
}

static void
fail_send(World *w, Call *up, const SpSend *s, SpKind k)
{
    Event *e = at(w, latency(w), fire_reply, up->node);
    SpAnswer a;

    SpAnswer_Init(&a, k);
    e->call = ref(up);
    e->h = s->request;
    e->number = s->number;
    copy_answer(e, &a);
}

static void
on_send(void *ctx, const SpSend *s)
{
    World *w = ((Node *)ctx)->w;
    Call *up = s->user, *c;
    Node *n = &w->nodes[up->node];
    int to = node_of_mesh(w, s->mesh);

    up->h = s->request;
    up->run = 0;
    if (up->down) {
        drop_call_ref(up->down);
        up->down = NULL;
    }
    if (to < 0 || !w->nodes[to].core) {
        fail_send(w, up, s, SP_UNREACHABLE);
        return;
    }
    if (is_cut(w, up->node, to)) {
        return; /* nothing comes back before the deadline */
    }
    if (n->drop_call[to] || chance(w, w->f.lose_call)) {
        n->drop_call[to] = 0;
        fail_send(w, up, s, SP_BROKEN);
        return;
    }
    c = make_down(w, up, s, to);
    c->up = ref(up);
    c->up_node = up->node;
    c->up_life = n->life;
    c->up_h = s->request;
    c->up_number = s->number;
    up->down = ref(c);
    post_call(w, c, s, latency(w));
    drop_call_ref(c);
    if (n->dup_call[to] || chance(w, w->f.double_call)) {
        n->dup_call[to] = 0;
        c = make_down(w, up, s, to);
        post_call(w, c, s,
                  latency(w) + LATENCY_US +
                      (int64_t)(World_Unit(w) * (double)DOUBLE_US));
        drop_call_ref(c);
    }
}

/*
 * Instances.
 */

static Plan *
plan_of(World *w, const char *path)
{
    int i;

    for (i = 0; i < w->nplans; i++) {
        if (strcmp(w->plans[i].path, path) == 0) {
            return &w->plans[i];
        }
    }
    g_assert(w->nplans < MAX_PLANS);
    g_strlcpy(w->plans[w->nplans].path, path, SP_PATH_BYTES);
    w->plans[w->nplans].work_us = 10 * SP_MS;
    return &w->plans[w->nplans++];
}

void
World_Work(World *w, const char *path, int ms)
{
    plan_of(w, path)->work_us = ms * SP_MS;
}

void
World_Fail(World *w, const char *path, int on)
{
    plan_of(w, path)->fails = on;
}

void
World_Child(World *w, const char *path, const char *method, const char *child)
{
    Plan *p = plan_of(w, path);

    g_assert(p->nchildren < 4);
    g_strlcpy(p->method[p->nchildren], method, 16);
    g_strlcpy(p->child[p->nchildren++], child, SP_PATH_BYTES);
}

static void
count_run(World *w, const Call *c)
{
    char *k = g_strdup_printf("%s %s", c->id, c->path);
    int n = GPOINTER_TO_INT(g_hash_table_lookup(w->runs, k)) + 1;

    if (n > 1 && strcmp(c->method, "POST") == 0) {
        w->doubles++;
    }
    g_hash_table_insert(w->runs, k, GINT_TO_POINTER(n));
}

static void
fire_ran(World *w, Event *e)
{
    Call *c = e->call;

    if (c->h && c->run == e->number) {
        SpCore_Ran(w->nodes[e->node].core, w->now, c->h, e->number, e->a);
    }
}

static void
finish_job(World *w, Call *job, int status, const char *why)
{
    char body[256];
    Event *e = at(w, LATENCY_US / 10, fire_ran, job->node);
    SpAnswer a;

    SpAnswer_Init(&a, SP_OK);
    a.status = status;
    g_snprintf(body, sizeof body, "%s %s", job->id, job->path);
    a.body = why ? why : body;
    a.body_len = strlen(a.body);
    e->call = ref(job);
    e->number = job->run;
    copy_answer(e, &a);
}

static void
next_child(World *w, Call *job)
{
    const Plan *p = plan_of(w, job->path);
    SpCall sc = {.source = SP_FROM_INSTANCE};
    Call *c;
    int i = job->next_child;

    if (i >= p->nchildren) {
        finish_job(w, job, 200, NULL);
        return;
    }
    job->next_child++;
    c = new_call(w, job->node);
    c->id = SpArena_Str(c->arena, job->id);
    c->method = p->method[i];
    c->path = p->child[i];
    c->body = c->id;
    c->body_len = strlen(c->id);
    c->job = ref(job);
    sc.parent = job->span;
    sc.trace[0] = job->trace[0];
    sc.trace[1] = job->trace[1];
    c->trace[0] = sc.trace[0];
    c->trace[1] = sc.trace[1];
    enter(w, c, &sc);
    drop_call_ref(c);
}

static void
fire_worked(World *w, Event *e)
{
    Call *job = e->call;

    if (!job->h || job->run != e->number) {
        return;
    }
    if (plan_of(w, job->path)->fails) {
        finish_job(w, job, 500, "failed");
        return;
    }
    next_child(w, job);
}

static void
on_run(void *ctx, const SpSend *s)
{
    World *w = ((Node *)ctx)->w;
    Call *c = s->user;
    Event *e;
    SpAnswer a;

    c->h = s->request;
    c->run = s->number;
    c->span = s->span;
    c->trace[0] = s->trace[0];
    c->trace[1] = s->trace[1];
    c->next_child = 0;
    if (strcmp(w->nodes[c->node].inst, "silent") == 0) {
        e = at(w, LATENCY_US, fire_ran, c->node);
        SpAnswer_Init(&a, SP_UNREACHABLE);
        e->call = ref(c);
        e->number = s->number;
        copy_answer(e, &a);
        return;
    }
    count_run(w, c);
    e = at(w, plan_of(w, c->path)->work_us, fire_worked, c->node);
    e->call = ref(c);
    e->number = s->number;
}

static void
fire_announce(World *w, Event *e)
{
    Node *n = &w->nodes[e->node];

    if (strcmp(n->inst, "silent") != 0) {
        SpCore_Instance(n->core, w->now,
                        strcmp(n->inst, "leaving") == 0 ? SP_INST_LEAVING
                                                        : SP_INST_UP,
                        n->slots);
    }
    at(w, ANNOUNCE_US, fire_announce, e->node);
}

void
World_Instance(World *w, int i, const char *state)
{
    g_strlcpy(w->nodes[i].inst, state, sizeof w->nodes[i].inst);
}

/*
 * Peers.
 */

static void
fire_peer(World *w, Event *e)
{
    SpCore_Peer(w->nodes[e->node].core, w->now, e->p, e->n);
}

static void
post_peer(World *w, int from, int to, const void *p, size_t n)
{
    Event *e;

    if (!w->nodes[to].core || is_cut(w, from, to) ||
        chance(w, w->f.lose_peer)) {
        return;
    }
    e = at(w, latency(w), fire_peer, to);
    e->p = g_memdup2(p, n);
    e->n = n;
}

static void
on_peer(void *ctx, const char *addr, const void *p, size_t n)
{
    Node *me = ctx;
    World *w = me->w;
    int i;

    for (i = 0; i < w->n; i++) {
        if (strcmp(w->nodes[i].peer, addr) == 0) {
            post_peer(w, me->index, i, p, n);
            if (chance(w, w->f.double_peer)) {
                post_peer(w, me->index, i, p, n);
            }
        }
    }
}

/*
 * Log.
 */

static Stream *
stream_of(World *w, const char *name)
{
    Stream *s = g_hash_table_lookup(w->streams, name);

    if (!s) {
        s = g_new0(Stream, 1);
        s->records = g_array_new(FALSE, TRUE, sizeof(Record));
        g_hash_table_insert(w->streams, g_strdup(name), s);
    }
    return s;
}

void
World_Log(World *w, const char *state)
{
    w->log_down = strcmp(state, "down") == 0;
    w->log_lose = strcmp(state, "lose") == 0;
}

void
World_NoLog(World *w, int i, int on)
{
    w->nodes[i].no_log = on;
}

static int
is_log_down(const World *w, int i)
{
    return w->log_down || w->nodes[i].no_log;
}

static void
trim(Stream *s, guint keep)
{
    while (s->records->len > keep) {
        g_free(g_array_index(s->records, Record, 0).p);
        g_array_remove_index(s->records, 0);
        s->oldest++;
    }
}

void
World_Trim(World *w, int keep)
{
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, w->streams);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        trim(v, (guint)keep);
    }
}

static void
fire_appended(World *w, Event *e)
{
    SpCore_Appended(w->nodes[e->node].core, w->now, e->tag, e->ok);
}

static void
on_append(void *ctx, const char *stream, uint64_t tag, const char *p, size_t n)
{
    Node *me = ctx;
    World *w = me->w;
    Record r = {g_memdup2(p, n), n};
    Event *e;

    if (is_log_down(w, me->index)) {
        g_free(r.p);
    }
    else {
        g_array_append_val(stream_of(w, stream)->records, r);
    }
    e = at(w, 2 * latency(w), fire_appended, me->index);
    e->tag = tag;
    e->ok = !is_log_down(w, me->index) && !w->log_lose;
}

static void
fire_read(World *w, Event *e)
{
    SpCore *c = w->nodes[e->node].core;
    Stream *s = stream_of(w, e->stream);
    SpRecord r[64];
    size_t n = 0;
    guint i;

    if (is_log_down(w, e->node)) {
        SpCore_Read(c, w->now, e->stream, 0, 0, 0, NULL, 0);
        return;
    }
    for (i = 0; i < s->records->len && n < 64; i++) {
        const Record *rec = &g_array_index(s->records, Record, i);
        if (s->oldest + i >= e->offset) {
            r[n++] = (SpRecord){s->oldest + i, rec->p, rec->n};
        }
    }
    SpCore_Read(c, w->now, e->stream, 1, s->oldest,
                s->oldest + s->records->len, r, n);
}

static void
on_read(void *ctx, const char *stream, int64_t from)
{
    Node *me = ctx;
    Event *e = at(me->w, 2 * latency(me->w), fire_read, me->index);

    g_strlcpy(e->stream, stream, sizeof e->stream);
    e->offset = from;
}

static void
on_event(void *ctx, const SpEvent *e)
{
    (void)ctx;
    (void)e;
}

static const SpCoreOps ops = {on_run,    on_send, on_cancel,
                              on_answer, on_done, on_peer,
                              on_append, on_read, on_event};

/*
 * Nodes.
 */

static void
fire_tick(World *w, Event *e)
{
    SpCore_Tick(w->nodes[e->node].core, w->now);
    at(w, w->tick_us, fire_tick, e->node);
}

void
World_Start(World *w, int i)
{
    Node *n = &w->nodes[i];
    SpCoreOpts o = {.slots = 0, .ops = &ops, .ctx = n};

    g_assert(!n->core);
    n->life++;
    g_strlcpy(n->inst, "up", sizeof n->inst);
    g_strlcpy(o.name, n->name, sizeof o.name);
    g_strlcpy(o.zone, n->zone, sizeof o.zone);
    g_strlcpy(o.service, n->service, sizeof o.service);
    g_strlcpy(o.mesh, n->mesh, sizeof o.mesh);
    g_strlcpy(o.peer, n->peer, sizeof o.peer);
    g_strlcpy(o.contacts[0], w->nodes[0].peer, SP_ADDR_BYTES);
    if (w->n > 1) {
        g_strlcpy(o.contacts[1], w->nodes[1].peer, SP_ADDR_BYTES);
    }
    o.ncontacts = MIN(w->n, 2);
    o.inc = (uint64_t)(w->now / 1000 + 1) << 16 | (World_Rand(w) & 0xffff);
    o.seed = World_Rand(w);
    n->core = SpCore_New(&o, w->now);
    at(w, w->tick_us / 7 * (i + 1), fire_tick, i);
    at(w, LATENCY_US, fire_announce, i);
}

int
World_Node(World *w, const char *name, const char *service, const char *zone,
           int slots)
{
    Node *n = &w->nodes[w->n];
    int i = w->n++;

    g_assert(i < W_MAX_NODES);
    n->w = w;
    n->index = i;
    n->slots = slots;
    n->calls = g_ptr_array_new();
    g_queue_init(&n->held);
    g_strlcpy(n->name, name, sizeof n->name);
    g_strlcpy(n->service, service, sizeof n->service);
    g_strlcpy(n->zone, zone, sizeof n->zone);
    g_snprintf(n->mesh, sizeof n->mesh, "10.0.0.%d:1", i + 1);
    g_snprintf(n->peer, sizeof n->peer, "10.0.0.%d:2", i + 1);
    World_Start(w, i);
    return i;
}

/* What the process held is gone; senders see their connections break. */
void
World_Kill(World *w, int i)
{
    Node *n = &w->nodes[i];
    SpAnswer broken;
    Event *e;

    if (!n->core) {
        return;
    }
    n->life++;
    n->paused = 0;
    while ((e = g_queue_pop_head(&n->held)) != NULL) {
        free_event(e);
    }
    SpAnswer_Init(&broken, SP_BROKEN);
    SpCore_Free(n->core);
    n->core = NULL;
    while (n->calls->len) {
        Call *c = g_ptr_array_index(n->calls, n->calls->len - 1);
        WResult r = {c->id, SP_BROKEN, 0, SP_UNKNOWN, "", "", 0};
        WResultCb cb = c->cb;
        c->cb = NULL;
        reply_up(w, c, &broken, LATENCY_US);
        if (cb) {
            cb(c->ctx, w, &r);
        }
        on_done(n, c);
    }
}

void
World_Pause(World *w, int i, int on)
{
    Node *n = &w->nodes[i];
    GQueue held;
    Event *e;

    if (on || !n->paused) {
        n->paused = on && n->core != NULL;
        return;
    }
    n->paused = 0;
    held = n->held;
    g_queue_init(&n->held);
    while ((e = g_queue_pop_head(&held)) != NULL) {
        fire(w, e);
    }
}

void
World_Leave(World *w, int i)
{
    if (w->nodes[i].core && !w->nodes[i].paused) {
        SpCore_Leave(w->nodes[i].core, w->now);
    }
}

int
World_Find(const World *w, const char *name)
{
    int i;

    for (i = 0; i < w->n; i++) {
        if (strcmp(w->nodes[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

int
World_Count(const World *w)
{
    return w->n;
}

const char *
World_Name(const World *w, int i)
{
    return w->nodes[i].name;
}

SpCore *
World_Core(const World *w, int i)
{
    return w->nodes[i].core;
}

uint64_t
World_Life(const World *w, int i)
{
    return w->nodes[i].life;
}

int
World_IsPaused(const World *w, int i)
{
    return w->nodes[i].paused;
}

static void
fire_entry(World *w, Event *e)
{
    Call *c = e->call;
    SpCall sc = {.source = SP_FROM_CALLER,
                 .timeout_us = c->until,
                 .attempt = (int)e->number};

    sc.trace[0] = SpHash(c->id, strlen(c->id), 5);
    sc.trace[1] = 1;
    enter(w, c, &sc);
}

void
World_Call(World *w, int node, const WCallOpts *o)
{
    Call *c = new_call(w, node);
    WResult r = {o->id, SP_UNREACHABLE, 0, SP_NOT_RUN, "", "", 0};
    Event *e;

    if (!w->nodes[node].core) {
        o->cb(o->ctx, w, &r);
        drop_call_ref(c);
        return;
    }
    c->id = SpArena_Str(c->arena, o->id);
    c->method = SpArena_Str(c->arena, o->method);
    c->path = SpArena_Str(c->arena, o->path);
    c->key = SpArena_Str(c->arena, o->key);
    c->body = SpArena_Str(c->arena, o->body ? o->body : o->id);
    c->body_len = strlen(c->body);
    c->cb = o->cb;
    c->ctx = o->ctx;
    c->until = o->timeout_ms * SP_MS;
    e = at(w, latency(w), fire_entry, node);
    e->call = c;
    e->number = (uint32_t)o->attempt;
}

void
World_Drop(World *w, int a, int b, const char *what)
{
    if (strcmp(what, "call") == 0) {
        w->nodes[a].drop_call[b] = 1;
    }
    else if (strcmp(what, "reply") == 0) {
        w->nodes[a].drop_reply[b] = 1;
    }
    else {
        w->nodes[a].dup_call[b] = 1;
    }
}

char *
World_Publish(World *w, int node, int replaces, const char *reason,
              const char *text)
{
    return SpCore_Publish(w->nodes[node].core, w->now, replaces, "op", reason,
                          text);
}

int
World_Runs(const World *w, const char *id, const char *path)
{
    char *k = g_strdup_printf("%s %s", id, path);
    int n = GPOINTER_TO_INT(g_hash_table_lookup(w->runs, k));

    g_free(k);
    return n;
}

int
World_Doubles(const World *w)
{
    return w->doubles;
}

int
World_Foreign(const World *w)
{
    return w->foreign;
}

static void
free_stream(gpointer p)
{
    Stream *s = p;

    trim(s, 0);
    g_array_free(s->records, TRUE);
    g_free(s);
}

World *
World_New(uint64_t seed, int64_t tick_us)
{
    World *w = g_new0(World, 1);

    w->rand = seed;
    w->tick_us = tick_us;
    w->heap = g_array_new(FALSE, TRUE, sizeof(Event *));
    w->streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
    w->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return w;
}

void
World_Free(World *w)
{
    int i;

    for (i = 0; i < w->n; i++) {
        World_Kill(w, i);
        g_ptr_array_free(w->nodes[i].calls, TRUE);
    }
    while (w->heap->len) {
        free_event(take(w));
    }
    g_array_free(w->heap, TRUE);
    g_hash_table_destroy(w->streams);
    g_hash_table_destroy(w->runs);
    g_free(w);
}
