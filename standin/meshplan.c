/*
 * The deployment that spmesh plays. Its file has one statement a line; #
 * starts a comment:
 *
 *   zones N
 *   service NAME COUNT SLOTS QUEUE SPEED
 *   route NAME KIND SERVICE METHOD PER_S DEADLINE_MS WORK_MS ATTEMPTS RANK
 *         TIMEOUT_S [CALL]
 *
 *   workspaces COUNT SKEW [QUOTA]
 *   faults NAME,...
 *
 * CALL names a route above it, which each run calls once. Workspaces come
 * after the routes: SKEW is the power by which their shares fall, QUOTA their
 * rate in parts of what they send usually. Faults are drawn beside the default
 * ones.
 */
#include <stdlib.h>
#include <string.h>

#include "standin/mesh.h"

#define RECORD_LENGTH_BYTES 4
#define CONNECT_US (1 * SP_SEC)
#define IDLE_US (10 * SP_SEC)
#define BODY_BYTES ((size_t)1 << 20)

static MeshService *
service_named(Mesh *m, const char *name)
{
    int i;

    for (i = 0; i < m->nservices; i++) {
        if (strcmp(m->services[i].name, name) == 0) {
            return &m->services[i];
        }
    }
    return NULL;
}

MeshRoute *
route_named(Mesh *m, const char *name)
{
    int i;

    for (i = 0; i < m->nroutes; i++) {
        if (strcmp(m->routes[i].name, name) == 0) {
            return &m->routes[i];
        }
    }
    return NULL;
}

MeshRoute *
route_of_path(Mesh *m, const char *path)
{
    char name[MESH_NAME];
    size_t n = strcspn(path + 1, "/");

    if (path[0] != '/' || n >= sizeof name) {
        return NULL;
    }
    g_strlcpy(name, path + 1, n + 1);
    return route_named(m, name);
}

static int
parse_service(Mesh *m, char **w, int n)
{
    MeshService *s = &m->services[m->nservices];

    if (n != 6 || m->nservices == MESH_MAX_SERVICES) {
        return 0;
    }
    m->nservices++;
    g_strlcpy(s->name, w[1], sizeof s->name);
    s->count = MAX(2, (int)(strtod(w[2], NULL) * m->o.size + 0.5));
    s->slots = (int)strtol(w[3], NULL, 10);
    s->queue = (int)strtol(w[4], NULL, 10);
    s->speed = strtod(w[5], NULL);
    return s->slots > 0 && s->speed > 0;
}

static int
parse_route(Mesh *m, char **w, int n)
{
    MeshRoute *rt = &m->routes[m->nroutes];

    if (n < 11 || n > 12 || m->nroutes == MESH_MAX_ROUTES) {
        return 0;
    }
    g_strlcpy(rt->name, w[1], sizeof rt->name);
    rt->idempotent = strcmp(w[2], "safe") == 0;
    rt->service = service_named(m, w[3]);
    g_strlcpy(rt->method, w[4], sizeof rt->method);
    rt->per_s = strtod(w[5], NULL) * m->o.load;
    rt->deadline_ms = (int)strtol(w[6], NULL, 10);
    rt->work_ms = (int)strtol(w[7], NULL, 10);
    rt->attempts = (int)strtol(w[8], NULL, 10);
    rt->rank = (int)strtol(w[9], NULL, 10);
    rt->timeout_s = strtod(w[10], NULL);
    rt->call = n == 12 ? route_named(m, w[11]) : NULL;
    m->nroutes++;
    return rt->service && (n == 11 || rt->call);
}

static int
parse_workspaces(Mesh *m, char **w, int n)
{
    int count = n > 1 ? (int)strtol(w[1], NULL, 10) : 0;

    if (n < 3 || n > 4 || count < 1 || m->workspaces) {
        return 0;
    }
    make_workspaces(m, count, strtod(w[2], NULL),
                    n == 4 ? strtod(w[3], NULL) : 0);
    return 1;
}

static int
parse_line(Mesh *m, const char *line)
{
    char **w;
    int n, ok;

    if (!g_shell_parse_argv(line, &n, &w, NULL)) {
        return 1; /* no words */
    }
    if (strcmp(w[0], "zones") == 0 && n == 2) {
        m->nzones = (int)strtol(w[1], NULL, 10);
        ok = m->nzones > 0;
    }
    else if (strcmp(w[0], "service") == 0) {
        ok = parse_service(m, w, n);
    }
    else if (strcmp(w[0], "workspaces") == 0) {
        ok = parse_workspaces(m, w, n);
    }
    else if (strcmp(w[0], "faults") == 0 && n == 2 && !m->more_faults) {
        m->more_faults = g_strdup(w[1]);
        ok = 1;
    }
    else {
        ok = strcmp(w[0], "route") == 0 && parse_route(m, w, n);
    }
    g_strfreev(w);
    return ok;
}

