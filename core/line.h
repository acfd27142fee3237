/*
 * line: a ring buffer of events, each stamped by a hybrid logical clock
 * (Kulkarni et al. 2014): 48 bits of wall-clock milliseconds and a 16-bit
 * counter.
 */
#ifndef SP_LINE_H
#define SP_LINE_H

#include "base/base.h"

#define SP_EVENT_BYTES 240

typedef struct SpEvent {
    uint64_t hlc;
    char kind[20];
    char text[SP_EVENT_BYTES]; /* key=value pairs */
} SpEvent;

typedef struct SpEventLog SpEventLog;

SpEventLog *SpEventLog_New(guint capacity);
void SpEventLog_Free(SpEventLog *l);
/* SpEventLog_Stamp advances the clock for a local event and returns its stamp.
 */
uint64_t SpEventLog_Stamp(SpEventLog *l, int64_t wall_ms);
/* SpEventLog_MergeStamp merges a stamp received with a message into the clock.
 */
void SpEventLog_MergeStamp(SpEventLog *l, int64_t wall_ms, uint64_t hlc);
const SpEvent *SpEventLog_Add(SpEventLog *l, int64_t wall_ms, const char *kind,
                              const char *fmt, ...) G_GNUC_PRINTF(4, 5);
guint SpEventLog_Count(const SpEventLog *l);
/* SpEventLog_At counts from the oldest event still held, 0. */
const SpEvent *SpEventLog_At(const SpEventLog *l, guint i);
/* SpEventLog_Total returns the number of events added since the start. */
uint64_t SpEventLog_Total(const SpEventLog *l);

#endif
