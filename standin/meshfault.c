/*
 * Faults of spmesh. Injectors work side by side; each draws a fault, ends it
 * after a while, pauses, and draws the next one.
 */
#include <signal.h>
#include <string.h>

#include "standin/mesh.h"

#define MAX_INJECTORS 16
#define GRACE_US (6 * SP_SEC)

typedef struct Fault Fault;

typedef struct Injector {
    const Fault *fault; /* in force; NULL: none */
    Node *node;
    MeshService *service;
    int64_t until;
    int64_t begun;
} Injector;

struct Fault {
    const char *name;
    int min_ms, spread_ms;              /* how long it is in force */
    int (*begin)(Mesh *m, Injector *j); /* 0: it cannot be had now */
    void (*end)(Mesh *m, Injector *j);
};

static Injector injectors[MAX_INJECTORS];

/* A node without a fault of its process. */
static int
take_node(Mesh *m, Injector *j)
{
    j->node =
        g_ptr_array_index(m->nodes, (guint)mesh_draw(m, (int)m->nodes->len));
    if (j->node->busy || !j->node->running) {
        return 0;
    }
    j->node->busy = 1;
    return 1;
}

static int
begin_kill(Mesh *m, Injector *j)
{
    if (!take_node(m, j)) {
        return 0;
    }
    signal_relay(j->node, SIGKILL);
    return 1;
}

static void
end_kill(Mesh *m, Injector *j)
{
    (void)m;
    start_relay(j->node);
    j->node->busy = 0;
}

static int
begin_freeze(Mesh *m, Injector *j)
{
    if (!take_node(m, j)) {
        return 0;
    }
    signal_relay(j->node, SIGSTOP);
    return 1;
}

static void
end_freeze(Mesh *m, Injector *j)
{
    (void)m;
    signal_relay(j->node, SIGCONT);
    j->node->busy = 0;
}

static int
begin_stop(Mesh *m, Injector *j)
{
    if (!take_node(m, j)) {
        return 0;
    }
    signal_relay(j->node, SIGTERM);
    return 1;
}

static void
end_stop(Mesh *m, Injector *j)
{
    if (j->node->running) { /* the grace time is over */
        signal_relay(j->node, SIGKILL);
        j->until = SpHttp_Now() + 200 * SP_MS;
        return;
    }
    end_kill(m, j);
}

static int
begin_herd(Mesh *m, Injector *j)
{
    guint i;

    (void)j;
    for (i = 0; i < m->nodes->len; i++) {
        Node *n = g_ptr_array_index(m->nodes, i);
        if (!n->busy && n->running && mesh_chance(m, 0.5)) {
            n->busy = 2;
            signal_relay(n, SIGKILL);
        }
    }
    return 1;
}

static void
end_herd(Mesh *m, Injector *j)
{
    guint i;

    (void)j;
    for (i = 0; i < m->nodes->len; i++) {
        Node *n = g_ptr_array_index(m->nodes, i);
        if (n->busy == 2) {
            start_relay(n);
            n->busy = 0;
        }
    }
}

static int
begin_instance_crash(Mesh *m, Injector *j)
{
    if (!take_node(m, j)) {
        return 0;
    }
    freeze_instance(j->node->inst, 1);
    return 1;
}

static void
end_instance_crash(Mesh *m, Injector *j)
{
    (void)m;
    restart_instance(j->node->inst);
    j->node->busy = 0;
}

static void
end_instance_freeze(Mesh *m, Injector *j)
{
    (void)m;
    freeze_instance(j->node->inst, 0);
    j->node->busy = 0;
}

static int
begin_leave(Mesh *m, Injector *j)
{
    if (!take_node(m, j)) {
        return 0;
    }
    leave_instance(j->node->inst);
    return 1;
}

static MeshService *
draw_service(Mesh *m, Injector *j)
{
    j->service = &m->services[mesh_draw(m, m->nservices)];
    return j->service;
}

#define SERVICE_FAULT(field, value)                                           \
    static int begin_##field(Mesh *m, Injector *j)                            \
    {                                                                         \
        draw_service(m, j)->field = (value);                                  \
        return 1;                                                             \
    }                                                                         \
    static void end_##field(Mesh *m, Injector *j)                             \
    {                                                                         \
        (void)m;                                                              \
        j->service->field = 0;                                                \
    }

SERVICE_FAULT(rejects, 0.55)
SERVICE_FAULT(repeats, 0.05)
SERVICE_FAULT(repeats_at_once, 0.05)
SERVICE_FAULT(loses, 0.05)
SERVICE_FAULT(spoils, 0.05)
SERVICE_FAULT(denies, 0.05)

/* Rejections, some of which come a second time. */
static int
begin_late_rejections(Mesh *m, Injector *j)
{
    begin_rejects(m, j);
    j->service->repeats = 0.05;
    return 1;
}

static void
end_late_rejections(Mesh *m, Injector *j)
{
    end_rejects(m, j);
    j->service->repeats = 0;
}

static int
begin_unnamed_rejections(Mesh *m, Injector *j)
{
    begin_late_rejections(m, j);
    j->service->unnamed = 1;
    return 1;
}

static void
end_unnamed_rejections(Mesh *m, Injector *j)
{
    end_late_rejections(m, j);
    j->service->unnamed = 0;
}

