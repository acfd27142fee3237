/*
 * Faults of spmesh. Injectors work side by side; each draws a fault, ends it
 * after a while, pauses, and draws the next one.
 */
#include <signal.h>
#include <stddef.h>
#include <string.h>

#include "standin/mesh.h"

#define MAX_INJECTORS 16
/* For a process to end after SIGKILL. */
#define KILL_US (200 * SP_MS)

#define MAX_FIELDS 3

/* A field of a Mesh, a MeshService or a MeshNet, and its values during and
   after the fault. */
typedef struct Field {
    size_t offset;
    double during, after;
} Field;

typedef struct Fault Fault;

typedef struct Injector {
    const Fault *fault; /* in force; NULL: none */
    Node *node;
    MeshService *service;
    int64_t until;
} Injector;

typedef struct FaultOps {
    /* begin returns 0 if the fault is not possible now. */
    int (*begin)(Mesh *m, Injector *j, const Fault *f);
    void (*end)(Mesh *m, Injector *j);
} FaultOps;

struct Fault {
    const char *name;
    int min_ms, spread_ms; /* how long it is in force */
    const FaultOps *ops;
    int signum; /* for the relay */
    Field fields[MAX_FIELDS];
};

static Injector injectors[MAX_INJECTORS];

/*
 * Faults of one node.
 */

/* Draws a node without a fault. */
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
begin_signal(Mesh *m, Injector *j, const Fault *f)
{
    if (!take_node(m, j)) {
        return 0;
    }
    signal_relay(j->node, f->signum);
    return 1;
}

static void
end_kill(Mesh *m, Injector *j)
{
    (void)m;
    start_relay(j->node);
    j->node->busy = 0;
}

static void
end_freeze(Mesh *m, Injector *j)
{
    (void)m;
    signal_relay(j->node, SIGCONT);
    j->node->busy = 0;
}

static void
end_stop(Mesh *m, Injector *j)
{
    if (j->node->running) { /* the grace time is over */
        record_note(m, "still there at the end of the grace time: %s",
                    j->node->name);
        signal_relay(j->node, SIGKILL);
        j->until = SpHttp_Now() + KILL_US;
        return;
    }
    end_kill(m, j);
}

static void
end_node(Mesh *m, Injector *j)
{
    (void)m;
    j->node->busy = 0;
}

static int
begin_instance_freeze(Mesh *m, Injector *j, const Fault *f)
{
    (void)f;
    if (!take_node(m, j)) {
        return 0;
    }
    freeze_instance(j->node->inst, 1);
    return 1;
}

static void
end_instance_freeze(Mesh *m, Injector *j)
{
    freeze_instance(j->node->inst, 0);
    end_node(m, j);
}

static int
begin_leave(Mesh *m, Injector *j, const Fault *f)
{
    (void)f;
    if (!take_node(m, j)) {
        return 0;
    }
    leave_instance(j->node->inst);
    return 1;
}

static void
end_instance_crash(Mesh *m, Injector *j)
{
    restart_instance(j->node->inst);
    end_node(m, j);
}

/*
 * Faults of many nodes.
 */

static int
begin_mass_kill(Mesh *m, Injector *j, const Fault *f)
{
    guint i;

    (void)j;
    for (i = 0; i < m->nodes->len; i++) {
        Node *n = g_ptr_array_index(m->nodes, i);
        if (!n->busy && n->running && mesh_chance(m, 0.5)) {
            n->busy = n->in_mass_kill = 1;
            signal_relay(n, f->signum);
        }
    }
    return 1;
}

static void
end_mass_kill(Mesh *m, Injector *j)
{
    guint i;

    (void)j;
    for (i = 0; i < m->nodes->len; i++) {
        Node *n = g_ptr_array_index(m->nodes, i);
        if (n->in_mass_kill) {
            start_relay(n);
            n->busy = n->in_mass_kill = 0;
        }
    }
}

/*
 * Faults that are fields of a service or of the mesh.
 */

static void
set_fields(void *base, const Fault *f, int during)
{
    int i;

    for (i = 0; i < MAX_FIELDS && f->fields[i].during > 0; i++) {
        double *v = (double *)((char *)base + f->fields[i].offset);
        *v = during ? f->fields[i].during : f->fields[i].after;
    }
}

