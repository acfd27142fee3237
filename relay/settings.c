/* Settings of a relay. */
#include <string.h>

#include "relay/relay.h"

#define OFF(m) offsetof(SpRelaySettings, m)
#define NAME(m, req)                                                          \
    {                                                                         \
#m, SpRead_Str, OFF(m), req, 1, 0, sizeof(((SpRelaySettings *)0)->m), \
            NULL                                                              \
    }
#define TEXT(m)                                                               \
    {                                                                         \
#m, SpRead_Text, OFF(m), 1, 1, 0, 0, NULL                             \
    }
#define ADDR(m, req)                                                          \
    {                                                                         \
#m, SpRead_Addr, OFF(m), req, 0, 0, SP_ADDR_BYTES, NULL               \
    }
#define REAL(m, lo, hi)                                                       \
    {                                                                         \
#m, SpRead_Real, OFF(m), 0, lo, hi, 0, NULL                           \
    }
#define BOOL(m)                                                               \
    {                                                                         \
#m, SpRead_Bool, OFF(m), 0, 0, 0, 0, NULL                             \
    }

static const SpField fields[] = {
    TEXT(name),
    TEXT(zone),
    TEXT(service),
    NAME(interface, 1),
    ADDR(instance, 1),
    ADDR(outbound, 1),
    ADDR(inbound, 0),
    ADDR(reports, 1),
    ADDR(ready, 1),
    ADDR(link, 1),
    ADDR(metrics, 0),
    ADDR(store, 1),
    REAL(report_s, 0.05, 60),
    REAL(drain_s, 0.1, 600),
    REAL(stop_s, 0.1, 600),
    REAL(retry_ratio, 0, 1),
    REAL(retry_slack, 0, 10000),
    REAL(retry_window_s, 1, 600),
    NAME(log_level, 0),
    REAL(memory_mb, 16, 65536),
    {"max_fds", SpRead_Int, OFF(max_fds), 0, 0, 1 << 24, 0, NULL},
    BOOL(first_start),
    NAME(capacity, 0),
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

int
SpRelaySettings_Load(const char *file, SpRelaySettings *s, SpProblems *ps)
{
    guint before = SpProblems_Count(ps);
    json_t *j = SpJson_LoadFile(file, ps);
    SpLevel level;

    memset(s, 0, sizeof *s);
    g_strlcpy(s->log_level, "info", sizeof s->log_level);
    s->report_s = 1.5;
    s->drain_s = 2;
    s->stop_s = 6;
    s->retry_ratio = 0.1;
    s->retry_slack = 10;
    s->retry_window_s = 10;
    s->memory_mb = 256;
    g_strlcpy(s->capacity, "announced", sizeof s->capacity);
    if (!j) {
        return 0;
    }
    SpFields_Read(fields, j, s, "", ps);
    if (!SpLevel_Parse(s->log_level, &level)) {
        SpProblems_Add(ps, "log_level", "must be error, warn, info or debug");
    }
    if (strcmp(s->capacity, "announced") != 0 &&
        strcmp(s->capacity, "learned") != 0) {
        SpProblems_Add(ps, "capacity", "must be announced or learned");
    }
    json_decref(j);
    return SpProblems_Count(ps) == before;
}

void
SpRelaySettings_Clear(SpRelaySettings *s)
{
    g_clear_pointer(&s->name, g_free);
    g_clear_pointer(&s->zone, g_free);
    g_clear_pointer(&s->service, g_free);
}
