/* Events, the virtual clock and the nodes of the simulation. */
#include <string.h>

#include "test/world_priv.h"

#define LATENCY_US (500)

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

Event *
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

void
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

Call *
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

int
chance(World *w, double p)
{
    return p > 0 && World_RandUnit(w) < p;
}

int64_t
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

int
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
