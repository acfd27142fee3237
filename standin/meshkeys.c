/*
 * Workspaces of spmesh: their keys, which configurations change, how much of
 * the load each sends, and what was run of each against its quota.
 *
 * A key is "kept" while all configurations so far have held it. Whatever
 * configuration a relay has in force, it lets that key in.
 */
#include <math.h>
#include <string.h>

#include "standin/mesh.h"

#define KEYS_EACH 2
#define UNKNOWN_SHARE 0.01 /* of the requests; as many show a taken key */
/* The greatest ones, of which one floods. */
#define FLOODERS 8
#define WINDOW_US (5 * SP_SEC)
#define OVERAGE 1.1
#define SLACK 20

typedef enum { KEY_UNKNOWN, KEY_KEPT, KEY_ADDED, KEY_TAKEN } KeyState;

struct MeshKey {
    char text[48], workspace[MESH_NAME];
    KeyState state;
};

typedef struct Ran {
    int64_t sent_at, run_at;
} Ran;

typedef struct Workspace {
    char name[MESH_NAME];
    double share; /* of the requests */
    double rate, burst;
    MeshKey *keys[KEYS_EACH]; /* in the newest configuration */
    GArray *ran;              /* of Ran, in the order of their runs */
} Workspace;

struct Workspaces {
    Workspace *all;
    int n, flooder, made;
    MeshKey *unknown, *added, *taken; /* the newest of each, or NULL */
};

static MeshKey *
new_key(Mesh *m, const char *workspace, KeyState state)
{
    MeshKey *k = g_new0(MeshKey, 1);

    g_snprintf(k->text, sizeof k->text, "spmesh-%d-%d", ++m->workspaces->made,
               mesh_draw(m, 1 << 30));
    g_strlcpy(k->workspace, workspace, sizeof k->workspace);
    k->state = state;
    return k;
}

void
make_workspaces(Mesh *m, int n, double skew, double quota)
{
    Workspaces *ws = g_new0(Workspaces, 1);
    double sum = 0, per_s = 0;
    int i, k;

    m->workspaces = ws;
    ws->n = n;
    ws->all = g_new0(Workspace, n);
    for (i = 0; i < m->nroutes; i++) {
        per_s += m->routes[i].per_s;
    }
    for (i = 0; i < n; i++) {
        sum += ws->all[i].share = pow(i + 1, -skew);
    }
    for (i = 0; i < n; i++) {
        Workspace *w = &ws->all[i];
        g_snprintf(w->name, sizeof w->name, "w%d", i);
        w->share /= sum;
        w->rate = quota * w->share * per_s;
        w->burst = w->rate;
        w->ran = g_array_new(FALSE, FALSE, sizeof(Ran));
        for (k = 0; k < KEYS_EACH; k++) {
            w->keys[k] = new_key(m, w->name, KEY_KEPT);
        }
    }
    ws->unknown = new_key(m, "", KEY_UNKNOWN);
}

void
write_workspaces(const Mesh *m, GString *s)
{
    const Workspaces *ws = m->workspaces;
    int i;

    if (!ws) {
        return;
    }
    g_string_append(s, ",\"tenants\":{\"columns\":[\"name\",\"api_keys\","
                       "\"priority\",\"rate_per_s\",\"burst\"],\"rows\":[");
    for (i = 0; i < ws->n; i++) {
        const Workspace *w = &ws->all[i];
        g_string_append_printf(s, "%s[\"%s\",[\"%s\",\"%s\"],null,%.3f,%.3f]",
                               i ? "," : "", w->name, w->keys[0]->text,
                               w->keys[1]->text, w->rate, w->burst);
    }
    g_string_append(s, "]}");
}

int
change_keys(Mesh *m)
{
    Workspaces *ws = m->workspaces;
    Workspace *w;
    int k;

    if (!ws) {
        return 0;
    }
    w = &ws->all[mesh_draw(m, ws->n)];
    k = mesh_draw(m, KEYS_EACH);
    ws->taken = w->keys[k];
    ws->taken->state = KEY_TAKEN;
    w->keys[k] = ws->added = new_key(m, w->name, KEY_ADDED);
    return 1;
}

