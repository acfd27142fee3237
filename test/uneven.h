/*
 * uneven: replays under a virtual clock. Callers offer requests to instances
 * that are a function of their speed, their room and the knee from which on
 * each request more slows down all of them; flow/ limits and places them.
 */
#ifndef SP_TEST_UNEVEN_H
#define SP_TEST_UNEVEN_H

#include "flow/capacity.h"

#define MAX_NODES 3

typedef struct Model {
    double speed;
    int knee;    /* more running requests than this slow each other down */
    int room;    /* more than this are never answered, or rejected */
    int rejects; /* 1: what has no room is rejected */
    double reject_share; /* of its requests, whatever its load */
    double nested_ms;    /* time of the calls that each request makes */
} Model;

typedef struct Node {
    Model m;
    int slots; /* announced */
    SpLimiter l;
    SpCapacity c;
    SpUpstream u;
    GQueue runs; /* of Run: at the instance */
    int active;  /* of runs, those that it works on */
} Node;

typedef struct Run {
    SpLimiterReq req;
    SpCapacityRun start;
    Node *node;
    double left_ms, nested_ms; /* of work, of nested calls */
    int hung, done;
    GList link;
} Run;

/* How instances are chosen, and what limits them. */
typedef enum {
    FIXED_SLOTS,
    ANNOUNCED_WEIGHTS,
    RUN_TIMES,
    LEARNED,
    KNOWN, /* the limit is the knee */
    NWAYS
} Way;

typedef struct Sim {
    Way way;
    Node nodes[MAX_NODES];
    int nnodes;
    int64_t now;
    uint64_t rand;
    double per_s, due;
    double offered, in_time, lost, run_us, runs;
} Sim;

extern Sim sim;

/* begin begins a replay, finish ends it. */
void begin(Way way);
void finish(void);
Node *add_node(const Model *m, int slots);
/* begin_lifetime: a new instance, at the present slots. */
void begin_lifetime(Node *n);
/* clear_runs ends what is running and queued. */
void clear_runs(Node *n);
/* run_for lets seconds pass, with that many requests a second. */
void run_for(double s, double per_s);
/* mean_limit returns the mean learned limit while that load is offered. */
double mean_limit(const Node *n, double s, double per_s);
/* seconds_until returns the seconds until the learned limit is within a
   quarter of want; limit if it takes longer. */
double seconds_until(const Node *n, double want, double limit, double per_s);
/* rate_of returns the requests a second at which so many run at once, without
   a queue. */
double rate_of(const Model *m, double running);

#endif
