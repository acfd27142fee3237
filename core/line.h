/*
 * line: a bounded ring of events, each stamped by a hybrid logical clock
 * (Kulkarni et al. 2014): 48 bits of wall milliseconds, 16 bits of counter.
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
/* SpLine_Now steps the clock for a local event at wall_ms. */
uint64_t SpLine_Now(SpLine *l, int64_t wall_ms);
/* SpLine_Heard merges a stamp that came with a message. */
void SpLine_Heard(SpLine *l, int64_t wall_ms, uint64_t hlc);
const SpEvent *SpLine_Add(SpLine *l, int64_t wall_ms, const char *kind,
                          const char *fmt, ...) G_GNUC_PRINTF(4, 5);
guint SpLine_Count(const SpLine *l);
/* SpLine_At: 0 is the oldest that is still held. */
const SpEvent *SpLine_At(const SpLine *l, guint i);
/* SpLine_Total counts all events ever added. */
uint64_t SpLine_Total(const SpLine *l);

#endif
