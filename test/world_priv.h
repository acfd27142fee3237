/* World: declarations shared by the files of the simulation. */
#ifndef SP_WORLD_PRIV_H
#define SP_WORLD_PRIV_H

#include "test/world.h"

#define MAX_PLANS 32

typedef struct Node Node;
typedef struct Call Call;
typedef struct Event Event;

struct Event {
    int64_t at;
    uint64_t order;
    void (*fire)(World *w, Event *e);
    int node; /* where it is handled; -1: at no node */
    /* The event is dropped if the node's generation has changed since. */
    uint64_t generation;
    int from;
    Call *call; /* holds a reference */
    uint32_t number;
    SpHandle h;
    char *p; /* a gossip message of n bytes */
    size_t n;
    SpAnswer *a;
    SpArena *arena; /* holds the answer */
    char stream[16];
    int64_t offset; /* in the log; of a call: its class */
    uint64_t tag;   /* of an append; of a call: its retry budget */
    int ok;         /* result of an append; of a call: its slice */
};

/* A call that is submitted to the core of one node. It is reference-counted,
   since scheduled events point to it. */
struct Call {
    int refs;
    int node; /* the node whose core handles it */
    uint64_t generation;
    SpHandle h; /* the core's handle; 0 once the call has ended */
    SpArena *arena;
    const char *id, *method, *path, *key, *body, *from;
    size_t body_len;
    /* set if another node sent the call */
    int sender_node;
    uint64_t sender_generation;
    SpHandle sender_handle;
    uint32_t sender_number;
    Call *sender; /* the sending node's call; NULL if it expects no answer */
    /* set if a simulated caller sent the call */
    WResultCb cb;
    void *ctx;
    /* set if an instance made the call: the call that it is running */
    Call *parent;
    /* work in progress for this call */
    Call *forwarded; /* its copy at the node that it was sent to */
    uint32_t run;    /* number of the run at the own instance; 0: none */
    uint64_t span;
    uint64_t trace[2];
    int64_t until; /* deadline of the run */
    int next_child;
};

struct Node {
    World *w;
    int index;
    char name[SP_NAME_BYTES], service[SP_NAME_BYTES], zone[SP_NAME_BYTES];
    char mesh[SP_ADDR_BYTES], peer[SP_ADDR_BYTES];
    SpCore *core;
    uint64_t generation; /* counts starts and kills of its process */
    int slots, paused, log_blocked;
    char instance_state[16];
    GQueue held_events; /* of Event; due while the node is paused */
    GPtrArray *calls;   /* of Call; ended when the process is killed */
    int drop_next_call[W_MAX_NODES], drop_next_reply[W_MAX_NODES],
        duplicate_next_call[W_MAX_NODES];
};

typedef struct Record {
    char *p;
    size_t n;
} Record;

typedef struct Stream {
    GArray *records; /* of Record; index 0 is offset `oldest` */
    int64_t oldest;
} Stream;

/* What instances do when they run a call of this path. */
typedef struct Plan {
    char path[SP_PATH_BYTES];
    int64_t work_time_us;
    int fails;
    char method[4][16], child[4][SP_PATH_BYTES];
    int nchildren;
} Plan;

struct World {
    int64_t now, tick_us;
    uint64_t order, rand;
    GArray *heap; /* of Event pointers, by time */
    Node nodes[W_MAX_NODES];
    int n;
    WFaults f;
    char partitions[16][2][SP_NAME_BYTES];
    int npartitions;
    GHashTable *streams;
    int log_down, log_drops_replies;
    Plan plans[MAX_PLANS];
    int nplans;
    GHashTable *runs; /* "id path" -> number of runs */
    int duplicate_runs, mismatched_answers;
};

/* world.c: events, clock, faults */
/* schedule returns an event that is due after a delay; node is where it is
   handled, or -1. */
Event *schedule(World *w, int64_t delay, void (*fire)(World *, Event *),
                int node);
void unref_call(Call *c);
Call *ref_call(Call *c);
/* chance returns 1 with probability p. */
int chance(World *w, double p);
/* latency returns the delay of one message, faults included. */
int64_t latency(World *w);
int is_partitioned(const World *w, int a, int b);

/* world_calls.c: calls and their answers */
Call *new_call(World *w, int node);
/* copy_answer copies an answer into the arena of an event. */
const SpAnswer *copy_answer(Event *e, const SpAnswer *a);
/* submit_call passes a call to the core of its node. */
void submit_call(World *w, Call *c, SpCall *sc);
void reply_to_sender(World *w, Call *c, const SpAnswer *a, int64_t delay);

/* world_instances.c: runs */
void start_next_child(World *w, Call *parent);
void finish_run(World *w, Call *c, int status, const char *why);
void fire_instance_report(World *w, Event *e);

/* world_log.c: the log */
/* trim drops the oldest records until keep are left. */
void trim(Stream *s, guint keep);

/* The functions of SpCoreOps. */
void on_answer(void *ctx, void *user, const SpAnswer *a);
void on_done(void *ctx, void *user);
void on_cancel(void *ctx, void *user);
void on_send(void *ctx, const SpSend *s);
void on_run(void *ctx, const SpSend *s);
void on_peer(void *ctx, const char *addr, const void *p, size_t n);
void on_append(void *ctx, const char *stream, uint64_t tag, const char *p,
               size_t n);
void on_read(void *ctx, const char *stream, int64_t from);

#endif
