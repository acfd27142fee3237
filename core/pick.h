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
    int takes; /* 1 if it accepts new requests */
    int near;  /* 1 if in this node's zone */
    int slots;
    int64_t since; /* local time at which it came up */
    int inflight;  /* calls sent from here and not answered */
    double run_us; /* moving average of the time to an answer */
    double load;   /* percent, as last reported */
    int64_t load_at;
    int fails; /* consecutive */
    int64_t ejected_until;
    int ejections; /* without a success between them */
    int64_t clock_ms;
    int64_t clock_at;
    uint64_t sent;
} SpTarget;

typedef struct SpPickOpts {
    char zone[SP_NAME_BYTES];
    uint64_t seed;
    int ramp_ms;
    int plain; /* 1: uniformly random choice, no ejection */
} SpPickOpts;

typedef struct SpPick SpPick;

SpPick *SpPick_New(const SpPickOpts *o);
void SpPick_Free(SpPick *p);
void SpPick_Configure(SpPick *p, int ramp_ms, int plain);
/* SpPick_Member applies a change of a member of this service. */
void SpPick_Member(SpPick *p, int64_t now, const SpMember *m);
/*
 * SpPick_Choose returns a target that accepts requests, or 0 if there is none.
 * Targets named in avoid are chosen only if there is no other. If fresh_us is
 * not 0, only targets whose clock is known and at most that old qualify.
 */
SpHandle SpPick_Choose(SpPick *p, int64_t now, const char *const *avoid,
                       int navoid, int64_t fresh_us);
/* SpPick_Find returns the target with this name; 0 if there is none. */
SpHandle SpPick_Find(const SpPick *p, const char *name);
const SpTarget *SpPick_Get(const SpPick *p, SpHandle h);
/* SpPick_Sent is called before each call to a target, SpPick_Answered after
   it. */
void SpPick_Sent(SpPick *p, SpHandle h);
void SpPick_Answered(SpPick *p, int64_t now, SpHandle h, int64_t run_us,
                     int ok, int load, int leaving);
void SpPick_Clock(SpPick *p, int64_t now, SpHandle h, int64_t clock_ms);
/*
 * SpPick_Throttle returns 1 if a call is to be rejected locally because the
 * service accepts too few calls (adaptive throttling, Beyer et al. 2016,
 * chapter 21).
 */
int SpPick_Throttle(SpPick *p, int64_t now, int class);
guint SpPick_Count(const SpPick *p);
const SpTarget *SpPick_At(const SpPick *p, guint i);

#endif
