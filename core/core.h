/*
 * core: the decisions of one node, put together.
 *
 * It reads no clock and opens no socket. The daemon (or a test with fakes)
 * tells it what happened, with the time, and it asks through a table of
 * functions for what is to be done. Nothing is called back into it from
 * within those functions.
 *
 * A call passes a chain of filters: control, config, route, deadline,
 * classify, key, admit, place. After that it waits in the gate's queue, runs
 * in the node's own instance, or is sent to a target.
 */
#ifndef SP_CORE_H
#define SP_CORE_H

#include "core/gate.h"
#include "core/keys.h"
#include "core/line.h"
#include "core/members.h"
#include "core/pick.h"
#include "core/refusals.h"
#include "core/version.h"

typedef enum { SP_FROM_CALLER, SP_FROM_NODE, SP_FROM_INSTANCE } SpSource;

/* A call as it arrives. The pointers stay valid until it is answered. */
typedef struct SpCall {
    SpSource source;
    const char *method;
    const char *path;
    const char *key; /* Idempotency-Key; NULL for none */
    uint64_t trace[2];
    uint64_t parent;    /* span of the caller's request; 0 none */
    int64_t timeout_us; /* time left; 0 none given */
    int attempt;        /* 0 for the first, as the caller says */
    /* the rest only counts from a node */
    int class, slice;
    int budget;       /* retries that may still be sent */
    const char *from; /* name of that node */
    const char *body;
    size_t body_len;
    void *user; /* the daemon's */
} SpCall;

/* One send of a call, to the own instance or to a target. */
typedef struct SpSend {
    SpHandle request;
    uint32_t number;  /* of this send; comes back with its reply */
    const char *mesh; /* address of the target's node */
    const char *method;
    const char *path;
    const char *key;
    uint64_t trace[2];
    uint64_t span;
    int64_t timeout_us;
    int class, slice, budget;
    const char *body;
    size_t body_len;
    void *user;
} SpSend;

typedef struct SpCoreOps {
    void (*run)(void *ctx, const SpSend *s);
    void (*send)(void *ctx, const SpSend *s);
    /* end the run or send in flight; no reply is taken for it any more */
    void (*cancel)(void *ctx, void *user);
    /* the answer, once at most: none is due to a caller that left */
    void (*answer)(void *ctx, void *user, const SpAnswer *a);
    /* the call is forgotten; its pointers are not used any more */
    void (*done)(void *ctx, void *user);
    void (*peer)(void *ctx, const char *addr, const void *p, size_t n);
    /* append to a stream of the log; replied by SpCore_Appended */
    void (*append)(void *ctx, const char *stream, uint64_t tag, const char *p,
                   size_t n);
    /* read a stream; replied by SpCore_Read */
    void (*read)(void *ctx, const char *stream, int64_t from);
    void (*event)(void *ctx, const SpEvent *e);
} SpCoreOps;

typedef struct SpCoreOpts {
    char name[SP_NAME_BYTES];
    char zone[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    char mesh[SP_ADDR_BYTES];
    char peer[SP_ADDR_BYTES];
    char contacts[SP_MAX_CONTACTS][SP_ADDR_BYTES];
    int ncontacts;
    uint64_t inc; /* unique for this process */
    uint64_t seed;
    int64_t wall_offset; /* wall clock less monotonic, microseconds */
    int slots;           /* 0: as the instance or the document says */
    int64_t period_us;   /* of gossip; 0 for the usual */
    const SpCoreOps *ops;
    void *ctx;
} SpCoreOpts;

/* SpAnswer_Init fills in what the table of kinds says of k. */
void SpAnswer_Init(SpAnswer *a, SpKind k);

#define SP_STREAM_CONFIG "config"
#define SP_STREAM_MEMBERS "members"
#define SP_CORE_TICK_US (10 * SP_MS)

typedef struct SpCore SpCore;

SpCore *SpCore_New(const SpCoreOpts *o, int64_t now);
void SpCore_Free(SpCore *c);
void SpCore_Tick(SpCore *c, int64_t now);

/* SpCore_Call takes a call; its handle is 0 if it was answered at once. */
SpHandle SpCore_Call(SpCore *c, int64_t now, const SpCall *call);
/* SpCore_Ran: the own instance's answer, or the failure to get one. */
void SpCore_Ran(SpCore *c, int64_t now, SpHandle h, uint32_t number,
                const SpAnswer *a);
/* SpCore_Replied: a target's answer, or the failure to get one. */
void SpCore_Replied(SpCore *c, int64_t now, SpHandle h, uint32_t number,
                    const SpAnswer *a);
/* SpCore_Left: the caller is gone; no answer is due. */
void SpCore_Left(SpCore *c, int64_t now, SpHandle h);

typedef enum { SP_INST_UP, SP_INST_COLD, SP_INST_LEAVING } SpInstState;

/* SpCore_Instance: the instance announces itself; to be renewed. */
void SpCore_Instance(SpCore *c, int64_t now, SpInstState st, int slots);
/* SpCore_Drain: an operator's wish; 1 drains, 0 takes work again. */
void SpCore_Drain(SpCore *c, int64_t now, int on);
/* SpCore_Leave starts the graceful stop of this node. */
void SpCore_Leave(SpCore *c, int64_t now);
/* SpCore_Idle: 1 if nothing is left to finish. */
int SpCore_Idle(const SpCore *c);

void SpCore_Peer(SpCore *c, int64_t now, const void *p, size_t n);

typedef struct SpRecord {
    int64_t offset;
    const char *p;
    size_t n;
} SpRecord;

/* SpCore_Read: what a read found; ok 0 if the log did not answer. */
void SpCore_Read(SpCore *c, int64_t now, const char *stream, int ok,
                 int64_t oldest, int64_t next, const SpRecord *r, size_t n);
/* SpCore_Appended: ok 0 if it is not known whether it took effect. */
void SpCore_Appended(SpCore *c, int64_t now, uint64_t tag, int ok);

/*
 * Publishing. The answer comes through SpCore_Published: the id stays known
 * for some time.
 */
char *SpCore_Publish(SpCore *c, int64_t now, int replaces, const char *by,
                     const char *reason, const char *text);
SpPubState SpCore_Published(const SpCore *c, const char *id);

/* Views for the administration. */
typedef struct SpCounters {
    uint64_t calls[3];              /* by source */
    uint64_t ended[SP_NKINDS];      /* answers by kind */
    uint64_t whole[SP_MAX_CLASSES]; /* answers served, by class */
    uint64_t refused[SP_MAX_CLASSES];
    uint64_t runs, sends, retries, retries_denied, handoffs, replays, cancels;
    uint64_t peer_in, peer_out, peer_in_bytes, peer_out_bytes, peer_bad;
    uint64_t log_reads, log_appends, log_failures;
} SpCounters;

const SpCounters *SpCore_Counters(const SpCore *c);
const SpMembers *SpCore_Members(const SpCore *c);
const SpVersions *SpCore_Versions(const SpCore *c);
const SpGate *SpCore_Gate(const SpCore *c);
const SpKeys *SpCore_Keys(const SpCore *c);
const SpRefusals *SpCore_Refusals(const SpCore *c);
SpLine *SpCore_Line(const SpCore *c);
const SpDoc *SpCore_Doc(const SpCore *c);
size_t SpCore_Requests(const SpCore *c);
int64_t SpCore_Wall(const SpCore *c, int64_t now);
/* SpCore_RouteLevel: the level in force here for entries of a route. */
int SpCore_RouteLevel(const SpCore *c, const char *route);
const SpPick *SpCore_Pick(const SpCore *c, const char *service);

#endif