static SpPool *
new_pool(const Mesh *m, const char *addr)
{
    SpPoolOpts o = {.connect_us = CONNECT_US,
                    .idle_us = IDLE_US,
                    .body_bytes = BODY_BYTES};

    g_strlcpy(o.addr, addr, sizeof o.addr);
    return SpPool_New(m->loop, &o);
}

static void
add_node(Mesh *m, MeshService *s, int k)
{
    Node *n = g_new0(Node, 1);
    guint number = m->nodes->len + 1;
    char addr[32];

    n->m = m;
    n->service = s;
    g_snprintf(n->name, sizeof n->name, "%s-%d", s->name, k);
    n->index = k;
    n->zone_number = (int)(number % (guint)m->nzones);
    g_snprintf(n->zone, sizeof n->zone, "z%d", n->zone_number);
    g_snprintf(n->ip, sizeof n->ip, "%s.%u.%u", m->net, number / 200,
               number % 200 + 1);
    g_snprintf(addr, sizeof addr, "%s:8304", n->ip);
    n->out = new_pool(m, addr);
    g_snprintf(addr, sizeof addr, "%s:8306", n->ip);
    n->control = new_pool(m, addr);
    g_ptr_array_add(m->nodes, n);
    n->inst = new_instance(n);
}

int
load_plan(Mesh *m, GError **err)
{
    char *text, **lines;
    int i, k, ok = 1;

    if (!g_file_get_contents(m->o.plan, &text, NULL, err)) {
        return 0;
    }
    lines = g_strsplit(text, "\n", -1);
    for (i = 0; ok && lines[i]; i++) {
        ok = parse_line(m, lines[i]);
    }
    if (!ok || !m->nzones || !m->nroutes) {
        g_set_error(err, SP_ERROR, SP_ERROR_INPUT, "%s:%d: not understood",
                    m->o.plan, i);
        ok = 0;
    }
    g_strfreev(lines);
    g_free(text);
    g_snprintf(m->store_addr, sizeof m->store_addr, "%s.250.1:8309", m->net);
    m->store = new_pool(m, m->store_addr);
    for (i = 0; ok && i < m->nservices; i++) {
        for (k = 0; k < m->services[i].count; k++) {
            add_node(m, &m->services[i], k);
        }
    }
    return ok;
}

/* What the platform fills into the template of the relay's settings. */
static void
fill_field(GString *s, const Node *n, const char *field)
{
    const struct {
        const char *field, *value;
        int port; /* of the node's address; 0: no address, -1: quoted text */
    } fields[] = {{"heartbeat_s", "1.5", 0},
                  {"bounds.drain_s", "2", 0},
                  {"bounds.grace_s", "6", 0},
                  {"bounds.retry_budget_ratio", "0.2", 0},
                  {"bounds.budget_slack", "49", 0},
                  {"bounds.budget_window_s", "10", 0},
                  {"limits.memory_mb", "260", 0},
                  {"limits.max_fds", "4100", 0},
                  {"bootstrap", "true", 0},
                  {"internal_ports.0", G_STRINGIFY(MESH_LINK_PORT), 0},
                  {"ip", n->ip, 0},
                  {"node", n->name, -1},
                  {"zone", n->zone, -1},
                  {"service", n->service->name, -1},
                  {"platform.address", n->m->store_addr, -1},
                  {"app_addr", n->ip, 8301},
                  {"listen.outbound", n->ip, 8304},
                  {"listen.inbound", n->ip, 8300},
                  {"listen.control", n->ip, 8306},
                  {"listen.ready", n->ip, 8302}};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].field, field) != 0) {
            continue;
        }
        if (fields[i].port > 0) {
            g_string_append_printf(s, "\"%s:%d\"", n->ip, fields[i].port);
        }
        else {
            g_string_append_printf(s, fields[i].port ? "\"%s\"" : "%s",
                                   fields[i].value);
        }
    }
}

