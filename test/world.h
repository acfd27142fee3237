/*
 * world: a simulation of up to eight nodes that run the decision library.
 * Everything around the library is a fake: the network is a queue of
 * messages, the log is an array of records, and instances only count their
 * runs. One virtual clock drives all of it. Machines, bandwidth and packet
 * behaviour are not modelled.
 */
#ifndef SP_WORLD_H
#define SP_WORLD_H

#include "core/core.h"

#define W_MAX_NODES 8

typedef struct World World;

/* The answer that a simulated caller gets. */
typedef struct WResult {
    const char *id;
    SpKind kind;
    int status;
    SpOutcome outcome;
    const char *key;
    const char *body;
    size_t body_len;
} WResult;

typedef void (*WResultCb)(void *ctx, World *w, const WResult *r);

typedef struct WCallOpts {
    const char *id; /* request id; instances count runs by id and path */
    const char *method;
    const char *path;
    const char *key;
    int timeout_ms;
    int attempt;
    const char *body; /* NULL: the id is sent as the body */
    WResultCb cb;
    void *ctx;
} WCallOpts;

/* Message faults. Each rate is a probability from 0 to 1 that is drawn for
   every message independently of the other faults. */
typedef struct WFaults {
    double call_loss;        /* a call between nodes is not delivered */
    double reply_loss;       /* the call is delivered, its reply is not */
    double call_duplication; /* a call between nodes is delivered twice */
    double delay_chance;     /* a message is delayed, by up to max_delay_us */
    int64_t max_delay_us;
    double gossip_loss;
    double gossip_duplication;
} WFaults;

World *World_New(uint64_t seed, int64_t tick_us);
void World_Free(World *w);
/* Virtual time in microseconds. */
int64_t World_Now(const World *w);
/* World_Run advances the virtual clock and handles the events due by then. */
void World_Run(World *w, int64_t us);
uint64_t World_Rand(World *w);
/* World_RandUnit returns a random number in [0, 1). */
double World_RandUnit(World *w);
void World_SetFaults(World *w, const WFaults *f);

/* World_Node adds a node and starts it; its instance is up at once. */
int World_Node(World *w, const char *name, const char *service,
               const char *zone, int slots);
int World_Find(const World *w, const char *name); /* -1: none */
int World_NodeCount(const World *w);
const char *World_NodeName(const World *w, int i);
SpCore *World_Core(const World *w, int i); /* NULL while killed */
/* World_NodeGeneration changes whenever the process of node i is started or
   killed. */
uint64_t World_NodeGeneration(const World *w, int i);
int World_IsPaused(const World *w, int i);
/* World_Kill ends the processes of node and instance without a shutdown;
   World_Start starts new ones with no state. */
void World_Kill(World *w, int i);
void World_Start(World *w, int i);
/* A paused node handles no events; they are queued until it resumes. */
void World_SetPaused(World *w, int i, int on);
void World_Leave(World *w, int i);
/* World_SetInstanceState: "up", "leaving" or "silent". A silent instance
   sends no reports and cannot be reached. */
void World_SetInstanceState(World *w, int i, const char *state);
void World_SetPartition(World *w, const char *zone_a, const char *zone_b,
                        int on);

/* World_SetLogState: "up", "down" or "lose" (records are appended, but every
   append is reported as failed). */
void World_SetLogState(World *w, const char *state);
/* World_SetLogBlocked makes the log unreachable from one node. */
void World_SetLogBlocked(World *w, int i, int on);
/* World_TrimLog removes all but the newest `keep` records of each stream. */
void World_TrimLog(World *w, int keep);

/* What instances do for a path. World_SetWorkTime sets how long a run accepts,
   10 ms if unset. */
void World_SetWorkTime(World *w, const char *path, int ms);
/* World_SetFailing makes instances answer 500 for the path. */
void World_SetFailing(World *w, const char *path, int on);
/* World_Child makes each run of a path call another path. */
void World_Child(World *w, const char *path, const char *method,
                 const char *child);

void World_Call(World *w, int node, const WCallOpts *o);
/* World_FaultNextMessage applies one fault to the next message from node a to
   node b: "call" and "reply" lose it, "double" delivers the call twice. */
void World_FaultNextMessage(World *w, int a, int b, const char *what);
char *World_Publish(World *w, int node, int replaces, const char *reason,
                    const char *text);

/* Counters of the simulated instances and callers. */
int World_RunCount(const World *w, const char *id, const char *path);
/* World_DuplicateRuns counts runs of a POST beyond the first for the same id
   and path. */
int World_DuplicateRuns(const World *w);
/* World_MismatchedAnswers counts answers with status 200 whose body belongs
   to another request or is truncated. */
int World_MismatchedAnswers(const World *w);
#endif
