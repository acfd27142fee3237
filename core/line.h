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

typedef struct SpLine SpLine;

SpLine *SpLine_New(guint capacity);
void SpLine_Free(SpLine *l);
/* SpLine_Now advances the clock for a local event and returns its stamp. */
uint64_t SpLine_Now(SpLine *l, int64_t wall_ms);
/* SpLine_Heard merges a stamp received with a message into the clock. */
void SpLine_Heard(SpLine *l, int64_t wall_ms, uint64_t hlc);
const SpEvent *SpLine_Add(SpLine *l, int64_t wall_ms, const char *kind,
                          const char *fmt, ...) G_GNUC_PRINTF(4, 5);
guint SpLine_Count(const SpLine *l);
/* SpLine_At counts from the oldest event still held, 0. */
const SpEvent *SpLine_At(const SpLine *l, guint i);
/* SpLine_Total returns the number of events added since the start. */
uint64_t SpLine_Total(const SpLine *l);

#endif
