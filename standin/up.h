/*
 * up: declarations shared by the files of spup, which simulates upstream
 * instances, many in one process.
 *
 *   spup.c   options, start, announcements of the instances
 *   upset.c  settings
 *   upjob.c  requests and their runs
 *   upctl.c  the control address: counts, and faults
 *
 * A request takes a slot, works for a time drawn from a distribution, makes
 * child calls to other services through the node's outbound listener, and gets
 * a response with a checksum. It holds the slot until it ends. spup counts the
 * runs of each request, independently of the nodes, so that double runs are
 * detected.
 */
#ifndef SP_STANDIN_UP_H
#define SP_STANDIN_UP_H

#include "conf/conf.h"
#include "web/web.h"

#define MAX_INSTANCES 1024
#define MAX_ROUTES 128
#define MAX_CALLS 8

typedef struct ChildCall {
    char method[16];
    char path[SP_PATH_BYTES];
    int optional;
} ChildCall;

typedef struct Route {
    char method[16];
    char path[SP_PATH_BYTES];
    char dist[16]; /* const, exp or lognormal */
    double work_ms;
    int bytes; /* of padding in the response */
    int once;  /* 1: runs are counted by request id */
    ChildCall calls[MAX_CALLS];
    int ncalls;
    int parallel;
} Route;

typedef struct Instance {
    char name[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    char listen[SP_ADDR_BYTES];
    char outbound[SP_ADDR_BYTES];
    int slots, queue;
    int cold_ms; /* time after the start during which it is slower */
    double cold_factor;
    /* set through the control address */
    double slow; /* factor on the work time */
    double fail; /* share of requests that fail */
    char state[16];
    int silent; /* 1: sends no announcements */
    int running;
    GQueue waiting; /* of Job */
    int64_t started_at;
    uint64_t runs, sheds, lates, cancels, peak;
    int64_t busy_us;
    int64_t last_run;
} Instance;

typedef struct Up {
    Instance list[MAX_INSTANCES];
    int n;
    Route routes[MAX_ROUTES];
    int nroutes;
    char control[SP_ADDR_BYTES];
    GHashTable *once; /* id and path -> count */
    GHashTable *work; /* id -> slot time in us, as int64 */
    uint64_t double_runs, foreign;
    uint64_t rand;
    uv_loop_t *loop;
    SpWeb *web;
} Up;

extern Up up;

/* upset.c: reads the settings; prints what is wrong and returns 0 if they
   cannot be used. */
int load_settings(const char *file);

/* upjob.c: handlers of an instance, which is ctx. */
void on_request(void *ctx, SpWebReq *web);
void on_disconnect(void *ctx, SpWebReq *web);

/* upctl.c: handler of the control address. */
void on_control(void *ctx, SpWebReq *web);

/* spup.c: tells the node beside an instance its state. */
void announce(Instance *in);

#endif