#define MESH_FAULT(field, value, normal)                                      \
    static int begin_##field(Mesh *m, Injector *j)                            \
    {                                                                         \
        (void)j;                                                              \
        m->field = (value);                                                   \
        return 1;                                                             \
    }                                                                         \
    static void end_##field(Mesh *m, Injector *j)                             \
    {                                                                         \
        (void)j;                                                              \
        m->field = (normal);                                                  \
    }

MESH_FAULT(give_up, 0.2, 0)
MESH_FAULT(abuse, 0.4, 0)
MESH_FAULT(burst, 1.8, 1)

static int
begin_hup(Mesh *m, Injector *j)
{
    if (!take_node(m, j)) {
        return 0;
    }
    signal_relay(j->node, SIGHUP);
    j->node->busy = 0;
    return 1;
}

static int
begin_config(Mesh *m, Injector *j)
{
    (void)j;
    publish_config(m);
    return 1;
}

static int
begin_store(Mesh *m, Injector *j)
{
    static const char *const modes[] = {"down", "silent", "lost", "slow",
                                        "mute"};

    (void)j;
    set_store_mode(m, modes[mesh_draw(m, G_N_ELEMENTS(modes))]);
    return 1;
}

static void
end_store(Mesh *m, Injector *j)
{
    (void)j;
    set_store_mode(m, "ok");
}

static void
end_nothing(Mesh *m, Injector *j)
{
    (void)m;
    (void)j;
}

static const Fault faults[] = {
    {"kill", 300, 3000, begin_kill, end_kill},
    {"freeze", 500, 4500, begin_freeze, end_freeze},
    {"stop", 5900, 1, begin_stop, end_stop},
    {"herd", 500, 1500, begin_herd, end_herd},
    {"instance-crash", 500, 3000, begin_instance_crash, end_instance_crash},
    {"instance-freeze", 500, 3000, begin_instance_crash, end_instance_freeze},
    {"leave", 2500, 1000, begin_leave, end_instance_crash},
    {"reject", 3000, 5000, begin_rejects, end_rejects},
    {"repeat", 3000, 5000, begin_repeats, end_repeats},
    {"repeat-at-once", 3000, 5000, begin_repeats_at_once, end_repeats_at_once},
    {"late-rejections", 3000, 5000, begin_late_rejections,
     end_late_rejections},
    {"unnamed-rejections", 3000, 5000, begin_unnamed_rejections,
     end_unnamed_rejections},
    {"lose", 2000, 4000, begin_loses, end_loses},
    {"spoil", 2000, 4000, begin_spoils, end_spoils},
    {"deny", 2000, 4000, begin_denies, end_denies},
    {"give-up", 2000, 4000, begin_give_up, end_give_up},
    {"abuse", 2000, 4000, begin_abuse, end_abuse},
    {"burst", 2000, 6000, begin_burst, end_burst},
    {"hup", 100, 500, begin_hup, end_nothing},
    {"config", 100, 1000, begin_config, end_nothing},
    {"store", 500, 4000, begin_store, end_store}};

static const Fault *
fault_named(const char *name)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(faults); i++) {
        if (strcmp(faults[i].name, name) == 0) {
            return &faults[i];
        }
    }
    return NULL;
}

int
check_fault_names(const char *names)
{
    char **list = g_strsplit(names, ",", -1);
    int i, ok = 1;

    for (i = 0; list[i]; i++) {
        if (list[i][0] && !fault_named(list[i])) {
            fprintf(stderr, "spmesh: no fault is named %s\n", list[i]);
            ok = 0;
        }
    }
    g_strfreev(list);
    return ok;
}

static const Fault *
draw_fault(Mesh *m)
{
    char **list = g_strsplit(m->o.faults, ",", -1);
    guint n = g_strv_length(list);
    const Fault *f = n ? fault_named(list[mesh_draw(m, (int)n)]) : NULL;

    g_strfreev(list);
    return f;
}

static void
begin_next(Mesh *m, Injector *j, int64_t now)
{
    const Fault *f = draw_fault(m);

    memset(j, 0, sizeof *j);
    j->until = now + (100 + mesh_draw(m, 1500)) * SP_MS;
    if (!f || !f->begin(m, j)) {
        return;
    }
    j->fault = f;
    j->until = now + (f->min_ms + mesh_draw(m, f->spread_ms)) * SP_MS;
    book_note(m, "begin %s %s", f->name,
              j->node      ? j->node->name
              : j->service ? j->service->name
                           : "");
}

static void
end_present(Mesh *m, Injector *j, int64_t now)
{
    int64_t until = j->until;

    j->fault->end(m, j);
    if (j->until != until) {
        return; /* it needs more time */
    }
    book_note(m, "end %s %s", j->fault->name,
              j->node      ? j->node->name
              : j->service ? j->service->name
                           : "");
    j->fault = NULL;
    j->until = now + (100 + mesh_draw(m, 1000)) * SP_MS;
}

void
tick_faults(Mesh *m, int64_t now)
{
    int i;

    for (i = 0; i < MIN(m->o.injectors, MAX_INJECTORS); i++) {
        Injector *j = &injectors[i];
        if (now < j->until) {
            continue;
        }
        if (j->fault) {
            end_present(m, j, now);
        }
        else if (!m->calm) {
            begin_next(m, j, now);
        }
    }
}
