#include <stdarg.h>
#include <string.h>

#include "core/line.h"

/* A peer's stamp that is further ahead of our wall clock is ignored. */
#define MAX_AHEAD_MS 60000

struct SpEventLog {
    SpEvent *ring;
    guint capacity;
    uint64_t total;
    uint64_t hlc;
};

SpEventLog *
SpEventLog_New(guint capacity)
{
    SpEventLog *l = g_new0(SpEventLog, 1);

    l->capacity = capacity;
    l->ring = g_new0(SpEvent, capacity);
    return l;
}

void
SpEventLog_Free(SpEventLog *l)
{
    if (l) {
        g_free(l->ring);
        g_free(l);
    }
}

uint64_t
SpEventLog_Stamp(SpEventLog *l, int64_t wall_ms)
{
    uint64_t wall = (uint64_t)wall_ms << 16;

    l->hlc = wall > l->hlc ? wall : l->hlc + 1;
    return l->hlc;
}

void
SpEventLog_MergeStamp(SpEventLog *l, int64_t wall_ms, uint64_t hlc)
{
    if (hlc > l->hlc && (int64_t)(hlc >> 16) < wall_ms + MAX_AHEAD_MS) {
        l->hlc = hlc;
    }
}

const SpEvent *
SpEventLog_Add(SpEventLog *l, int64_t wall_ms, const char *kind,
               const char *fmt, ...)
{
    SpEvent *e = &l->ring[l->total++ % l->capacity];
    va_list ap;

    e->hlc = SpEventLog_Stamp(l, wall_ms);
    g_strlcpy(e->kind, kind, sizeof e->kind);
    va_start(ap, fmt);
    g_vsnprintf(e->text, sizeof e->text, fmt, ap);
    va_end(ap);
    return e;
}

guint
SpEventLog_Count(const SpEventLog *l)
{
    return l->total < l->capacity ? (guint)l->total : l->capacity;
}

const SpEvent *
SpEventLog_At(const SpEventLog *l, guint i)
{
    return &l->ring[(l->total - SpEventLog_Count(l) + i) % l->capacity];
}

uint64_t
SpEventLog_Total(const SpEventLog *l)
{
    return l->total;
}
