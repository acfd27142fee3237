/*
 * world: two to five instances of the decision library, joined by small
 * fakes: a queue of messages, a log and instances that count their runs.
 * There is one virtual clock and no model of machines or networks.
 */
#ifndef SP_WORLD_H
#define SP_WORLD_H

#include "core/core.h"

#define W_MAX_NODES 8

typedef struct World World;

/* What a caller was told. */
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
    const char *id; /* also the body: instances count runs by it */
    const char *method;
    const char *path;
    const char *key;
    int timeout_ms;
    int attempt;
    const char *body; /* NULL: the id */
    WResultCb cb;
    void *ctx;
} WCallOpts;

/* Shares of messages that suffer, each drawn by itself. */
typedef struct WFaults {
    double call_loss;        /* a call between nodes never arrives */
    double reply_loss;       /* it arrives, its answer does not */
    double call_duplication; /* it arrives twice */
    double delay_chance;     /* something comes late, by up to delay_us */
    int64_t max_delay_us;
    double gossip_loss; /* a gossip message */
    double gossip_duplication;
} WFaults;

World *World_New(uint64_t seed, int64_t tick_us);
void World_Free(World *w);
int64_t World_Now(const World *w);
/* World_Run lets virtual time pass. */
void World_Run(World *w, int64_t us);
uint64_t World_Rand(World *w);
double World_RandUnit(World *w);
void World_SetFaults(World *w, const WFaults *f);

/* World_Node adds a node and starts it; its instance is up at once. */
int World_Node(World *w, const char *name, const char *service,
               const char *zone, int slots);
int World_Find(const World *w, const char *name); /* -1: none */
int World_NodeCount(const World *w);
const char *World_NodeName(const World *w, int i);
SpCore *World_Core(const World *w, int i); /* NULL while killed */
/* World_Life counts the processes that node i has been. */
uint64_t World_NodeGeneration(const World *w, int i);
int World_IsPaused(const World *w, int i);
/* World_Kill ends node and instance; World_Start starts both anew. */
void World_Kill(World *w, int i);
void World_Start(World *w, int i);
void World_SetPaused(World *w, int i, int on);
void World_Leave(World *w, int i);
/* World_Instance: "up", "leaving" or "silent". */
void World_SetInstanceState(World *w, int i, const char *state);
void World_SetPartition(World *w, const char *zone_a, const char *zone_b,
                        int on);

/* The log: "up", "down" or "lose" (appends work, their answers are lost). */
void World_SetLogState(World *w, const char *state);
/* World_NoLog cuts one node off from the log. */
void World_SetLogBlocked(World *w, int i, int on);
/* World_Trim forgets all records of all streams but the last `keep`. */
void World_TrimLog(World *w, int keep);

/* What instances do: time of work and further calls by path. */
void World_SetWorkTime(World *w, const char *path, int ms);
/* World_Fail: instances answer 500 for the path. */
void World_SetFailing(World *w, const char *path, int on);
void World_Child(World *w, const char *path, const char *method,
                 const char *child);

void World_Call(World *w, int node, const WCallOpts *o);
/* World_Drop loses or doubles the next call or reply from a to b:
   "call", "reply" or "double". */
void World_FaultNextMessage(World *w, int a, int b, const char *what);
char *World_Publish(World *w, int node, int replaces, const char *reason,
                    const char *text);

/* Counts kept by the fakes. */
int World_RunCount(const World *w, const char *id, const char *path);
/* World_Doubles counts runs of a POST beyond the first of its id and path. */
int World_DuplicateRuns(const World *w);
int World_MismatchedAnswers(const World *w);
#endif
