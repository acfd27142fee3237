/*
 * Callers of spmesh: requests at the rates of the plan, each through the relay
 * of a random node, on kept connections or on a fresh one. A caller leaves
 * shortly after its deadline. After a refusal it comes back once with a new
 * attempt id, as Retry-After says; it repeats an idempotent request after any
 * failure.
 */
#include <stdlib.h>
#include <string.h>

#include "standin/mesh.h"

#define EARLY_LEAVE_US (150 * SP_MS)
/* For an answer that is sent at the deadline to arrive. */
#define ANSWER_SLACK_US (250 * SP_MS)
/* Other requests that a relay answers while it holds an overdue one. */
#define PINGS 2
#define SILENT_US (3 * SP_SEC)
/* A longer time between two ticks is one in which this process stood still. */
#define MAX_STEP_US (100 * SP_MS)
#define MAX_WAIT_SHARE 0.33 /* of the time left */
#define BODY "0123456789abcdef0123456789abcdef"

typedef struct Caller {
    Mesh *m;
    const MeshRoute *route;
    char id[64];
    int retries_left;
    int64_t deadline, leave_at, send_at; /* send_at: 0 once it is sent */
    int64_t sent_at;
    Node *node;
    const MeshKey *key; /* NULL: none */
    int is_probe;       /* 1: of a relay that was drawn already */
    SpExchange *x, *ping;
    int pings;         /* that were answered since it is overdue */
    int64_t silent_us; /* for which this process waited for their answers */
    GList link;        /* in callers.list */
} Caller;

static struct {
    GQueue list;
    uint64_t count;
    double due[MESH_MAX_ROUTES]; /* requests that are due, in parts of one */
    int64_t last_tick, step_us;
} callers;

static void
end_ping(Caller *c)
{
    if (c->ping) {
        SpExchange_Abort(c->ping);
    }
    c->ping = NULL;
    c->pings = 0;
}

static void
free_caller(Caller *c)
{
    end_ping(c);
    g_queue_unlink(&callers.list, &c->link);
    g_free(c);
}

static int64_t
retry_after_us(const SpMsg *m)
{
    const char *s = SpMsg_Header(m, "Retry-After");

    return s ? (int64_t)(strtod(s, NULL) * SP_SEC) : 0;
}

/* Sends the request again with a new attempt id, or ends it. */
static void
come_back(Caller *c, int64_t wait)
{
    int64_t now = SpHttp_Now();

    if (c->retries_left <= 0 || c->m->ending || now >= c->deadline) {
        free_caller(c);
        return;
    }
    c->retries_left--;
    if (mesh_chance(c->m, c->m->abuse)) {
        wait = 0;
    }
    wait = MIN(wait, (int64_t)((double)(c->deadline - now) * MAX_WAIT_SHARE));
    c->send_at = now + wait;
}

static void
on_answer(void *data, SpPoolStatus end, const SpMsg *m, const char *error)
{
    Caller *c = data;
    const char *id;

    c->x = NULL;
    end_ping(c);
    if (end != SP_POOL_OK) {
        record_answered(c->m, c->id, 0, error);
        come_back(c, c->route->idempotent || end == SP_POOL_NOT_SENT
                         ? 50 * SP_MS
                         : SP_SEC * 1000);
        return;
    }
    id = SpMsg_Header(m, "Siskinpond-Attempt-Id");
    if (m->status == 200 && (!id || strcmp(id, c->id) != 0)) {
        record_foreign(c->m, c->id);
    }
    record_answered(c->m, c->id, m->status, "");
    if (m->status == 503 || m->status == 429) {
        come_back(c, retry_after_us(m));
    }
    else if (m->status >= 500 && c->route->idempotent) {
        come_back(c, 0);
    }
    else {
        free_caller(c);
    }
}

/* Draws the relay of a caller; some of one zone's callers are in others. */
static Node *
draw_node(Mesh *m)
{
    Node *n;

    do {
        n = g_ptr_array_index(m->nodes,
                              (guint)mesh_draw(m, (int)m->nodes->len));
    } while (m->nzones > 1 && n->zone_number == m->shifted_zone &&
             mesh_chance(m, m->shift));
    return n;
}

static void
send_request(Caller *c, int64_t now)
{
    Mesh *m = c->m;
    SpPoolRequest o = {.done = on_answer, .data = c};
    char head[512], key[96] = "";
    int with_body = strcmp(c->route->method, "GET") != 0;

    c->send_at = 0;
    c->sent_at = now;
    if (!c->is_probe) {
        c->node = draw_node(m);
    }
    if (c->key) {
        g_snprintf(key, sizeof key, "Authorization: Bearer %s\r\n",
                   key_text(c->key));
    }
    g_snprintf(c->id, sizeof c->id, "c%" PRIu64, ++callers.count);
    g_snprintf(head, sizeof head,
               "%s /%s/%s HTTP/1.1\r\nHost: h.example\r\n"
               "Siskinpond-Attempt-Id: %s\r\n"
               "Siskinpond-Deadline-Ms: %" PRId64 "\r\n%s%s\r\n",
               c->route->method, c->route->name, c->id, c->id,
               MAX((c->deadline - now) / SP_MS, 1), key,
               with_body ? "Content-Length: 32\r\n" : "");
    o.head = head;
    o.head_len = strlen(head);
    o.body = BODY;
    o.body_len = with_body ? strlen(BODY) : 0;
    o.own_connection = mesh_chance(m, 0.2);
    record_sent(m, c->id, c->route, c->node);
    record_key(m, c->id, c->key, c->is_probe);
    c->x = SpPool_Send(c->node->out, &o);
}

