/*
 * load: declarations shared by the files of spload.
 *
 *   spload.c      options, timer, end
 *   loadset.c     settings
 *   loadcall.c    calls and events
 *   loadreport.c  report, and the counts kept by spup
 */
#ifndef SP_STANDIN_LOAD_H
#define SP_STANDIN_LOAD_H

#include "call/call.h"
#include "conf/conf.h"

#define MAX_MIX 16
#define MAX_STEPS 32
#define MAX_PHASES 8
#define MAX_EVENTS 16
#define MAX_WINDOWS 4096
#define MAX_SAMPLES (1 << 20)

/* A kind of call, chosen with a probability in proportion to its weight. */
typedef struct Mix {
    char name[SP_NAME_BYTES];
    char method[16];
    char path[SP_PATH_BYTES];
    char route[SP_NAME_BYTES]; /* of a non-idempotent route; else "" */
    char class[SP_NAME_BYTES];
    double weight;
    int body_bytes;
    char contacts[64][SP_ADDR_BYTES];
    int ncontacts;
    SpCaller *caller;
    uint64_t sent, complete, attempts;
    float *ms; /* latencies of complete responses */
    size_t nsamples;
} Mix;

typedef struct Step {
    double seconds, rate;
} Step;

typedef struct Phase {
    char name[SP_NAME_BYTES];
    int from_ms, to_ms;
    uint64_t sent[MAX_MIX], complete[MAX_MIX];
    double busy_us, wasted_us; /* slot time: of all, and of failed requests */
} Phase;

/* A request to a simulator or a node at a given time. */
typedef struct Event {
    int at_ms;
    char addr[SP_ADDR_BYTES];
    char path[SP_PATH_BYTES];
    char token[128];
    char *body;
    int fired;
} Event;

/* Calls that started in a window; first_*: those of the class of mix[0]. */
typedef struct Window {
    uint32_t sent, complete, first_sent, first_complete;
} Window;

typedef struct Load {
    Mix mix[MAX_MIX];
    int nmix;
    Step steps[MAX_STEPS];
    int nsteps;
    Phase phases[MAX_PHASES];
    int nphases;
    Event events[MAX_EVENTS];
    int nevents;
    char control[SP_ADDR_BYTES];
    int retries, wait_ms, honor_retry_after, timeout_ms, window_ms,
        trigger_end_ms, seed;
    Window windows[MAX_WINDOWS];
    GHashTable *phase;   /* id -> number of its phase, from 1 */
    GHashTable *failed;  /* ids of calls without a complete response */
    GHashTable *kinds;   /* kind -> count */
    GHashTable *ran;     /* "id path" -> runs, as counted by spup */
    GHashTable *not_run; /* ids of calls that ended with outcome "not-run" */
    uint64_t sent, ended, complete, foreign, truncated, ended_not_run,
        false_not_run;
    uint64_t double_runs;
    double busy_us, wasted_us;
    int64_t started_at;
    double next_at; /* us since started_at */
    uint64_t rand, ids;
    int done;
    uv_loop_t *loop;
    SpWeb *web;
    uv_timer_t tick;
    const char *series;
    int pending_fetches;
} Load;

extern Load ld;

/* loadset.c */
/* load_settings reads the file; returns 0 if it has errors, which it prints.
 */
int load_settings(const char *file);

/* loadcall.c */
/* send_one starts a call; at_us is its time since started_at. */
void send_one(int64_t at_us);
void send_event(Event *e);

/* loadreport.c */
/* fetch_counts reads the counts of spup, and ends the loop. */
void fetch_counts(void);
void report(void);

#endif
