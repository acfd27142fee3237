/* Instances of the simulation, which count their runs. */
#include <string.h>

#include "test/world_priv.h"

#define LATENCY_US (500)
#define INSTANCE_REPORT_US (1 * SP_SEC)

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

void
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

void
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

void
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

void
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
