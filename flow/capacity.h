/*
 * capacity: how many concurrent requests an instance takes well, learned from
 * its own answers.
 *
 * Load pattern: the instances of a service differ. Some slow down long before
 * they are full, so that more requests only make all of them late; some
 * announce more slots than they serve; some never answer what they cannot
 * queue. What an instance takes also changes: it starts cold, turns slow,
 * recovers, is replaced.
 *
 * The limit starts at 0.95 of the announced slots, its upper bound, and
 * follows trials (flow/trial.h). A run time counts without the time of the
 * calls that the request made meanwhile, and against that of its route at low
 * concurrency.
 *
 * Harm: that of the trials; and while many requests are never answered, some
 * that would have been are given up.
 */
#ifndef SP_CAPACITY_H
#define SP_CAPACITY_H

#include "flow/flow.h"
#include "flow/trial.h"

/* Further routes share the statistics of the last one. */
#define SP_CAPACITY_ROUTES 32

typedef struct SpCapacityRoute {
    uint64_t hash; /* of its name */
    uint64_t answered;
    double mean_us;   /* smoothed run time */
    double weight_us; /* of its runs among those of all routes */
    double floor_us;  /* run time at low concurrency; 0: unknown */
    double window_us; /* sum of run times for the next step of floor_us */
    int window_n;
} SpCapacityRoute;

typedef struct SpCapacity {
    SpTrial trial; /* of its limit */
    SpCapacityRoute routes[SP_CAPACITY_ROUTES];
    int nroutes;
    SpTrialView since; /* the last step */
    int64_t at;        /* time of the last step; 0: none */
    uint64_t overdue;  /* number of overdue runs */
    double patience;   /* mean run times after which a run is overdue */
    int64_t lost_at;   /* time of the last request never answered; 0: none */
    uint64_t lifetime; /* number of the instance's lifetime */
} SpCapacity;

/* A run as it was started. */
typedef struct SpCapacityRun {
    int route;
    int ahead;         /* requests running at its start */
    uint64_t answered; /* of its route at its start */
    uint64_t lifetime; /* of the instance that runs it */
    int overdue;
} SpCapacityRun;

typedef enum {
    SP_RUN_ANSWERED,
    SP_RUN_REJECTED, /* the instance stated that it did not run */
    SP_RUN_LOST,     /* not answered, and given up */
    SP_RUN_NO_NEWS   /* ended for a reason of the caller or the network */
} SpRunEnd;

/* SpCapacity_Begin begins a lifetime of an instance with that many slots. */
void SpCapacity_Begin(SpCapacity *c, int slots);
/* SpCapacity_SetSlots changes the announced slots. */
void SpCapacity_SetSlots(SpCapacity *c, int slots);
void SpCapacity_Started(SpCapacity *c, const char *route, int ahead,
                        SpCapacityRun *r);
/* SpCapacity_Ended: own_us is the run time without nested calls. A lost run
   that had little time says nothing. */
void SpCapacity_Ended(SpCapacity *c, int64_t now, const SpCapacityRun *r,
                      SpRunEnd end, int64_t own_us);
/* SpCapacity_IsOverdue returns 1 if an unanswered run, after own_us without
   nested calls, is not expected to be answered: many later ones of its route
   were, in much less time. What became of earlier ones decides how much. */
int SpCapacity_IsOverdue(const SpCapacity *c, const SpCapacityRun *r,
                         int64_t own_us);
/* SpCapacity_Overdue records that a run is overdue. It returns 1 if it may be
   given up; some are to be waited for, to see whether they are answered. */
int SpCapacity_Overdue(SpCapacity *c, int64_t now, SpCapacityRun *r);
/* SpCapacity_Step is called periodically; returns 1 if a limit has changed. */
int SpCapacity_Step(SpCapacity *c, int64_t now, int running, int queued);
/* SpCapacity_Limit returns the learned limit. */
double SpCapacity_Limit(const SpCapacity *c);
/* SpCapacity_StartLimit returns the limit up to which requests are started
   now; firm: those that must not be lost. */
double SpCapacity_StartLimit(const SpCapacity *c, int64_t now, int firm);
/* SpCapacity_Floor returns the mean floor of the run times in microseconds; 0:
   unknown. */
double SpCapacity_Floor(const SpCapacity *c);

#endif