static void
add_caller(Mesh *m, const MeshRoute *rt, int64_t now)
{
    Caller *c = g_new0(Caller, 1);

    c->m = m;
    c->route = rt;
    c->retries_left = mesh_chance(m, m->abuse) ? 4 : 1;
    c->deadline = now + rt->deadline_ms * SP_MS;
    c->leave_at = mesh_chance(m, m->give_up) ? now + EARLY_LEAVE_US
                                             : c->deadline + ANSWER_SLACK_US;
    c->key = draw_key(m);
    c->link.data = c;
    g_queue_push_tail_link(&callers.list, &c->link);
    send_request(c, now);
}

/* The request of a probe can run again. */
static const MeshRoute *
probe_route(const Mesh *m)
{
    int i;

    for (i = 0; i < m->nroutes - 1; i++) {
        if (m->routes[i].idempotent && m->routes[i].per_s > 0) {
            break;
        }
    }
    return &m->routes[i];
}

void
probe_keys(Mesh *m)
{
    const MeshRoute *rt = probe_route(m);
    int64_t now = SpHttp_Now();
    guint i;

    for (i = 0; i < 2 * m->nodes->len; i++) {
        Caller *c = g_new0(Caller, 1);
        c->m = m;
        c->route = rt;
        c->node = g_ptr_array_index(m->nodes, i / 2);
        c->is_probe = 1;
        c->key = probe_key(m, i % 2 == 0);
        c->deadline = now + rt->deadline_ms * SP_MS;
        c->leave_at = c->deadline + ANSWER_SLACK_US;
        c->link.data = c;
        g_queue_push_tail_link(&callers.list, &c->link);
        send_request(c, now);
    }
}

static void
add_callers(Mesh *m, int64_t now)
{
    double s = (double)(now - callers.last_tick) / SP_SEC * flood_factor(m);
    int i;

    for (i = 0; i < m->nroutes; i++) {
        callers.due[i] += m->routes[i].per_s * m->burst * s;
        for (; callers.due[i] >= 1; callers.due[i] -= 1) {
            add_caller(m, &m->routes[i], now);
        }
    }
}

static void
leave(Caller *c)
{
    SpExchange_Abort(c->x);
    record_answered(c->m, c->id, 0, "left");
    free_caller(c);
}

static void
on_ping(void *data, SpPoolStatus end, const SpMsg *m, const char *error)
{
    Caller *c = data;

    (void)m;
    (void)error;
    c->ping = NULL;
    c->pings += end == SP_POOL_OK;
}

/* Asks for what no route matches, so that the relay answers by itself. */
static void
send_ping(Caller *c)
{
    static const char head[] = "GET /no/route HTTP/1.1\r\nHost: h.example\r\n"
                               "Siskinpond-Attempt-Id: ping\r\n\r\n";
    SpPoolRequest o = {.done = on_ping,
                       .data = c,
                       .head = head,
                       .head_len = strlen(head),
                       .own_connection = 1};

    c->ping = SpPool_Send(c->node->out, &o);
}

/* Ends a request that was not answered in time. A relay that nothing disturbed
   has held it if it answers others meanwhile, or none for long: one that only
   waits for a processor answers this one first. */
static void
end_overdue(Caller *c, int64_t now)
{
    const Node *n = c->node;

    if (now < c->deadline || !n->running || n->frozen ||
        n->signaled_at >= c->sent_at) {
        leave(c);
    }
    else if (c->pings >= PINGS || c->silent_us >= SILENT_US) {
        record_held(c->m, c->id);
        leave(c);
    }
    else if (!c->ping) {
        send_ping(c);
    }
    else {
        c->silent_us += callers.step_us;
    }
}

void
tick_callers(Mesh *m, int64_t now)
{
    GList *k, *next;

    if (m->started && !m->ending) {
        callers.last_tick = callers.last_tick ? callers.last_tick : now;
        add_callers(m, now);
    }
    callers.step_us = MIN(now - callers.last_tick, MAX_STEP_US);
    callers.last_tick = now;
    for (k = callers.list.head; k; k = next) {
        Caller *c = k->data;
        next = k->next;
        if (c->x && now >= c->leave_at) {
            end_overdue(c, now);
        }
        else if (!c->x && now >= c->send_at) {
            if (now < c->deadline) {
                send_request(c, now);
            }
            else {
                free_caller(c);
            }
        }
    }
}