static int
begin_service(Mesh *m, Injector *j, const Fault *f)
{
    j->service = &m->services[mesh_draw(m, m->nservices)];
    set_fields(j->service, f, 1);
    if (j->service->rejects > 0) {
        j->service->rejects = m->o.rejects;
    }
    return 1;
}

static void
end_service(Mesh *m, Injector *j)
{
    (void)m;
    set_fields(j->service, j->fault, 0);
}

static int
begin_mesh(Mesh *m, Injector *j, const Fault *f)
{
    (void)j;
    set_fields(m, f, 1);
    return 1;
}

static void
end_mesh(Mesh *m, Injector *j)
{
    set_fields(m, j->fault, 0);
}

/* Faults of who sends how much, and where. */
static int
begin_load(Mesh *m, Injector *j, const Fault *f)
{
    draw_load(m);
    return begin_mesh(m, j, f);
}

static int
begin_keys(Mesh *m, Injector *j, const Fault *f)
{
    (void)j;
    (void)f;
    if (!change_keys(m)) {
        return 0;
    }
    publish_config(m);
    return 1;
}

static int
begin_config(Mesh *m, Injector *j, const Fault *f)
{
    (void)j;
    (void)f;
    publish_config(m);
    return 1;
}

static int
begin_store(Mesh *m, Injector *j, const Fault *f)
{
    static const char *const modes[] = {"down", "silent", "lost", "slow",
                                        "mute"};

    (void)j;
    (void)f;
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

/* clang-format off */
#define OF_SERVICE(field, share) {offsetof(MeshService, field), share, 0}
#define OF_NET(field, during) {offsetof(MeshNet, field), during, 0}
#define OF_MESH(field, during, after) {offsetof(Mesh, field), during, after}
/* clang-format on */

/*
 * Faults of the links to one node.
 */

static int
begin_links(Mesh *m, Injector *j, const Fault *f)
{
    if (!m->o.proxies || !take_node(m, j)) {
        return 0;
    }
    set_fields(&j->node->net, f, 1);
    return 1;
}

static int
begin_break(Mesh *m, Injector *j, const Fault *f)
{
    if (!begin_links(m, j, f)) {
        return 0;
    }
    break_links(j->node, 0.5, strcmp(f->name, "link-silent") == 0);
    return 1;
}

static void
end_links(Mesh *m, Injector *j)
{
    set_fields(&j->node->net, j->fault, 0);
    end_node(m, j);
}

static const FaultOps kill_ops = {begin_signal, end_kill};
static const FaultOps freeze_ops = {begin_signal, end_freeze};
static const FaultOps stop_ops = {begin_signal, end_stop};
static const FaultOps signal_ops = {begin_signal, end_node};
static const FaultOps mass_kill_ops = {begin_mass_kill, end_mass_kill};
static const FaultOps crash_ops = {begin_instance_freeze, end_instance_crash};
static const FaultOps inst_freeze_ops = {begin_instance_freeze,
                                         end_instance_freeze};
static const FaultOps leave_ops = {begin_leave, end_instance_crash};
static const FaultOps service_ops = {begin_service, end_service};
static const FaultOps mesh_ops = {begin_mesh, end_mesh};
static const FaultOps load_ops = {begin_load, end_mesh};
static const FaultOps keys_ops = {begin_keys, end_nothing};
static const FaultOps config_ops = {begin_config, end_nothing};
static const FaultOps store_ops = {begin_store, end_store};
static const FaultOps link_ops = {begin_links, end_links};
static const FaultOps break_ops = {begin_break, end_links};

static const Fault faults[] = {
    {"kill", 300, 3000, &kill_ops, SIGKILL, {{0}}},
    {"freeze", 500, 4500, &freeze_ops, SIGSTOP, {{0}}},
    {"stop", 5900, 1, &stop_ops, SIGTERM, {{0}}},
    {"hup", 100, 500, &signal_ops, SIGHUP, {{0}}},
    {"kill-many", 500, 1500, &mass_kill_ops, SIGKILL, {{0}}},
    {"instance-crash", 500, 3000, &crash_ops, 0, {{0}}},
    {"instance-freeze", 500, 3000, &inst_freeze_ops, 0, {{0}}},
    {"leave", 2500, 1000, &leave_ops, 0, {{0}}},
    {"reject", 3000, 5000, &service_ops, 0, {OF_SERVICE(rejects, 0.55)}},
    {"repeat", 3000, 5000, &service_ops, 0, {OF_SERVICE(repeats, 0.05)}},
    {"repeat-at-once",
     3000,
     5000,
     &service_ops,
     0,
     {OF_SERVICE(repeats_at_once, 0.05)}},
    {"late-rejections",
     3000,
     5000,
     &service_ops,
     0,
     {OF_SERVICE(rejects, 0.55), OF_SERVICE(repeats, 0.05)}},
    {"unnamed-rejections",
     3000,
     5000,
     &service_ops,
     0,
     {OF_SERVICE(rejects, 0.55), OF_SERVICE(repeats, 0.05),
      OF_SERVICE(unnamed, 1)}},
    {"lose", 2000, 4000, &service_ops, 0, {OF_SERVICE(loses, 0.05)}},
    {"spoil", 2000, 4000, &service_ops, 0, {OF_SERVICE(spoils, 0.05)}},
    {"deny", 2000, 4000, &service_ops, 0, {OF_SERVICE(denies, 0.05)}},
    {"give-up", 2000, 4000, &mesh_ops, 0, {OF_MESH(give_up, 0.2, 0)}},
    {"abuse", 2000, 4000, &mesh_ops, 0, {OF_MESH(abuse, 0.4, 0)}},
    {"burst", 2000, 6000, &mesh_ops, 0, {OF_MESH(burst, 1.8, 1)}},
    {"flood", 2000, 4500, &load_ops, 0, {OF_MESH(flood, 7.5, 1)}},
    {"shift", 2000, 5000, &load_ops, 0, {OF_MESH(shift, 0.5, 0)}},
    {"keys", 100, 1000, &keys_ops, 0, {{0}}},
    {"uneven",
     4000,
     8000,
     &service_ops,
     0,
     {OF_SERVICE(uneven, 3), OF_SERVICE(knee, 0.8)}},
    {"hang-full", 2000, 4000, &service_ops, 0, {OF_SERVICE(hangs, 0.1)}},
    {"config", 100, 1000, &config_ops, 0, {{0}}},
    {"store", 500, 4000, &store_ops, 0, {{0}}},
    {"link-hold-in", 300, 6000, &link_ops, 0, {OF_NET(holds_in, 1)}},
    {"link-hold-out", 300, 6000, &link_ops, 0, {OF_NET(holds_out, 1)}},
    {"link-hold",
     300,
     6000,
     &link_ops,
     0,
     {OF_NET(holds_in, 1), OF_NET(holds_out, 1)}},
    {"link-delay", 1000, 5000, &link_ops, 0, {OF_NET(delay_s, 0.2)}},
    {"link-reset", 100, 1000, &break_ops, 0, {{0}}},
    {"link-silent", 1000, 4000, &break_ops, 0, {{0}}}};

/* The faults to draw from; a name that is given twice is drawn twice as often.
 */
static GPtrArray *drawn;

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
read_fault_names(const char *names)
{
    char **list = g_strsplit(names, ",", -1);
    int i, ok = 1;

    drawn = g_ptr_array_new();
    for (i = 0; list[i]; i++) {
        const Fault *f = fault_named(list[i]);
        if (f) {
            g_ptr_array_add(drawn, (gpointer)f);
        }
        else if (list[i][0]) {
            fprintf(stderr, "spmesh: no fault is named %s\n", list[i]);
            ok = 0;
        }
    }
    g_strfreev(list);
    return ok;
}

static void
note_step(Mesh *m, const char *step, const Injector *j)
{
    record_note(m, "%s %s %s", step, j->fault->name,
                j->node      ? j->node->name
                : j->service ? j->service->name
                             : "");
}

static void
begin_next(Mesh *m, Injector *j, int64_t now)
{
    int n = (int)drawn->len;
    const Fault *f =
        n ? g_ptr_array_index(drawn, (guint)mesh_draw(m, n)) : NULL;

    memset(j, 0, sizeof *j);
    j->until = now + (100 + mesh_draw(m, 1500)) * SP_MS;
    if (!f || !f->ops->begin(m, j, f)) {
        return;
    }
    j->fault = f;
    j->until = now + (f->min_ms + mesh_draw(m, f->spread_ms)) * SP_MS;
    note_step(m, "begin", j);
}

static void
end_present(Mesh *m, Injector *j, int64_t now)
{
    int64_t until = j->until;

    j->fault->ops->end(m, j);
    if (j->until != until) {
        return; /* it needs more time */
    }
    note_step(m, "end", j);
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
        else if (!m->ending) {
            begin_next(m, j, now);
        }
    }
}
