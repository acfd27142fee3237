/* Calls of the simulation: from a caller or node to a node, and answers. */
#include <string.h>

#include "test/world_priv.h"

#define LATENCY_US (500)
/* The second copy of a duplicated call arrives at most this much later. */
#define MAX_DUPLICATE_DELAY_US (300 * SP_MS)

/*
 * Calls.
 */

Call *
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

const SpAnswer *
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

void
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

void
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

void
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

void
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

void
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

void
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
