/*
 * core: the state machine of one node.
 *
 * The core does no I/O and reads no clock. The daemon, or a test harness,
 * passes in each event with its time, and the core requests actions through
 * SpCoreOps. Those functions must not call back into the core.
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

/* An incoming call. The pointers must stay valid until SpCoreOps.done. */
typedef struct SpCall {
    SpSource source;
    const char *method;
    const char *path;
    const char *key; /* Idempotency-Key; NULL for none */
    uint64_t trace[2];
    uint64_t parent;    /* span of the caller's request; 0 none */
    int64_t timeout_us; /* time left; 0 none given, below 0 expired */
    int attempt;        /* of the caller; 0 for the first */
    /* class, slice, budget and from are used only with SP_FROM_NODE */
    int class, slice;
    int budget;       /* retries that may still be sent */
    const char *from; /* name of the sending node; NULL or "" none */
    const char *body;
    size_t body_len;
    void *user; /* passed to SpCoreOps, not used by the core */
} SpCall;

/* One transmission of a call, to the local instance or to a target. */
typedef struct SpSend {
    SpHandle request;
    uint32_t number;  /* of this transmission; returned with its reply */
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
    /* abort the run or send in flight; later replies to it are ignored */
    void (*cancel)(void *ctx, void *user);
    /* called at most once; not called for a caller that disconnected */
    void (*answer)(void *ctx, void *user, const SpAnswer *a);
    /* the call is freed; its pointers are no longer used */
    void (*done)(void *ctx, void *user);
    void (*peer)(void *ctx, const char *addr, const void *p, size_t n);
    /* append to a stream of the log; completed by SpCore_AppendDone */
    void (*append)(void *ctx, const char *stream, uint64_t tag, const char *p,
                   size_t n);
    /* read a stream; completed by SpCore_ReadDone */
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
    int64_t wall_offset; /* wall clock minus monotonic, microseconds */
    int slots;           /* 0: as set by the instance or the document */
    int64_t period_us;   /* of gossip; 0 for the default */
    const SpCoreOps *ops;
    void *ctx;
} SpCoreOpts;

/* SpAnswer_Init fills in the defaults for kind k from SpKind_Info. */
void SpAnswer_Init(SpAnswer *a, SpKind k);

#define SP_STREAM_CONFIG "config"
#define SP_STREAM_MEMBERS "members"
#define SP_CORE_TICK_US (10 * SP_MS)

typedef struct SpCore SpCore;

SpCore *SpCore_New(const SpCoreOpts *o, int64_t now);
void SpCore_Free(SpCore *c);
/* SpCore_Tick runs all timers; call it every SP_CORE_TICK_US. */
void SpCore_Tick(SpCore *c, int64_t now);

/* SpCore_Call accepts a call and returns its handle, or 0 if the call has
   already ended. */
SpHandle SpCore_Call(SpCore *c, int64_t now, const SpCall *call);
/* SpCore_RunDone reports the local instance's answer or the failure to get
 * one. */
void SpCore_RunDone(SpCore *c, int64_t now, SpHandle h, uint32_t number,
                    const SpAnswer *a);
/* SpCore_SendDone reports a target's answer or the failure to get one. */
void SpCore_SendDone(SpCore *c, int64_t now, SpHandle h, uint32_t number,
                     const SpAnswer *a);
/* SpCore_CallerLeft reports that the caller has disconnected. */
void SpCore_CallerLeft(SpCore *c, int64_t now, SpHandle h);

typedef enum { SP_INST_UP, SP_INST_COLD, SP_INST_LEAVING } SpInstState;

/* SpCore_InstanceAnnounced handles an announcement of the local instance. It
   expires unless renewed. */
void SpCore_InstanceAnnounced(SpCore *c, int64_t now, SpInstState st,
                              int slots);
/* SpCore_Drain applies an operator's command: 1 drains the node, 0 undoes
   it. */
void SpCore_Drain(SpCore *c, int64_t now, int on);
/* SpCore_Leave starts a graceful shutdown of this node. */
void SpCore_Leave(SpCore *c, int64_t now);
/* SpCore_Idle returns 1 if there are no unfinished requests. */
int SpCore_Idle(const SpCore *c);

/* SpCore_PeerMessage handles one message from a peer. */
void SpCore_PeerMessage(SpCore *c, int64_t now, const void *p, size_t n);

typedef struct SpRecord {
    int64_t offset;
    const char *p;
    size_t n;
} SpRecord;

/* SpCore_ReadDone reports the result of a read; ok is 0 if the log did not
   answer. */
void SpCore_ReadDone(SpCore *c, int64_t now, const char *stream, int ok,
                     int64_t oldest, int64_t next, const SpRecord *r,
                     size_t n);
/* SpCore_AppendDone reports the result of an append; ok is 0 if it is not
   known whether the record was written. */
void SpCore_AppendDone(SpCore *c, int64_t now, uint64_t tag, int ok);

/*
 * SpCore_Publish appends a publish record and returns its id, to be freed by
 * g_free. SpCore_PublishState returns what became of it; only recent ids are
 * remembered.
 */
char *SpCore_Publish(SpCore *c, int64_t now, int replaces, const char *by,
                     const char *reason, const char *text);
SpPublishState SpCore_PublishState(const SpCore *c, const char *id);

/* Read access for the administration interface. */
typedef struct SpCounters {
    uint64_t calls[3];              /* by source */
    uint64_t ended[SP_NKINDS];      /* answers by kind */
    uint64_t whole[SP_MAX_CLASSES]; /* successful answers, by class */
    uint64_t refused[SP_MAX_CLASSES];
    uint64_t runs, sends, retries, retries_denied, handoffs, replays, cancels;
    uint64_t peer_in, peer_out, peer_in_bytes, peer_out_bytes, peer_malformed;
    uint64_t log_reads, log_appends, log_failures;
} SpCounters;

const SpCounters *SpCore_Counters(const SpCore *c);
const SpMembers *SpCore_Members(const SpCore *c);
const SpVersions *SpCore_Versions(const SpCore *c);
const SpGate *SpCore_Gate(const SpCore *c);
const SpKeys *SpCore_Keys(const SpCore *c);
const SpRefusals *SpCore_Refusals(const SpCore *c);
SpEventLog *SpCore_EventLog(const SpCore *c);
const SpDoc *SpCore_Doc(const SpCore *c);
size_t SpCore_Requests(const SpCore *c);
int64_t SpCore_WallUs(const SpCore *c, int64_t now);
/* SpCore_RouteLevel returns the admission level that this node applies, as
   entry node, to a route. */
int SpCore_RouteLevel(const SpCore *c, const char *route);
const SpPicker *SpCore_Picker(const SpCore *c, const char *service);

#endif
