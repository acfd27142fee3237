/* spup: settings. */
#include <string.h>

#include "standin/up.h"

#define OFF(t, m) offsetof(t, m)

static void
read_calls(const SpField *f, const json_t *v, void *dst, const char *place,
           SpProblems *ps)
{
    static const SpField fields[] = {
        {"method", SpRead_Str, OFF(ChildCall, method), 1, 0, 0, 16, NULL},
        {"path", SpRead_Str, OFF(ChildCall, path), 1, 0, 0, SP_PATH_BYTES,
         NULL},
        {"optional", SpRead_Bool, OFF(ChildCall, optional), 0, 0, 0, 0, NULL},
        {NULL, NULL, 0, 0, 0, 0, 0, NULL}};
    Route *r = dst;
    size_t i;

    (void)f;
    r->ncalls = (int)MIN(json_array_size(v), MAX_CALLS);
    for (i = 0; i < (size_t)r->ncalls; i++) {
        SpFields_Read(fields, json_array_get(v, i), &r->calls[i], place, ps);
    }
}

static const SpField route_fields[] = {
    {"method", SpRead_Str, OFF(Route, method), 1, 0, 0, 16, NULL},
    {"path", SpRead_Str, OFF(Route, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"dist", SpRead_Str, OFF(Route, dist), 0, 0, 0, 16, NULL},
    {"work_ms", SpRead_Real, OFF(Route, work_ms), 1, 0, 60000, 0, NULL},
    {"bytes", SpRead_Int, OFF(Route, bytes), 0, 0, 1 << 22, 0, NULL},
    {"once", SpRead_Bool, OFF(Route, once), 0, 0, 0, 0, NULL},
    {"parallel", SpRead_Bool, OFF(Route, parallel), 0, 0, 0, 0, NULL},
    {"calls", read_calls, 0, 0, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField instance_fields[] = {
    {"name", SpRead_Name, OFF(Instance, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"service", SpRead_Name, OFF(Instance, service), 1, 0, 0, SP_NAME_BYTES,
     NULL},
    {"listen", SpRead_Addr, OFF(Instance, listen), 1, 0, 0, SP_ADDR_BYTES,
     NULL},
    {"outbound", SpRead_Addr, OFF(Instance, outbound), 1, 0, 0, SP_ADDR_BYTES,
     NULL},
    {"slots", SpRead_Int, OFF(Instance, slots), 1, 1, 100000, 0, NULL},
    {"queue", SpRead_Int, OFF(Instance, queue), 0, 0, 1000000, 0, NULL},
    {"cold_ms", SpRead_Int, OFF(Instance, cold_ms), 0, 0, 600000, 0, NULL},
    {"cold_factor", SpRead_Real, OFF(Instance, cold_factor), 0, 1, 100, 0,
     NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static void
read_instances(const SpField *f, const json_t *v, void *dst, const char *place,
               SpProblems *ps)
{
    size_t i;

    (void)f;
    (void)dst;
    if (!json_is_array(v)) {
        SpProblems_Add(ps, place, "must be a list");
    }
    up.n = (int)MIN(json_array_size(v), MAX_INSTANCES);
    for (i = 0; i < (size_t)up.n; i++) {
        Instance *in = &up.list[i];
        in->slow = 1;
        in->cold_factor = 1;
        in->queue = 1000;
        g_strlcpy(in->state, "up", sizeof in->state);
        g_queue_init(&in->waiting);
        SpFields_Read(instance_fields, json_array_get(v, i), in, place, ps);
    }
}

static void
read_routes(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    size_t i;

    (void)f;
    (void)dst;
    up.nroutes = (int)MIN(json_array_size(v), MAX_ROUTES);
    for (i = 0; i < (size_t)up.nroutes; i++) {
        g_strlcpy(up.routes[i].dist, "exp", sizeof up.routes[i].dist);
        SpFields_Read(route_fields, json_array_get(v, i), &up.routes[i], place,
                      ps);
    }
}

static const SpField top_fields[] = {
    {"control", SpRead_Addr, 0, 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"instances", read_instances, 0, 1, 0, 0, 0, NULL},
    {"routes", read_routes, 0, 1, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

int
load_settings(const char *file)
{
    SpProblems *ps = SpProblems_New();
    json_t *j = SpJson_LoadFile(file, ps);
    int ok;

    if (j) {
        SpFields_Read(top_fields, j, up.control, "", ps);
        json_decref(j);
    }
    SpProblems_Print(ps, "spup", file, stderr);
    ok = SpProblems_Count(ps) == 0;
    SpProblems_Free(ps);
    return ok;
}
