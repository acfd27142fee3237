#include <string.h>

#include "test/world.h"

#define LATENCY_US (500)
/* The second copy of a duplicated call arrives at most this much later. */
#define MAX_DUPLICATE_DELAY_US (300 * SP_MS)
#define INSTANCE_REPORT_US (1 * SP_SEC)
#define MAX_PLANS 32

typedef struct Node Node;
typedef struct Call Call;
typedef struct Event Event;

struct Event {
    int64_t at;
    uint64_t order;
    void (*fire)(World *w, Event *e);
    int node; /* where it is handled; -1: at no node */
    /* The event is dropped if the node's generation has changed since. */
    uint64_t generation;
    int from;
    Call *call; /* holds a reference */
    uint32_t number;
    SpHandle h;
    char *p; /* a gossip message of n bytes */
    size_t n;
    SpAnswer *a;
    SpArena *arena; /* holds the answer */
    char stream[16];
    int64_t offset; /* in the log; of a call: its class */
    uint64_t tag;   /* of an append; of a call: its retry budget */
    int ok;         /* result of an append; of a call: its slice */
};

/* A call that is submitted to the core of one node. It is reference-counted,
   since scheduled events point to it. */
struct Call {
    int refs;
    int node; /* the node whose core handles it */
    uint64_t generation;
    SpHandle h; /* the core's handle; 0 once the call has ended */
    SpArena *arena;
    const char *id, *method, *path, *key, *body, *from;
    size_t body_len;
    /* set if another node sent the call */
    int sender_node;
    uint64_t sender_generation;
    SpHandle sender_handle;
    uint32_t sender_number;
    Call *sender; /* the sending node's call; NULL if it expects no answer */
    /* set if a simulated caller sent the call */
    WResultCb cb;
    void *ctx;
    /* set if an instance made the call: the call that it is running */
    Call *parent;
    /* work in progress for this call */
    Call *forwarded; /* its copy at the node that it was sent to */
    uint32_t run;    /* number of the run at the own instance; 0: none */
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
    uint64_t generation; /* counts starts and kills of its process */
    int slots, paused, log_blocked;
    char instance_state[16];
    GQueue held_events; /* of Event; due while the node is paused */
    GPtrArray *calls;   /* of Call; ended when the process is killed */
    int drop_next_call[W_MAX_NODES], drop_next_reply[W_MAX_NODES],
        duplicate_next_call[W_MAX_NODES];
};

typedef struct Record {
    char *p;
    size_t n;
} Record;

typedef struct Stream {
    GArray *records; /* of Record; index 0 is offset `oldest` */
    int64_t oldest;
} Stream;

/* What instances do when they run a call of this path. */
typedef struct Plan {
    char path[SP_PATH_BYTES];
    int64_t work_time_us;
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
    char partitions[16][2][SP_NAME_BYTES];
    int npartitions;
    GHashTable *streams;
    int log_down, log_drops_replies;
    Plan plans[MAX_PLANS];
    int nplans;
    GHashTable *runs; /* "id path" -> number of runs */
    int duplicate_runs, mismatched_answers;
};

/*
 * Events and the virtual clock.
 */