char *
write_settings(const Node *n, GError **err)
{
    char *text, *file, *p, *open, *end;
    GString *s = g_string_new(NULL);

    if (!g_file_get_contents(n->m->o.template, &text, NULL, err)) {
        return NULL;
    }
    for (p = text; (open = strstr(p, "{{")) && (end = strstr(open, "}}"));
         p = end + 2) {
        g_string_append_len(s, p, open - p);
        *end = '\0';
        open[2 + strcspn(open + 2, "|")] = '\0';
        fill_field(s, n, open + 2);
    }
    g_string_append(s, p);
    file = g_strdup_printf("%s/%s.json", n->m->o.dir, n->name);
    /* without a wait for the disk, in which spmesh would stand still */
    if (!g_file_set_contents_full(file, s->str, (gssize)s->len,
                                  G_FILE_SET_CONTENTS_NONE, 0644, err)) {
        g_free(file);
        file = NULL;
    }
    g_string_free(s, TRUE);
    g_free(text);
    return file;
}

static void
on_published(void *data, SpPoolStatus end, const SpMsg *m, const char *error)
{
    Mesh *mesh = data;

    record_note(mesh, "configuration %" PRIx64 ": %s", mesh->version,
                end == SP_POOL_OK ? SpHttp_Reason(m->status) : error);
}

/* Every other configuration sends some routes to another service, and may
   change how many instances a request may be sent to. */
static const MeshService *
service_for(Mesh *m, MeshRoute *rt)
{
    if (rt->per_s <= 0 || m->version == 1) {
        return rt->service;
    }
    rt->attempts = 1 + mesh_draw(m, 3);
    return mesh_chance(m, 0.3) ? &m->services[mesh_draw(m, m->nservices)]
                               : rt->service;
}

static GString *
write_config(Mesh *m)
{
    GString *s = g_string_new(NULL);
    int i;

    g_string_append_printf(
        s,
        "{\"version\":\"%08" PRIx64 "\",\"routes\":{\"columns\":[\"name\","
        "\"host\",\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\","
        "\"priority\",\"service\",\"max_attempts\"],\"rows\":[",
        m->version);
    for (i = 0; i < m->nroutes; i++) {
        MeshRoute *rt = &m->routes[i];
        g_string_append_printf(
            s,
            "%s[\"%s\",\"h.example\",\"/%s/\",\"%s\",%.3f,0.5,%d,\"%s\",%d]",
            i ? "," : "", rt->name, rt->name,
            rt->idempotent ? "safe" : "unsafe", rt->timeout_s, rt->rank,
            service_for(m, rt)->name, rt->attempts);
    }
    g_string_append(s, "]},\"services\":{\"columns\":[\"name\",\"health_path\""
                       "],\"rows\":[");
    for (i = 0; i < m->nservices; i++) {
        g_string_append_printf(s, "%s[\"%s\",\"/health\"]", i ? "," : "",
                               m->services[i].name);
    }
    g_string_append(s, "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_"
                       "bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_"
                       "s\":15}");
    write_workspaces(m, s);
    g_string_append_c(s, '}');
    return s;
}

void
ignore_answer(void *data, SpPoolStatus end, const SpMsg *m, const char *error)
{
    (void)data;
    (void)end;
    (void)m;
    (void)error;
}

void
set_store_mode(Mesh *m, const char *mode)
{
    SpPoolRequest o = {.done = ignore_answer, .data = m, .own_connection = 1};
    char head[128];

    g_snprintf(head, sizeof head,
               "PUT /standin?mode=%s HTTP/1.1\r\nHost: store\r\n\r\n", mode);
    o.head = head;
    o.head_len = strlen(head);
    SpPool_Send(m->store, &o);
}

void
publish_config(Mesh *m)
{
    static const char key[] = "config";
    GString *value, *body, *head;
    SpPoolRequest o = {.done = on_published, .data = m};
    guint32 n;

    m->version += m->version ? 1 + (uint64_t)mesh_draw(m, 3) : 1;
    value = write_config(m);
    n = GUINT32_TO_BE((guint32)(1 + strlen(key) + value->len));
    body = g_string_new_len((const char *)&n, RECORD_LENGTH_BYTES);
    g_string_append_c(body, (char)strlen(key));
    g_string_append(body, key);
    g_string_append_len(body, value->str, (gssize)value->len);
    head = g_string_new(NULL);
    g_string_printf(head,
                    "POST /log-append?topic=keyed.op&part=0 HTTP/1.1\r\n"
                    "Host: store\r\nContent-Length: %zu\r\n\r\n",
                    body->len);
    o.head = head->str;
    o.head_len = head->len;
    o.body = body->str;
    o.body_len = body->len;
    SpPool_Send(m->store, &o);
    g_string_free(head, TRUE);
    g_string_free(body, TRUE);
    g_string_free(value, TRUE);
}
