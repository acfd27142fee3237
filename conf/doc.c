#include <string.h>

#include "conf/conf.h"

#define OFF(t, m) offsetof(t, m)
#define MAX_DEADLINE_MS 600000
#define MAX_BYTES (64 << 20)

static const SpField retries_fields[] = {
    {"per_request", SpRead_Int, OFF(SpRetries, per_request), 1, 0, 16, 0,
     NULL},
    {"ratio", SpRead_Real, OFF(SpRetries, ratio), 1, 0, 1, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField limits_fields[] = {
    {"body_bytes", SpRead_Int, OFF(SpLimits, body_bytes), 0, 0, MAX_BYTES, 0,
     NULL},
    {"answer_bytes", SpRead_Int, OFF(SpLimits, answer_bytes), 0, 1, MAX_BYTES,
     0, NULL},
    {"queue_ms", SpRead_Int, OFF(SpLimits, queue_ms), 0, 1, 10000, 0, NULL},
    {"keys", SpRead_Int, OFF(SpLimits, keys), 0, 1, 1000000, 0, NULL},
    {"key_ttl_ms", SpRead_Int, OFF(SpLimits, key_ttl_ms), 0, 1000, 86400000, 0,
     NULL},
    {"stop_ms", SpRead_Int, OFF(SpLimits, stop_ms), 0, 100, 600000, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField hop_fields[] = {
    {"limit", SpRead_Int, OFF(SpHop, limit), 0, 1, 100000, 0, NULL},
    {"retries", SpRead_Int, OFF(SpHop, retries), 0, 0, 10, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField service_fields[] = {
    {"name", SpRead_Name, OFF(SpService, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"slots", SpRead_Int, OFF(SpService, slots), 1, 1, 100000, 0, NULL},
    {"connections", SpRead_Int, OFF(SpService, connections), 1, 1, 1000000, 0,
     NULL},
    {"queue", SpRead_Int, OFF(SpService, queue), 0, 0, 100000, 0, NULL},
    {"ramp_ms", SpRead_Int, OFF(SpService, ramp_ms), 0, 0, 600000, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField route_fields[] = {
    {"name", SpRead_Name, OFF(SpRoute, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"service", SpRead_Name, OFF(SpRoute, service_name), 1, 0, 0,
     SP_NAME_BYTES, NULL},
    {"class", SpRead_Name, OFF(SpRoute, class_name), 1, 0, 0, SP_NAME_BYTES,
     NULL},
    {"method", SpRead_Str, OFF(SpRoute, method), 1, 0, 0, 16, NULL},
    {"path", SpRead_Str, OFF(SpRoute, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"idempotent", SpRead_Bool, OFF(SpRoute, idempotent), 1, 0, 0, 0, NULL},
    {"optional", SpRead_Bool, OFF(SpRoute, optional), 0, 0, 0, 0, NULL},
    {"deadline_ms", SpRead_Int, OFF(SpRoute, deadline_ms), 1, 1,
     MAX_DEADLINE_MS, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static int
check_list_size(const SpField *f, const json_t *v, const char *place,
                SpProblems *ps)
{
    if (!json_is_array(v)) {
        SpProblems_Add(ps, place, "must be a list");
        return 0;
    }
    if ((double)json_array_size(v) < f->lo ||
        (double)json_array_size(v) > f->hi) {
        SpProblems_Add(ps, place, "must have from %.0f to %.0f entries", f->lo,
                       f->hi);
        return 0;
    }
    return 1;
}

static void
read_classes(const SpField *f, const json_t *v, void *dst, const char *place,
             SpProblems *ps)
{
    static const SpField name = {NULL, NULL, 0, 0, 0, 0, SP_NAME_BYTES, NULL};
    char(*classes)[SP_NAME_BYTES] = dst;
    char sub[64];
    size_t i, k;

    if (!check_list_size(f, v, place, ps)) {
        return;
    }
    for (i = 0; i < json_array_size(v); i++) {
        g_snprintf(sub, sizeof sub, "%s[%zu]", place, i);
        SpRead_Name(&name, json_array_get(v, i), classes[i], sub, ps);
        for (k = 0; k < i; k++) {
            if (strcmp(classes[k], classes[i]) == 0) {
                SpProblems_Add(ps, sub, "repeats \"%s\"; use another name",
                               classes[i]);
            }
        }
    }
}

/* Reads a list of objects with the fields f->sub into an array of structs of
   f->size bytes. */
static void
read_objects(const SpField *f, const json_t *v, void *dst, const char *place,
             SpProblems *ps)
{
    char sub[64];
    size_t i;

    if (!check_list_size(f, v, place, ps)) {
        return;
    }
    for (i = 0; i < json_array_size(v); i++) {
        g_snprintf(sub, sizeof sub, "%s[%zu]", place, i);
        SpFields_Read(f->sub, json_array_get(v, i), (char *)dst + i * f->size,
                      sub, ps);
    }
}

static const SpField doc_fields[] = {
    {"format", SpRead_Int, OFF(SpDoc, format), 1, 1, 1, 0, NULL},
    {"name", SpRead_Name, OFF(SpDoc, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"policy", SpRead_Str, OFF(SpDoc, policy_name), 0, 0, 0, 16, NULL},
    {"classes", read_classes, OFF(SpDoc, classes), 1, 1, SP_MAX_CLASSES, 0,
     NULL},
    {"retries", SpRead_Object, OFF(SpDoc, retries), 1, 0, 0, 0,
     retries_fields},
    {"limits", SpRead_Object, OFF(SpDoc, limits), 0, 0, 0, 0, limits_fields},
    {"hop", SpRead_Object, OFF(SpDoc, hop), 0, 0, 0, 0, hop_fields},
    {"services", read_objects, OFF(SpDoc, services), 1, 1, SP_MAX_SERVICES,
     sizeof(SpService), service_fields},
    {"routes", read_objects, OFF(SpDoc, routes), 1, 1, SP_MAX_ROUTES,
     sizeof(SpRoute), route_fields},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static void
set_defaults(SpDoc *d)
{
    int i;

    g_strlcpy(d->policy_name, "full", sizeof d->policy_name);
    d->limits.body_bytes = 256 * 1024;
    d->limits.answer_bytes = 1024 * 1024;
    d->limits.queue_ms = 20;
    d->limits.keys = 4096;
    d->limits.key_ttl_ms = 600000;
    d->limits.stop_ms = 15000;
    d->hop.limit = 100;
    d->hop.retries = 3;
    for (i = 0; i < SP_MAX_SERVICES; i++) {
        d->services[i].queue = 100;
        d->services[i].ramp_ms = 5000;
    }
}

static void
check_policy(SpDoc *d, SpProblems *ps)
{
    static const char *const names[] = {"full", "hop", "none"};
    int i;

    for (i = 0; i < 3; i++) {
        if (strcmp(d->policy_name, names[i]) == 0) {
            d->policy = (SpPolicy)i;
            return;
        }
    }
    SpProblems_Add(ps, "policy", "must be \"full\", \"hop\" or \"none\"");
}

static void
check_services(SpDoc *d, SpProblems *ps)
{
    char place[64];
    int i, k;

    for (i = 0; i < d->nservices; i++) {
        for (k = 0; k < i; k++) {
            if (strcmp(d->services[i].name, d->services[k].name) == 0) {
                g_snprintf(place, sizeof place, "services[%d].name", i);
                SpProblems_Add(ps, place, "repeats \"%s\"; use another name",
                               d->services[i].name);
            }
        }
    }
}

static int
class_index(const SpDoc *d, const char *name)
{
    int i;

    for (i = 0; i < d->nclasses; i++) {
        if (strcmp(d->classes[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
add_route_problem(SpProblems *ps, int i, const char *field, const char *text)
{
    char place[64];

    g_snprintf(place, sizeof place, "routes[%d].%s", i, field);
    SpProblems_Add(ps, place, "%s", text);
}

static int
is_method(const char *s)
{
    static const char *const methods[] = {"GET", "HEAD",   "POST",
                                          "PUT", "DELETE", "PATCH"};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(s, methods[i]) == 0) {
            return 1;
        }
    }
    return 0;
}

int
SpDoc_IsSafe(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

static int
is_path(const char *s)
{
    if (*s != '/') {
        return 0;
    }
    for (; *s; s++) {
        if (*s <= ' ' || *s >= 127 || strchr("?#\"<>\\^`{|}", *s)) {
            return 0;
        }
    }
    return 1;
}

static void
check_route(SpDoc *d, int i, SpProblems *ps)
{
    SpRoute *r = &d->routes[i];
    int k;

    r->service = SpDoc_FindService(d, r->service_name);
    r->class = class_index(d, r->class_name);
    if (r->service < 0 && r->service_name[0]) {
        add_route_problem(ps, i, "service", "names no entry of services");
    }
    if (r->class < 0 && r->class_name[0]) {
        add_route_problem(ps, i, "class", "names no entry of classes");
    }
    if (r->method[0] && !is_method(r->method)) {
        add_route_problem(ps, i, "method",
                          "must be GET, HEAD, POST, PUT, DELETE or PATCH");
    }
    if (r->path[0] && !is_path(r->path)) {
        add_route_problem(ps, i, "path",
                          "must start with / and hold plain URL characters");
    }
    if (SpDoc_IsSafe(r->method) && !r->idempotent) {
        add_route_problem(ps, i, "idempotent",
                          "GET and HEAD are idempotent; set it to true");
    }
    if (r->optional && r->class == 0) {
        add_route_problem(ps, i, "optional",
                          "the first class is shed last; take another class");
    }
    for (k = 0; k < i; k++) {
        if (strcmp(r->name, d->routes[k].name) == 0 && r->name[0]) {
            add_route_problem(ps, i, "name",
                              "repeats an earlier route's name");
        }
        if (strcmp(r->path, d->routes[k].path) == 0 && r->path[0] &&
            strcmp(r->method, d->routes[k].method) == 0) {
            add_route_problem(ps, i, "path",
                              "repeats an earlier route's method and path");
        }
    }
}

static int
list_length(const json_t *j, const char *name, int max)
{
    size_t n = json_array_size(json_object_get(j, name));

    return n > (size_t)max ? max : (int)n;
}

SpDoc *
SpDoc_Parse(const char *text, size_t n, SpProblems *ps)
{
    guint before = SpProblems_Count(ps);
    json_t *j;
    SpDoc *d;
    int i;

    if (n > SP_DOC_BYTES) {
        SpProblems_Add(ps, "top", "must have at most %d bytes", SP_DOC_BYTES);
        return NULL;
    }
    j = SpJson_Load(text, n, ps);
    if (!j) {
        return NULL;
    }
    d = g_new0(SpDoc, 1);
    set_defaults(d);
    SpFields_Read(doc_fields, j, d, "", ps);
    d->nclasses = list_length(j, "classes", SP_MAX_CLASSES);
    d->nservices = list_length(j, "services", SP_MAX_SERVICES);
    d->nroutes = list_length(j, "routes", SP_MAX_ROUTES);
    json_decref(j);
    check_policy(d, ps);
    check_services(d, ps);
    for (i = 0; i < d->nroutes; i++) {
        check_route(d, i, ps);
    }
    if (SpProblems_Count(ps) > before) {
        g_free(d);
        return NULL;
    }
    return d;
}

/* Returns 1 if s is path itself, a path below it, or either with a query; n is
   the length of path. */
static int
path_matches(const char *path, const char *s, size_t n)
{
    if (strncmp(path, s, n) != 0) {
        return 0;
    }
    return path[n - 1] == '/' || s[n] == '\0' || s[n] == '/' || s[n] == '?';
}

int
SpDoc_FindRoute(const SpDoc *d, const char *method, const char *path)
{
    size_t n, len = 0;
    int i, best = -1;

    for (i = 0; i < d->nroutes; i++) {
        const SpRoute *r = &d->routes[i];
        n = strlen(r->path);
        if (n > len && strcmp(r->method, method) == 0 &&
            path_matches(r->path, path, n)) {
            best = i;
            len = n;
        }
    }
    return best;
}

int
SpDoc_FindService(const SpDoc *d, const char *name)
{
    int i;

    for (i = 0; i < d->nservices; i++) {
        if (strcmp(d->services[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}
