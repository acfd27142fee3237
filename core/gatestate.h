/*
 * gatestate: declarations shared by the files of gate; not part of its
 * interface.
 *
 *   gate.c       the queue and the slots
 *   gatelevel.c  the limit and the level, from what was measured
 */
#ifndef SP_GATESTATE_H
#define SP_GATESTATE_H

#include "core/gate.h"

#define SP_GATE_NLISTS (SP_MAX_CLASSES * 2)
/* Interval between probes of the limit. */
#define SP_GATE_PROBE_INTERVAL_US (15 * SP_SEC)

typedef struct SpGateEntry {
    SpHandle request;
    int rank, inner, list;
    int64_t deadline, since;
    SpHandle prev, next;
} SpGateEntry;

typedef struct SpGateList {
    SpHandle head, tail;
    int count;
} SpGateList;

typedef enum { SP_PROBE_STEADY, SP_PROBE_MEASURE, SP_PROBE_PROBE } SpGateProbe;

struct SpGate {
    SpGateOpts o;
    double limit;
    int running;
    int running_class0;
    int queued;
    SpTable *entries;
    SpGateList lists[SP_GATE_NLISTS];

    /* since the last tick */
    int64_t ticked;
    int done, shed;
    int64_t wait_sum;
    int waits;
    int queued_ticks; /* consecutive ticks with a queue */

    /* Rates are per second. Rates, running_mean, run_us and admitted_slices
       are moving averages. */
    double completion_rate; /* of runs */
    double running_mean;
    double start_sum; /* sum of the start times of the active runs */
    double run_us;
    double arrived[SP_MAX_CLASSES];    /* since the last tick */
    double class_rate[SP_MAX_CLASSES]; /* of arrivals */
    double admitted_slices[SP_MAX_CLASSES];
    double slice_rate[SP_MAX_CLASSES]; /* arrival rate of one slice */
    double admitted_share; /* of the capacity that is to be admitted */
    double level;          /* the rank that corresponds to admitted_share */
    double arrival_rate;   /* of all classes */
    double class0_peak;    /* decaying maximum of running_class0 */

    SpGateProbe probe;
    int64_t probe_since, probe_next, probe_interval;
    int probe_done;
    double probe_rate, probe_limit;
};

/* gate.c */
/* SpGate_CurrentLimit returns the limit in force, in runs at a time. */
double SpGate_CurrentLimit(const SpGate *g);
/* SpGate_MaxLevel returns the level that admits all ranks. */
double SpGate_MaxLevel(const SpGate *g);

/* gatelevel.c */
/* SpGate_Capacity returns the requests per second that can be served within
   the limit. */
double SpGate_Capacity(const SpGate *g, int64_t now);

#endif
