/*
 * pick: client-side load balancing over the instances of one service.
 *
 * Instances of the node's own zone are preferred; other zones are used when
 * those are fully loaded. Of two random candidates the one with the lower
 * expected cost is chosen (power of two choices). An instance with several
 * consecutive failures is ejected for a time; at most half of the instances
 * are ejected at once.
 */
#ifndef SP_PICK_H
#define SP_PICK_H

#include "core/members.h"

typedef struct SpTarget {
    char name[SP_NAME_BYTES];
    char zone[SP_NAME_BYTES];
    char mesh[SP_ADDR_BYTES];
    uint64_t inc;
    int accepts;   /* 1 if it accepts new requests */
    int same_zone; /* 1 if in this node's zone */
    int slots;
    int64_t up_since; /* local time at which it came up */
    int inflight;     /* calls sent from here and not answered */
    double run_us;    /* moving average of the time to an answer */
    double load;      /* percent, as last reported */
    int64_t load_at;
    int failures; /* consecutive */
    int64_t ejected_until;
    int ejections; /* without a success between them */
    int64_t clock_ms;
    int64_t clock_at;
    uint64_t sent;
} SpTarget;

typedef struct SpPickerOpts {
    char zone[SP_NAME_BYTES];
    uint64_t seed;
    int ramp_ms;
    int uniform; /* 1: uniformly random choice, no ejection */
} SpPickerOpts;

typedef struct SpPicker SpPicker;

SpPicker *SpPicker_New(const SpPickerOpts *o);
void SpPicker_Free(SpPicker *p);
void SpPicker_Configure(SpPicker *p, int ramp_ms, int uniform);
/* SpPicker_UpdateMember applies a change of a member of this service. */
void SpPicker_UpdateMember(SpPicker *p, int64_t now, const SpMember *m);
/*
 * SpPicker_Choose returns a target that accepts requests, or 0 if there is
 * none. Targets named in avoid are chosen only if there is no other. If
 * fresh_us is not 0, only targets whose clock is known and at most that old
 * qualify.
 */
SpHandle SpPicker_Choose(SpPicker *p, int64_t now, const char *const *avoid,
                         int navoid, int64_t fresh_us);
/* SpPicker_Find returns the target with this name; 0 if there is none. */
SpHandle SpPicker_Find(const SpPicker *p, const char *name);
const SpTarget *SpPicker_Get(const SpPicker *p, SpHandle h);
/* SpPicker_CallSent is called before each call to a target, SpPicker_CallDone
   after it. */
void SpPicker_CallSent(SpPicker *p, SpHandle h);
void SpPicker_CallDone(SpPicker *p, int64_t now, SpHandle h, int64_t run_us,
                       int ok, int load, int leaving);
void SpPicker_UpdateClock(SpPicker *p, int64_t now, SpHandle h,
                          int64_t clock_ms);
/*
 * SpPicker_Throttle returns 1 if a call is to be rejected locally because the
 * service accepts too few calls (adaptive throttling, Beyer et al. 2016,
 * chapter 21).
 */
int SpPicker_Throttle(SpPicker *p, int64_t now, int class);
guint SpPicker_Count(const SpPicker *p);
const SpTarget *SpPicker_At(const SpPicker *p, guint i);

#endif