static int
is_before(const Event *a, const Event *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static Event **
heap_slot(World *w, guint i)
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
schedule(World *w, int64_t delay, void (*fire)(World *, Event *), int node)
{
    Event *e = g_new0(Event, 1);
    guint i = w->heap->len;

    e->at = w->now + delay;
    e->order = ++w->order;
    e->fire = fire;
    e->node = node;
    e->generation = node >= 0 ? w->nodes[node].generation : 0;
    g_array_append_val(w->heap, e);
    while (i > 0 && is_before(*heap_slot(w, i), *heap_slot(w, (i - 1) / 2))) {
        swap(heap_slot(w, i), heap_slot(w, (i - 1) / 2));
        i = (i - 1) / 2;
    }
    return e;
}

static Event *
pop_event(World *w)
{
    Event *top = *heap_slot(w, 0);
    guint i = 0, k, n = w->heap->len - 1;

    *heap_slot(w, 0) = *heap_slot(w, n);
    g_array_set_size(w->heap, n);
    while ((k = 2 * i + 1) < n) {
        if (k + 1 < n && is_before(*heap_slot(w, k + 1), *heap_slot(w, k))) {
            k++;
        }
        if (!is_before(*heap_slot(w, k), *heap_slot(w, i))) {
            break;
        }
        swap(heap_slot(w, i), heap_slot(w, k));
        i = k;
    }
    return top;
}

static void
unref_call(Call *c)
{
    if (!c || --c->refs > 0) {
        return;
    }
    unref_call(c->sender);
    unref_call(c->parent);
    unref_call(c->forwarded);
    SpArena_Free(c->arena);
    g_free(c);
}

static Call *
ref_call(Call *c)
{
    c->refs++;
    return c;
}

static void
free_event(Event *e)
{
    unref_call(e->call);
    g_free(e->p);
    SpArena_Free(e->arena);
    g_free(e);
}

static void
dispatch(World *w, Event *e)
{
    if (e->node >= 0) {
        Node *n = &w->nodes[e->node];
        if (n->paused && n->generation == e->generation) {
            g_queue_push_tail(&n->held_events, e);
            return;
        }
        if (n->generation != e->generation) {
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

    while (w->heap->len && (*heap_slot(w, 0))->at <= end) {
        Event *e = pop_event(w);
        w->now = MAX(w->now, e->at);
        dispatch(w, e);
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
World_RandUnit(World *w)
{
    return SpRand_Unit(&w->rand);
}

static int
chance(World *w, double p)
{
    return p > 0 && World_RandUnit(w) < p;
}

static int64_t
latency(World *w)
{
    if (chance(w, w->f.delay_chance)) {
        return LATENCY_US +
               (int64_t)(World_RandUnit(w) * (double)w->f.max_delay_us);
    }
    return LATENCY_US;
}

void
World_SetFaults(World *w, const WFaults *f)
{
    w->f = *f;
}

static int
is_partitioned(const World *w, int a, int b)
{
    const char *za = w->nodes[a].zone, *zb = w->nodes[b].zone;
    int i;

    for (i = 0; i < w->npartitions; i++) {
        if ((strcmp(w->partitions[i][0], za) == 0 &&
             strcmp(w->partitions[i][1], zb) == 0) ||
            (strcmp(w->partitions[i][0], zb) == 0 &&
             strcmp(w->partitions[i][1], za) == 0)) {
            return 1;
        }
    }
    return 0;
}

void
World_SetPartition(World *w, const char *a, const char *b, int on)
{
    int i;

    if (on && w->npartitions < 16) {
        g_strlcpy(w->partitions[w->npartitions][0], a, SP_NAME_BYTES);
        g_strlcpy(w->partitions[w->npartitions++][1], b, SP_NAME_BYTES);
        return;
    }
    for (i = 0; !on && i < w->npartitions; i++) {
        if (strcmp(w->partitions[i][0], a) == 0 &&
            strcmp(w->partitions[i][1], b) == 0) {
            w->npartitions--;
            memcpy(w->partitions[i], w->partitions[w->npartitions],
                   sizeof w->partitions[i]);
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
    c->generation = w->nodes[node].generation;
    c->sender_node = -1;
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
submit_call(World *w, Call *c, SpCall *sc)
{
    Node *n = &w->nodes[c->node];
    SpHandle h;

    sc->method = c->method;
    sc->path = c->path;
    sc->key = c->key;
    sc->body = c->body;
    sc->body_len = c->body_len;
    sc->user = ref_call(c); /* released by on_done */
    g_ptr_array_add(n->calls, c);
    h = SpCore_Call(n->core, w->now, sc);
    if (h) {
        c->h = h;
    }
}

static void
fire_reply(World *w, Event *e)
{
    Call *sender = e->call;

    if (sender->h && sender->run == 0) {
        SpCore_SendDone(w->nodes[e->node].core, w->now, e->h, e->number, e->a);
    }
}

static void
reply_to_sender(World *w, Call *c, const SpAnswer *a, int64_t delay)
{
    Event *e;

    if (!c->sender ||
        w->nodes[c->sender_node].generation != c->sender_generation) {
        return;
    }
    e = schedule(w, delay, fire_reply, c->sender_node);
    e->call = ref_call(c->sender);
    e->h = c->sender_handle;
    e->number = c->sender_number;
    copy_answer(e, a);
}

static void start_next_child(World *w, Call *parent);
static void finish_run(World *w, Call *c, int status, const char *why);

/* Whether the answer is what an instance sends for this call. */
static int
echoes_call(const Call *c, const SpAnswer *a)
{
    char want[256];
    int n = g_snprintf(want, sizeof want, "%s %s", c->id, c->path);

    return a->body_len == (size_t)n && memcmp(a->body, want, (size_t)n) == 0;
}

static void
fire_child_answer(World *w, Event *e)
{
    Call *parent = e->call;

    if (!parent->run || !parent->h) {
        return;
    }
    if (e->a->kind == SP_OK && e->a->status == 200) {
        start_next_child(w, parent);
    }
    else {
        finish_run(w, parent, 502, "part failed");
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
        strncmp(c->path, "/.sp/", 5) != 0 && !echoes_call(c, a)) {
        w->mismatched_answers++;
    }
    if (c->cb) {
        r = (WResult){c->id,  a->kind, a->status,  a->outcome,
                      a->key, a->body, a->body_len};
        c->cb(c->ctx, w, &r);
    }
    else if (c->parent) {
        e = schedule(w, LATENCY_US / 10, fire_child_answer, c->node);
        e->call = ref_call(c->parent);
        copy_answer(e, a);
    }
    else if (c->sender) {
        Node *n = &w->nodes[c->node];
        if (is_partitioned(w, c->node, c->sender_node)) {
            return; /* no reply arrives; the sender's call times out */
        }
        if (n->drop_next_reply[c->sender_node] || chance(w, w->f.reply_loss)) {
            SpAnswer lost;
            n->drop_next_reply[c->sender_node] = 0;
            SpAnswer_Init(&lost, SP_BROKEN);
            reply_to_sender(w, c, &lost, latency(w));
            return;
        }
        reply_to_sender(w, c, a, latency(w));
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
    if (c->sender) {
        unref_call(c->sender);
        c->sender = NULL;
    }
    if (c->parent) {
        unref_call(c->parent);
        c->parent = NULL;
    }
    if (c->forwarded) {
        unref_call(c->forwarded);
        c->forwarded = NULL;
    }
    unref_call(c);
}

static void
fire_sender_left(World *w, Event *e)
{
    if (e->call->h) {
        SpCore_CallerLeft(w->nodes[e->node].core, w->now, e->call->h);
    }
}

static void
on_cancel(void *ctx, void *user)
{
    World *w = ((Node *)ctx)->w;
    Call *c = user;
    Event *e;

    c->run = 0;
    if (c->forwarded) {
        if (!is_partitioned(w, c->node, c->forwarded->node)) {
            e = schedule(w, latency(w), fire_sender_left, c->forwarded->node);
            e->generation = c->forwarded->generation;
            e->call = ref_call(c->forwarded);
        }
        unref_call(c->forwarded);
        c->forwarded = NULL;
    }
}

static int
node_by_mesh_addr(const World *w, const char *addr)
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
    submit_call(w, c, &sc);
}

static Call *
new_forwarded_call(World *w, Call *sender, const SpSend *s, int to)
{
    Call *c = new_call(w, to);

    c->id = SpArena_Str(c->arena, sender->id);
    c->method = SpArena_Str(c->arena, s->method);
    c->path = SpArena_Str(c->arena, s->path);
    c->key = SpArena_Str(c->arena, s->key);
    c->body = SpArena_Dup(c->arena, s->body, s->body_len);
    c->body_len = s->body_len;
    c->from = SpArena_Str(c->arena, w->nodes[sender->node].name);
    c->trace[0] = s->trace[0];
    c->trace[1] = s->trace[1];
    c->until = s->timeout_us;
    return c;
}

static void
schedule_call(World *w, Call *c, const SpSend *s, int64_t delay)
{
    Event *e = schedule(w, delay, fire_call, c->node);

    e->call = ref_call(c);
    e->offset = s->class;
    e->ok = s->slice;
    e->tag = (uint64_t)s->budget;
}

static void
schedule_failure(World *w, Call *sender, const SpSend *s, SpKind k)
{
    Event *e = schedule(w, latency(w), fire_reply, sender->node);
    SpAnswer a;

    SpAnswer_Init(&a, k);
    e->call = ref_call(sender);
    e->h = s->request;
    e->number = s->number;
    copy_answer(e, &a);
}

static void
on_send(void *ctx, const SpSend *s)
{
    World *w = ((Node *)ctx)->w;
    Call *sender = s->user, *c;
    Node *n = &w->nodes[sender->node];
    int to = node_by_mesh_addr(w, s->mesh);

    sender->h = s->request;
    sender->run = 0;
    if (sender->forwarded) {
        unref_call(sender->forwarded);
        sender->forwarded = NULL;
    }
    if (to < 0 || !w->nodes[to].core) {
        schedule_failure(w, sender, s, SP_UNREACHABLE);
        return;
    }
    if (is_partitioned(w, sender->node, to)) {
        return; /* no reply arrives; the call times out */
    }
    if (n->drop_next_call[to] || chance(w, w->f.call_loss)) {
        n->drop_next_call[to] = 0;
        schedule_failure(w, sender, s, SP_BROKEN);
        return;
    }
    c = new_forwarded_call(w, sender, s, to);
    c->sender = ref_call(sender);
    c->sender_node = sender->node;
    c->sender_generation = n->generation;
    c->sender_handle = s->request;
    c->sender_number = s->number;
    sender->forwarded = ref_call(c);
    schedule_call(w, c, s, latency(w));
    unref_call(c);
    if (n->duplicate_next_call[to] || chance(w, w->f.call_duplication)) {
        n->duplicate_next_call[to] = 0;
        c = new_forwarded_call(w, sender, s, to);
        schedule_call(
            w, c, s,
            latency(w) + LATENCY_US +
                (int64_t)(World_RandUnit(w) * (double)MAX_DUPLICATE_DELAY_US));
        unref_call(c);
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
    w->plans[w->nplans].work_time_us = 10 * SP_MS;
    return &w->plans[w->nplans++];
}

void
World_SetWorkTime(World *w, const char *path, int ms)
{
    plan_of(w, path)->work_time_us = ms * SP_MS;
}

void
World_SetFailing(World *w, const char *path, int on)
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
        w->duplicate_runs++;
    }
    g_hash_table_insert(w->runs, k, GINT_TO_POINTER(n));
}

static void
fire_run_done(World *w, Event *e)
{
    Call *c = e->call;

    if (c->h && c->run == e->number) {
        SpCore_RunDone(w->nodes[e->node].core, w->now, c->h, e->number, e->a);
    }
}

static void
finish_run(World *w, Call *c, int status, const char *why)
{
    char body[256];
    Event *e = schedule(w, LATENCY_US / 10, fire_run_done, c->node);
    SpAnswer a;

    SpAnswer_Init(&a, SP_OK);
    a.status = status;
    g_snprintf(body, sizeof body, "%s %s", c->id, c->path);
    a.body = why ? why : body;
    a.body_len = strlen(a.body);
    e->call = ref_call(c);
    e->number = c->run;
    copy_answer(e, &a);
}

static void
start_next_child(World *w, Call *parent)
{
    const Plan *p = plan_of(w, parent->path);
    SpCall sc = {.source = SP_FROM_INSTANCE};
    Call *c;
    int i = parent->next_child;

    if (i >= p->nchildren) {
        finish_run(w, parent, 200, NULL);
        return;
    }
    parent->next_child++;
    c = new_call(w, parent->node);
    c->id = SpArena_Str(c->arena, parent->id);
    c->method = p->method[i];
    c->path = p->child[i];
    c->body = c->id;
    c->body_len = strlen(c->id);
    c->parent = ref_call(parent);
    sc.parent = parent->span;
    sc.trace[0] = parent->trace[0];
    sc.trace[1] = parent->trace[1];
    c->trace[0] = sc.trace[0];
    c->trace[1] = sc.trace[1];
    submit_call(w, c, &sc);
    unref_call(c);
}

static void
fire_work_done(World *w, Event *e)
{
    Call *c = e->call;

    if (!c->h || c->run != e->number) {
        return;
    }
    if (plan_of(w, c->path)->fails) {
        finish_run(w, c, 500, "failed");
        return;
    }
    start_next_child(w, c);
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
    if (strcmp(w->nodes[c->node].instance_state, "silent") == 0) {
        e = schedule(w, LATENCY_US, fire_run_done, c->node);
        SpAnswer_Init(&a, SP_UNREACHABLE);
        e->call = ref_call(c);
        e->number = s->number;
        copy_answer(e, &a);
        return;
    }
    count_run(w, c);
    e = schedule(w, plan_of(w, c->path)->work_time_us, fire_work_done,
                 c->node);
    e->call = ref_call(c);
    e->number = s->number;
}

static void
fire_instance_report(World *w, Event *e)
{
    Node *n = &w->nodes[e->node];

    if (strcmp(n->instance_state, "silent") != 0) {
        SpCore_InstanceAnnounced(n->core, w->now,
                                 strcmp(n->instance_state, "leaving") == 0
                                     ? SP_INST_LEAVING
                                     : SP_INST_UP,
                                 n->slots);
    }
    schedule(w, INSTANCE_REPORT_US, fire_instance_report, e->node);
}

void
World_SetInstanceState(World *w, int i, const char *state)
{
    g_strlcpy(w->nodes[i].instance_state, state,
              sizeof w->nodes[i].instance_state);
}

/*
 * Gossip between nodes.
 */

static void
fire_gossip(World *w, Event *e)
{
    SpCore_PeerMessage(w->nodes[e->node].core, w->now, e->p, e->n);
}

static void
schedule_gossip(World *w, int from, int to, const void *p, size_t n)
{
    Event *e;

    if (!w->nodes[to].core || is_partitioned(w, from, to) ||
        chance(w, w->f.gossip_loss)) {
        return;
    }
    e = schedule(w, latency(w), fire_gossip, to);
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
            schedule_gossip(w, me->index, i, p, n);
            if (chance(w, w->f.gossip_duplication)) {
                schedule_gossip(w, me->index, i, p, n);
            }
        }
    }
}

/*
 * Log.
 */

static Stream *
get_stream(World *w, const char *name)
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
World_SetLogState(World *w, const char *state)
{
    w->log_down = strcmp(state, "down") == 0;
    w->log_drops_replies = strcmp(state, "lose") == 0;
}

void
World_SetLogBlocked(World *w, int i, int on)
{
    w->nodes[i].log_blocked = on;
}

static int
is_log_down(const World *w, int i)
{
    return w->log_down || w->nodes[i].log_blocked;
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
World_TrimLog(World *w, int keep)
{
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, w->streams);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        trim(v, (guint)keep);
    }
}

static void
fire_append_done(World *w, Event *e)
{
    SpCore_AppendDone(w->nodes[e->node].core, w->now, e->tag, e->ok);
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
        g_array_append_val(get_stream(w, stream)->records, r);
    }
    e = schedule(w, 2 * latency(w), fire_append_done, me->index);
    e->tag = tag;
    e->ok = !is_log_down(w, me->index) && !w->log_drops_replies;
}

static void
fire_read(World *w, Event *e)
{
    SpCore *c = w->nodes[e->node].core;
    Stream *s = get_stream(w, e->stream);
    SpRecord r[64];
    size_t n = 0;
    guint i;

    if (is_log_down(w, e->node)) {
        SpCore_ReadDone(c, w->now, e->stream, 0, 0, 0, NULL, 0);
        return;
    }
    for (i = 0; i < s->records->len && n < 64; i++) {
        const Record *rec = &g_array_index(s->records, Record, i);
        if (s->oldest + i >= e->offset) {
            r[n++] = (SpRecord){s->oldest + i, rec->p, rec->n};
        }
    }
    SpCore_ReadDone(c, w->now, e->stream, 1, s->oldest,
                    s->oldest + s->records->len, r, n);
}

static void
on_read(void *ctx, const char *stream, int64_t from)
{
    Node *me = ctx;
    Event *e = schedule(me->w, 2 * latency(me->w), fire_read, me->index);

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
    schedule(w, w->tick_us, fire_tick, e->node);
}

void
World_Start(World *w, int i)
{
    Node *n = &w->nodes[i];
    SpCoreOpts o = {.slots = 0, .ops = &ops, .ctx = n};

    g_assert(!n->core);
    n->generation++;
    g_strlcpy(n->instance_state, "up", sizeof n->instance_state);
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
    schedule(w, w->tick_us / 7 * (i + 1), fire_tick, i);
    schedule(w, LATENCY_US, fire_instance_report, i);
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
    g_queue_init(&n->held_events);
    g_strlcpy(n->name, name, sizeof n->name);
    g_strlcpy(n->service, service, sizeof n->service);
    g_strlcpy(n->zone, zone, sizeof n->zone);
    g_snprintf(n->mesh, sizeof n->mesh, "10.0.0.%d:1", i + 1);
    g_snprintf(n->peer, sizeof n->peer, "10.0.0.%d:2", i + 1);
    World_Start(w, i);
    return i;
}

/* The state of the process is lost; calls in progress end as broken
   connections at their senders. */
void
World_Kill(World *w, int i)
{
    Node *n = &w->nodes[i];
    SpAnswer broken;
    Event *e;

    if (!n->core) {
        return;
    }
    n->generation++;
    n->paused = 0;
    while ((e = g_queue_pop_head(&n->held_events)) != NULL) {
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
        reply_to_sender(w, c, &broken, LATENCY_US);
        if (cb) {
            cb(c->ctx, w, &r);
        }
        on_done(n, c);
    }
}

void
World_SetPaused(World *w, int i, int on)
{
    Node *n = &w->nodes[i];
    GQueue held_events;
    Event *e;

    if (on || !n->paused) {
        n->paused = on && n->core != NULL;
        return;
    }
    n->paused = 0;
    held_events = n->held_events;
    g_queue_init(&n->held_events);
    while ((e = g_queue_pop_head(&held_events)) != NULL) {
        dispatch(w, e);
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
World_NodeCount(const World *w)
{
    return w->n;
}

const char *
World_NodeName(const World *w, int i)
{
    return w->nodes[i].name;
}

SpCore *
World_Core(const World *w, int i)
{
    return w->nodes[i].core;
}

uint64_t
World_NodeGeneration(const World *w, int i)
{
    return w->nodes[i].generation;
}

int
World_IsPaused(const World *w, int i)
{
    return w->nodes[i].paused;
}

static void
fire_client_call(World *w, Event *e)
{
    Call *c = e->call;
    SpCall sc = {.source = SP_FROM_CALLER,
                 .timeout_us = c->until,
                 .attempt = (int)e->number};

    sc.trace[0] = SpHash(c->id, strlen(c->id), 5);
    sc.trace[1] = 1;
    submit_call(w, c, &sc);
}

void
World_Call(World *w, int node, const WCallOpts *o)
{
    Call *c = new_call(w, node);
    WResult r = {o->id, SP_UNREACHABLE, 0, SP_NOT_RUN, "", "", 0};
    Event *e;

    if (!w->nodes[node].core) {
        o->cb(o->ctx, w, &r);
        unref_call(c);
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
    e = schedule(w, latency(w), fire_client_call, node);
    e->call = c;
    e->number = (uint32_t)o->attempt;
}

void
World_FaultNextMessage(World *w, int a, int b, const char *what)
{
    if (strcmp(what, "call") == 0) {
        w->nodes[a].drop_next_call[b] = 1;
    }
    else if (strcmp(what, "reply") == 0) {
        w->nodes[a].drop_next_reply[b] = 1;
    }
    else {
        w->nodes[a].duplicate_next_call[b] = 1;
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
World_RunCount(const World *w, const char *id, const char *path)
{
    char *k = g_strdup_printf("%s %s", id, path);
    int n = GPOINTER_TO_INT(g_hash_table_lookup(w->runs, k));

    g_free(k);
    return n;
}

int
World_DuplicateRuns(const World *w)
{
    return w->duplicate_runs;
}

int
World_MismatchedAnswers(const World *w)
{
    return w->mismatched_answers;
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
        free_event(pop_event(w));
    }
    g_array_free(w->heap, TRUE);
    g_hash_table_destroy(w->streams);
    g_hash_table_destroy(w->runs);
    g_free(w);
}
