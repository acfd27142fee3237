/*
 * state: declarations shared by the files of core; not part of its interface.
 */
#ifndef SP_STATE_H
#define SP_STATE_H

#include "core/core.h"

#define SP_MAX_TRIED 6

typedef enum {
    SP_REQ_NEW,
    SP_REQ_QUEUED,  /* in the gate's queue */
    SP_REQ_RUNNING, /* in the local instance */
    SP_REQ_SENT,    /* to a target */
    SP_REQ_PARKED   /* waits for another request with the same key */
} SpReqState;

/* The admission level of a route or a service, as learnt from answers. */
typedef struct SpLevelView {
    double level;   /* requests with a rank below it are admitted */
    int64_t at;     /* time of the last answer that carried a level */
    int unanswered; /* admitted requests that are not answered yet */
} SpLevelView;

typedef struct SpReq {
    SpHandle self;
    SpCall call;
    SpReqState state;
    SpHandle parent;
    uint64_t span;
    int64_t arrived, deadline, started;
    char route[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    int class, slice;
    int idempotent, optional;
    int budget;            /* retries left for this node and downstream */
    int budget_sent;       /* retries passed on with the send in flight */
    int level;             /* lowest level that an answer carried; -1 none */
    int downstream_failed; /* a call that this request made has failed */
    int maybe_ran;         /* it may have run, here or at some target */
    int handoffs;          /* resends that cost no retry */
    int retried;           /* sends that were retries */
    int keyed;             /* has a bound key */
    int caller_key;        /* the caller supplied a bound key */
    int own_key; /* the key is bound here and unknown to the caller */
    SpBoundKey key;
    char key_text[SP_KEY_TEXT];
    uint64_t digest;
    int admitted;    /* counted in SpLevelView.unanswered of its route */
    int detached;    /* no caller waits for the answer */
    uint32_t number; /* of the run or send in flight */
    int sends;
    SpHandle target;
    char tried[SP_MAX_TRIED][SP_NAME_BYTES];
    int ntried;
    SpHandle entry; /* in the gate's queue */
    SpHandle next_parked;
    SpHandle parked; /* head of the list of requests waiting for its key */
} SpReq;

struct SpCore {
    SpCoreOpts o;
    SpCounters counters;
    SpTable *reqs;
    GHashTable *by_span; /* uint64 -> SpHandle of a running request */
    GHashTable *by_key;  /* key text -> SpHandle, for keys of this home */
    SpGate *gate;
    SpKeys *keys;
    SpMembers *members;
    SpVersions *versions;
    SpEventLog *event_log;
    SpRefusals *refusals;
    int overloaded;     /* the gate's level is below SpCore_MaxLevel */
    int64_t summary_at; /* time of the last summary of refusals */
    uint64_t summary_ended[SP_NKINDS];
    GHashTable *pickers;       /* service name -> SpPicker */
    GHashTable *route_views;   /* route name -> SpLevelView */
    GHashTable *service_views; /* service name -> SpLevelView */
    GHashTable *senders;       /* node name -> int64 of its last call */
    const SpDoc *doc;
    uint64_t rand, span_seed;
    int64_t ticked_at;
    int64_t stall;    /* how long the process was stopped before this tick */
    int64_t event_at; /* time of the event being handled */
    int64_t views_ticked_at;
    double retry_tokens;

    SpInstState inst;
    int64_t inst_announced_at; /* last announcement; -1 none */
    int inst_slots;
    int drained;
    int64_t leaving_at; /* 0 if not leaving */
    int stopping;

    int caught_up;       /* the last read reached the end of the stream */
    int version_pending; /* a version from the log waits for caught_up */
    int64_t next_read, next_announce, next_members, next_config_request,
        next_keep;
    int log_ok;
    int64_t members_offset; /* next offset of the members stream */
    uint64_t tag;
};

/* call.c */
void SpReq_End(SpCore *c, int64_t now, SpReq *r, const SpAnswer *a);
void SpReq_Refuse(SpCore *c, int64_t now, SpReq *r, SpKind k);
/* send.c */
void SpReq_Send(SpCore *c, int64_t now, SpReq *r);
/*
 * SpCore_BindKey makes a key bound to a target whose clock is recent enough;
 * returns the target, or 0 if there is none.
 */
SpHandle SpCore_BindKey(SpCore *c, int64_t now, SpPicker *p,
                        const char *const *avoid, int navoid, SpBoundKey *k);
SpPicker *SpCore_GetPicker(SpCore *c, const char *service);
/* SpReq_AbandonSend gives up on the answer to the send in flight. */
void SpReq_AbandonSend(SpCore *c, SpReq *r);
/* run.c */
void SpReq_Run(SpCore *c, int64_t now, SpReq *r);
/* SpReq_OutlivesCaller returns 1 if the run continues when no caller waits. */
int SpReq_OutlivesCaller(const SpCore *c, const SpReq *r);
void SpReq_FillSend(SpCore *c, SpReq *r, int64_t now, SpSend *s);
void SpReq_PlaceLocal(SpCore *c, int64_t now, SpReq *r);
/* SpCore_DispatchQueue starts the queued requests that the gate lets run and
   refuses those that it sheds or that are late. */
void SpCore_DispatchQueue(SpCore *c, int64_t now);
void SpReq_CancelRun(SpCore *c, int64_t now, SpReq *r);
/* views.c */
SpLevelView *SpCore_GetLevelView(GHashTable *views, const char *name);
void SpLevelView_Update(SpLevelView *v, int64_t now, int level);
/* SpCore_MaxLevel returns the level that admits all ranks. */
int SpCore_MaxLevel(const SpCore *c);
void SpCore_TickViews(SpCore *c, int64_t now);
/* inst.c */
void SpCore_ConfigureGate(SpCore *c);
void SpCore_UpdateSelf(SpCore *c, int64_t now);
void SpCore_CheckInstance(SpCore *c, int64_t now);
/* share.c */
extern const SpMembersOps SpCore_MembersOps;
/* SpCore_ScheduleKeep schedules this node's next keep record. */
void SpCore_ScheduleKeep(SpCore *c, int64_t now);
void SpCore_TickLog(SpCore *c, int64_t now);
/* core.c */
int64_t SpCore_WallMs(const SpCore *c, int64_t now);
int SpCore_AcceptsCalls(const SpCore *c, int64_t now);
/* SpCore_Stall returns how long an incoming call may have waited unread
   because the process was stopped; normally 0. */
int64_t SpCore_Stall(const SpCore *c, int64_t now);
int SpCore_IsLeaving(const SpCore *c);
void SpCore_Event(SpCore *c, int64_t now, const char *kind, const char *fmt,
                  ...) G_GNUC_PRINTF(4, 5);
SpReq *SpCore_Req(const SpCore *c, SpHandle h);
/* SpAnswer_SetSender fills in the name, clock, load and leaving flag of this
   node. */
void SpAnswer_SetSender(const SpCore *c, int64_t now, SpAnswer *a);
int SpReq_Rank(const SpReq *r);

#endif
