/* Settings of spload. */
#include <string.h>

#include "standin/load.h"

#define OFF(t, m) offsetof(t, m)

static void
read_contacts(const SpField *f, const json_t *v, void *dst, const char *place,
              SpProblems *ps)
{
    static const SpField addr = {NULL, NULL, 0, 0, 0, 0, SP_ADDR_BYTES, NULL};
    Mix *m = dst;
    size_t i;

    (void)f;
    m->ncontacts = (int)MIN(json_array_size(v), 64);
    for (i = 0; i < (size_t)m->ncontacts; i++) {
        SpRead_Addr(&addr, json_array_get(v, i), m->contacts[i], place, ps);
    }
}

static void
read_body(const SpField *f, const json_t *v, void *dst, const char *place,
          SpProblems *ps)
{
    Event *e = dst;

    (void)f;
    (void)place;
    (void)ps;
    e->body = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
}

static const SpField mix_fields[] = {
    {"name", SpRead_Name, OFF(Mix, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"method", SpRead_Str, OFF(Mix, method), 1, 0, 0, 16, NULL},
    {"path", SpRead_Str, OFF(Mix, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"route", SpRead_Name, OFF(Mix, route), 0, 0, 0, SP_NAME_BYTES, NULL},
    {"class", SpRead_Name, OFF(Mix, class), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"weight", SpRead_Real, OFF(Mix, weight), 1, 0, 1e6, 0, NULL},
    {"body_bytes", SpRead_Int, OFF(Mix, body_bytes), 0, 0, 1 << 20, 0, NULL},
    {"contacts", read_contacts, 0, 1, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField step_fields[] = {
    {"seconds", SpRead_Real, OFF(Step, seconds), 1, 0, 3600, 0, NULL},
    {"rate", SpRead_Real, OFF(Step, rate), 1, 0, 1e6, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField phase_fields[] = {
    {"name", SpRead_Name, OFF(Phase, name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"from_ms", SpRead_Int, OFF(Phase, from_ms), 1, 0, 1e9, 0, NULL},
    {"to_ms", SpRead_Int, OFF(Phase, to_ms), 1, 0, 1e9, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static const SpField event_fields[] = {
    {"at_ms", SpRead_Int, OFF(Event, at_ms), 1, 0, 1e9, 0, NULL},
    {"addr", SpRead_Addr, OFF(Event, addr), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"path", SpRead_Str, OFF(Event, path), 1, 0, 0, SP_PATH_BYTES, NULL},
    {"token", SpRead_Str, OFF(Event, token), 0, 0, 0, 128, NULL},
    {"body", read_body, 0, 0, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

/* read_rows reads a list into an array of f->hi elements of f->size bytes. */
static void
read_rows(const SpField *f, const json_t *v, void *dst, const char *place,
          SpProblems *ps)
{
    char sub[64];
    size_t i;

    for (i = 0; i < json_array_size(v) && i < (size_t)f->hi; i++) {
        g_snprintf(sub, sizeof sub, "%s[%zu]", place, i);
        SpFields_Read(f->sub, json_array_get(v, i), (char *)dst + i * f->size,
                      sub, ps);
    }
}

#define LD(m) ((size_t)((char *)&ld.m - (char *)&ld))

int
load_settings(const char *file)
{
    const SpField top[] = {
        {"mix", read_rows, LD(mix), 1, 0, MAX_MIX, sizeof(Mix), mix_fields},
        {"steps", read_rows, LD(steps), 1, 0, MAX_STEPS, sizeof(Step),
         step_fields},
        {"phases", read_rows, LD(phases), 0, 0, MAX_PHASES, sizeof(Phase),
         phase_fields},
        {"events", read_rows, LD(events), 0, 0, MAX_EVENTS, sizeof(Event),
         event_fields},
        {"control", SpRead_Addr, LD(control), 0, 0, 0, SP_ADDR_BYTES, NULL},
        {"retries", SpRead_Int, LD(retries), 0, 0, 100, 0, NULL},
        {"wait_ms", SpRead_Int, LD(wait_ms), 0, 0, 60000, 0, NULL},
        {"obey", SpRead_Bool, LD(honor_retry_after), 0, 0, 0, 0, NULL},
        {"timeout_ms", SpRead_Int, LD(timeout_ms), 0, 1, 600000, 0, NULL},
        {"window_ms", SpRead_Int, LD(window_ms), 0, 10, 10000, 0, NULL},
        {"trigger_end_ms", SpRead_Int, LD(trigger_end_ms), 0, 0, 1e9, 0, NULL},
        {"seed", SpRead_Int, LD(seed), 0, 0, 1e9, 0, NULL},
        {NULL, NULL, 0, 0, 0, 0, 0, NULL}};
    SpProblems *ps = SpProblems_New();
    json_t *j = SpJson_LoadFile(file, ps);
    int ok;

    if (j) {
        SpFields_Read(top, j, &ld, "", ps);
        ld.nmix = (int)json_array_size(json_object_get(j, "mix"));
        ld.nsteps = (int)json_array_size(json_object_get(j, "steps"));
        ld.nphases = (int)json_array_size(json_object_get(j, "phases"));
        ld.nevents = (int)json_array_size(json_object_get(j, "events"));
        json_decref(j);
    }
    SpProblems_Print(ps, "spload", file, stderr);
    ok = SpProblems_Count(ps) == 0;
    SpProblems_Free(ps);
    return ok;
}
