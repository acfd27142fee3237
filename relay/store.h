/*
 * store: definitions shared by the files that call the platform's store, which
 * holds the configuration and a record of each node. There are two tasks, each
 * with at most one call in progress.
 *
 *   store.c     the tasks: calls, time limits, delays after failures
 *   register.c  registers this node, and lists the others
 *   follow.c    follows the configuration
 */
#ifndef SP_STORE_H
#define SP_STORE_H

#include "relay/relay.h"

#define SP_CALL_TIMEOUT_US (2 * SP_SEC)
/* A long read that is not answered this long after its end has failed. As the
   store may be slow, the time is SP_CALL_TIMEOUT_US after a failure, until an
   answer comes in time. */
#define SP_READ_SLACK_US (600 * SP_MS)
/* Time after the start of a node to learn of the others before it decides
   whether to follow. */
#define SP_FOLLOW_DELAY_US (1 * SP_SEC)

typedef enum { STEP_REGISTER, STEP_LIST, STEP_IDLE } NodesStep;
typedef enum { STEP_NEWEST, STEP_FOLLOW, STEP_FROM_PEERS } ConfigStep;

/* Reasons for the calls to the store. */
typedef enum {
    CALL_REGISTER,
    CALL_LIST,
    CALL_NEWEST,
    CALL_FOLLOW,
    NCALLS
} CallReason;

/* A sequence of calls, one at a time, with a backoff after a failure. */
typedef struct Task {
    Store *s;
    const char *name;
    SpExchange *x;
    int64_t deadline; /* deadline of the call in progress */
    int64_t next_at;  /* earliest start of the next call */
    int64_t backoff_us;
    int64_t slack_us; /* for the answer of a long read after its end */
    int failing;
    void (*start)(struct Task *t);
    /* returns 0 if the answer is unusable */
    int (*handle)(struct Task *t, const SpMsg *m);
    int step;
    int64_t offset;  /* of the next read in the stream */
    char after[256]; /* last key of the previous page; empty: first page */
} Task;

struct Store {
    Relay *n;
    SpPool *pool;
    Task nodes, config;
    int registered;    /* 1: the store has the record of this node */
    int may_skip_list; /* 1: the next list is not read if there are links */
    uint64_t calls[NCALLS], failed;
};

/* send_store_call sends the request in s; handle gets its answer. */
void send_store_call(Task *t, CallReason why, const GString *s,
                     int64_t timeout_us);
/* note_last_key sets the page from which the next call goes on. */
void note_last_key(Task *t, const SpRecords *rs);
void free_records(SpRecords *rs);

/* register.c: start and handle of the nodes task */
void start_nodes(Task *t);
int handle_nodes(Task *t, const SpMsg *m);

/* follow.c: start and handle of the configuration task */
void start_config(Task *t);
int handle_config_records(Task *t, const SpMsg *m);
/* update_follower stops following if there are enough followers, and starts
   again with the newest records if there are not. */
void update_follower(Task *t, int64_t now);

#endif
