/*
 * pick: chooses an instance of one service for a call.
 *
 * Instances of the own zone come first, others when those are full. Of two
 * random candidates the one with less expected load is taken. Instances that
 * fail in a row are ejected for a while, never more than half of them.
 */
#ifndef SP_PICK_H
#define SP_PICK_H

#include "core/members.h"

typedef struct SpTarget {
    char name[SP_NAME_BYTES];
    char zone[SP_NAME_BYTES];
    char mesh[SP_ADDR_BYTES];
    uint64_t inc;
    int takes; /* 1 if it takes new work */
    int near;  /* 1 if in the own zone */
    int slots;
    int64_t since; /* local time at which it came up */
    int inflight;  /* calls sent from here */
    double run_us; /* smoothed time to an answer */
    double load;   /* percent, as last reported, smoothed */
    int64_t load_at;
    int fails; /* in a row */
    int64_t ejected_until;
    int ejections; /* in a row */
    int64_t clock_ms;
    int64_t clock_at;
    uint64_t sent;
} SpTarget;

typedef struct SpPickOpts {
    char zone[SP_NAME_BYTES];
    uint64_t seed;
    int ramp_ms;
    int plain; /* 1: any instance at random, no ejection */
} SpPickOpts;

typedef struct SpPick SpPick;

SpPick *SpPick_New(const SpPickOpts *o);
void SpPick_Free(SpPick *p);
void SpPick_Configure(SpPick *p, int ramp_ms, int plain);
/* SpPick_Member takes a new state of a member of this service. */
void SpPick_Member(SpPick *p, int64_t now, const SpMember *m);
/*
 * SpPick_Choose returns a target that takes work, not one of the names in
 * avoid if there is another; 0 if there is none. With fresh_us > 0 only
 * targets whose clock was heard within that time are taken.
 */
SpHandle SpPick_Choose(SpPick *p, int64_t now, const char *const *avoid,
                       int navoid, int64_t fresh_us);
/* SpPick_Find returns the target with this name; 0 if there is none. */
SpHandle SpPick_Find(const SpPick *p, const char *name);
const SpTarget *SpPick_Get(const SpPick *p, SpHandle h);
/* SpPick_Sent and SpPick_Answered bracket each call to a target. */
void SpPick_Sent(SpPick *p, SpHandle h);
void SpPick_Answered(SpPick *p, int64_t now, SpHandle h, int64_t run_us,
                     int ok, int load, int leaving);
void SpPick_Clock(SpPick *p, int64_t now, SpHandle h, int64_t clock_ms);
/*
 * SpPick_Throttle tells whether to refuse a call because the service answers
 * too few of them (adaptive throttling, Beyer et al. 2016, chapter 21).
 */
int SpPick_Throttle(SpPick *p, int64_t now, int class);
guint SpPick_Count(const SpPick *p);
const SpTarget *SpPick_At(const SpPick *p, guint i);

#endif