void
draw_load(Mesh *m)
{
    m->shifted_zone = mesh_draw(m, m->nzones);
    if (m->workspaces) {
        m->workspaces->flooder = mesh_draw(m, MIN(m->workspaces->n, FLOODERS));
    }
}

double
flood_factor(const Mesh *m)
{
    const Workspaces *ws = m->workspaces;

    return ws ? 1 + ws->all[ws->flooder].share * (m->flood - 1) : 1;
}

const MeshKey *
draw_key(Mesh *m)
{
    const Workspaces *ws = m->workspaces;
    double at;
    int i;

    if (!ws) {
        return NULL;
    }
    at = mesh_unit(m);
    if (at < 2 * UNKNOWN_SHARE) {
        return at < UNKNOWN_SHARE && ws->taken ? ws->taken : ws->unknown;
    }
    at = mesh_unit(m) * flood_factor(m);
    for (i = 0; i < ws->n - 1; i++) {
        at -= ws->all[i].share * (i == ws->flooder ? m->flood : 1);
        if (at < 0) {
            break;
        }
    }
    return ws->all[i].keys[mesh_draw(m, KEYS_EACH)];
}

const MeshKey *
probe_key(const Mesh *m, int let_in)
{
    const Workspaces *ws = m->workspaces;

    if (let_in) {
        return is_in_force(ws->added) ? ws->added : ws->all[0].keys[0];
    }
    return ws->taken ? ws->taken : ws->unknown;
}

const char *
key_text(const MeshKey *k)
{
    return k->text;
}

const char *
key_workspace(const MeshKey *k)
{
    return k ? k->workspace : "";
}

int
is_kept(const MeshKey *k)
{
    return k && k->state == KEY_KEPT;
}

int
is_in_force(const MeshKey *k)
{
    return k && (k->state == KEY_KEPT || k->state == KEY_ADDED);
}

int
is_known(const MeshKey *k)
{
    return k && k->state != KEY_UNKNOWN;
}

void
count_run(Mesh *m, const MeshKey *k, int64_t sent_at)
{
    Ran r = {sent_at, SpHttp_Now()};
    int i;

    for (i = 0; k && i < m->workspaces->n; i++) {
        if (strcmp(m->workspaces->all[i].name, k->workspace) == 0) {
            g_array_append_val(m->workspaces->all[i].ran, r);
        }
    }
}

/* Most requests that were both sent and run within one window. */
static int
most_in_window(const GArray *ran, int64_t *at)
{
    int most = 0;
    guint i, k, first = 0;

    for (i = 0; i < ran->len; i++) { /* the window that ends with its run */
        int64_t end = g_array_index(ran, Ran, i).run_at;
        int n = 0;
        while (g_array_index(ran, Ran, first).run_at < end - WINDOW_US) {
            first++;
        }
        for (k = first; k <= i; k++) {
            n += g_array_index(ran, Ran, k).sent_at >= end - WINDOW_US;
        }
        if (n > most) {
            most = n;
            *at = end;
        }
    }
    return most;
}

int
check_quotas(const Mesh *m)
{
    const Workspaces *ws = m->workspaces;
    int64_t at = 0;
    int i, count = 0;

    for (i = 0; ws && i < ws->n; i++) {
        const Workspace *w = &ws->all[i];
        double room = w->rate * WINDOW_US / SP_SEC + w->burst;
        double bound = room * OVERAGE + SLACK;
        int most = most_in_window(w->ran, &at);
        if (w->rate > 0 && most > bound) {
            printf("QUOTA %s: %d in the 5 s before %" PRId64 ", bound %.0f\n",
                   w->name, most, (at - m->started) / SP_MS, bound);
            count++;
        }
    }
    return count;
}
