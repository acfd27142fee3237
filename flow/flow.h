/*
 * flow: decisions on requests as they pass a relay: which route, which part
 * of a split, which upstream instance, whether to wait or to be turned away,
 * whether to retry.
 *
 * Nothing here reads a clock or opens a socket: times are arguments, in
 * microseconds of the caller's monotonic clock.
 */
#ifndef SP_FLOW_H
#define SP_FLOW_H

#include "base/base.h"

#define SP_FLOW_NAME 64
#define SP_MAX_RANKS 4 /* higher ones count as the last */
/* In each rank, work under way goes before new work. */
#define SP_LANES (2 * SP_MAX_RANKS)

/*
 * Routes: the configuration in force.
 */
#define SP_MAX_PARTS 8

typedef struct SpPart {
    char service[SP_FLOW_NAME];
    double weight;
    double credit; /* of the smooth weighted turn */
} SpPart;

typedef struct SpPathRoute {
    char name[SP_FLOW_NAME];
    char host[256];
    char prefix[256]; /* begins and ends with a slash */
    SpPart parts[SP_MAX_PARTS];
    int nparts;
    int idempotent;
    int attempts; /* upstream instances that one attempt may be sent to */
    int rank;     /* 0 is shed last */
    int64_t timeout_us;
    int64_t aim_us; /* the time within which an answer is worth most */
} SpPathRoute;

typedef struct SpRouteLimits {
    int64_t header_bytes, body_bytes;
    int64_t header_us, idle_us;
} SpRouteLimits;

/* What is configured for the instances of a service. */
typedef struct SpServiceConf {
    int connections; /* that an instance accepts; 0 if not told */
    char check[128]; /* path of its status check; empty if it has none */
} SpServiceConf;

/* A configuration; counted references keep it while requests use it. */
typedef struct SpRoutes {
    uint64_t version;
    SpRouteLimits limits;
    GHashTable *hosts;    /* name to GPtrArray of SpPathRoute, longest first */
    GHashTable *services; /* name to SpServiceConf */
    char *text;           /* as it was published */
    size_t text_len;
    int refs;
} SpRoutes;

SpRoutes *SpRoutes_New(uint64_t version);
SpRoutes *SpRoutes_Ref(SpRoutes *rs);
void SpRoutes_Unref(SpRoutes *rs);
/* SpRoutes_Add takes a copy of *r. */
void SpRoutes_Add(SpRoutes *rs, const SpPathRoute *r);
/* SpRoutes_Find: host may carry a port; NULL if no route matches. */
SpPathRoute *SpRoutes_Find(const SpRoutes *rs, const char *host,
                           const char *path);
guint SpRoutes_Count(const SpRoutes *rs);
/* SpRoutes_SetService takes a copy of *c. */
void SpRoutes_SetService(SpRoutes *rs, const char *name,
                         const SpServiceConf *c);
/* SpRoutes_Service returns NULL if nothing is configured. */
const SpServiceConf *SpRoutes_Service(const SpRoutes *rs, const char *name);
/* SpPathRoute_Part takes the next part in turn, in proportion to weights. */
const char *SpPathRoute_Part(SpPathRoute *r);

/*
 * Limiter: the requests that wait for the own instance and run in it. Higher
 * ranks go first; within a rank, work that others wait for goes before new
 * work, then first come, first served. A request is turned away at once when
 * it could not be answered in time.
 */
typedef struct SpTurn {
    GList link; /* data points to the turn */
    int rank;
    int begun; /* 1: other work, already under way, waits for it */
    int lane;  /* the queue it waits in */
    int64_t arrived;
    int64_t deadline;
    int queued;
    int running;
    int64_t started; /* while running */
    void *user;
} SpTurn;

typedef enum { SP_TURN_RUN, SP_TURN_WAIT, SP_TURN_REFUSE } SpTurnState;

typedef struct SpLimiter {
    int slots;    /* as the instance says */
    double limit; /* requests that may run at a time */
    int running;
    int queued;
    GQueue queue[SP_LANES];
    double run_us;  /* smoothed time of one run, a guess before the first */
    int measured;   /* runs that it is from, up to a bound */
    int64_t starts; /* sum of the start times of those that run */
} SpLimiter;

void SpLimiter_Init(SpLimiter *l);
void SpLimiter_SetSlots(SpLimiter *l, int slots);
/* SpLimiter_Assume sets the limit of an instance that has not told its slots
   yet. */
void SpLimiter_Assume(SpLimiter *l, double limit);
/* SpLimiter_Offer: on SP_TURN_RUN it counts as running. */
SpTurnState SpLimiter_Offer(SpLimiter *l, int64_t now, SpTurn *t);
/* SpLimiter_Next takes the next to run; NULL if none may. */
SpTurn *SpLimiter_Next(SpLimiter *l, int64_t now);
/* SpLimiter_Late takes a waiting one that can no longer be in time. */
SpTurn *SpLimiter_Late(SpLimiter *l, int64_t now);
/* SpLimiter_End ends a turn, queued or running; ran_us < 0: no sample. */
void SpLimiter_End(SpLimiter *l, int64_t now, SpTurn *t, int64_t ran_us);
/* SpLimiter_Told is what other nodes hear of it: 0 before any run has ended
   and while few are under way. */
double SpLimiter_Told(const SpLimiter *l, int64_t now);
/* SpLimiter_Wait is the time a new request in a lane would wait. */
int64_t SpLimiter_Wait(const SpLimiter *l, int64_t now, int lane);

/*
 * Admission: which share of the new work of each rank a service takes.
 */
typedef struct SpShares {
    double of[SP_MAX_RANKS]; /* 0 to 1 */
} SpShares;

SpShares SpShares_All(void);
/* SpRank_Index is the place of a rank in tables: higher ones count as the
   last. */
int SpRank_Index(int rank);
/* SpShares_Min lowers each share of s to that of t. */
void SpShares_Min(SpShares *s, const SpShares *t);
/* Shares as one number, in 255ths, for messages between nodes. */
uint32_t SpShares_Pack(const SpShares *s);
SpShares SpShares_Unpack(uint32_t v);

/* What is offered to an instance, by rank, and what it has room for, both in
   slots. */
typedef struct SpDemand {
    double offered[SP_MAX_RANKS];
    double room;
} SpDemand;

typedef struct SpAdmission {
    SpShares shares;              /* what the service takes */
    double arrived[SP_MAX_RANKS]; /* offered requests since the last step */
    double rate[SP_MAX_RANKS];    /* smoothed, of them a second */
    SpDemand own;                 /* at this instance, as of the last step */
    int64_t at;
} SpAdmission;

void SpAdmission_Init(SpAdmission *a);
/*
 * SpAdmission_Arrived counts a request that reached the node. share is the
 * share by which its entry admitted the work that it belongs to: it stands
 * for 1/share of what was offered.
 */
void SpAdmission_Arrived(SpAdmission *a, int rank, double share);
/* SpAdmission_Shed takes one back that the instance turned away itself: it
   filled no slot. */
void SpAdmission_Shed(SpAdmission *a, int rank, double share);
/*
 * SpAdmission_Step works the shares out anew, if it is time for it. others is
 * the sum over the other instances of the service.
 */
void SpAdmission_Step(SpAdmission *a, int64_t now, const SpLimiter *l,
                      const SpDemand *others);
void SpDemand_Add(SpDemand *sum, const SpDemand *d);

/*
 * Paths: what the services behind a route admit.
 */
typedef struct SpPaths SpPaths;

SpPaths *SpPaths_New(void);
void SpPaths_Free(SpPaths *ps);
/* SpPaths_Called notes that a run of a route called another one. */
void SpPaths_Called(SpPaths *ps, int64_t now, const char *route,
                    const char *child);
/* SpPaths_Told notes what an answer on a route said of its path. */
void SpPaths_Told(SpPaths *ps, int64_t now, const char *route,
                  const SpShares *s);
/* SpPaths_None notes that no instance takes work on a route just now. */
void SpPaths_None(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_Shares is what the path of a route admits, as last told. */
SpShares SpPaths_Shares(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_Behind is the least of what the routes that it calls admit. */
SpShares SpPaths_Behind(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_Sized notes the bytes of a request on a route and its answer. */
void SpPaths_Sized(SpPaths *ps, const char *route, size_t bytes);
/* SpPaths_Bytes is the usual number of them; 0 if not known. */
double SpPaths_Bytes(SpPaths *ps, const char *route);

/*
 * Chooser: which instance of a service takes the next request.
 */
typedef enum {
    SP_TAKES_NONE, /* no request */
    SP_TAKES_LAST, /* only what no other can take: it is about to stop */
    SP_TAKES_ALL
} SpTakes;

typedef struct SpUpstream {
    char name[SP_FLOW_NAME]; /* of the node beside it */
    int near;                /* 1: in the own zone */
    SpTakes takes;
    double limit;    /* requests that it runs at a time */
    int busy;        /* running and waiting there, as last told */
    SpDemand demand; /* as last told */
    int mine;        /* sent from here and not answered */
    int mine_told;   /* mine when busy was told */
    double run_us;   /* smoothed, as last told; 0: not known yet */
    int64_t sent_at; /* of the last request from here */
    int fails;       /* in a row */
    int64_t bad_until;
    void *user;
} SpUpstream;

/* tried lists the instances that the request was already sent to. */
typedef struct SpChoice {
    int64_t now;
    int64_t far_us; /* what another zone costs, beside the time of the run */
    SpUpstream *const *tried;
    int ntried;
    uint64_t *rand;
} SpChoice;

/* SpChooser_Pick takes the cheapest of n; NULL if none takes requests. */
SpUpstream *SpChooser_Pick(SpUpstream *const *list, guint n,
                           const SpChoice *ch);
/* SpChooser_Far is what another zone costs a request of so many bytes, whose
   answer is worth most within aim_us (0: no such time). */
int64_t SpChooser_Far(double bytes, int64_t aim_us);
void SpUpstream_Sent(SpUpstream *u, int64_t now);
/* SpUpstream_Ended: ok 0 counts a failure against it. */
void SpUpstream_Ended(SpUpstream *u, int64_t now, int ok);

/*
 * Retries: a share of what this node sends for the first time, over a
 * sliding window, for each service.
 */
typedef struct SpRetryOpts {
    double ratio; /* retries to first sends */
    double slack; /* retries of one window beyond the ratio */
    int64_t window_us;
} SpRetryOpts;

#define SP_RETRY_CELLS 10

typedef struct SpRetryBudget {
    SpRetryOpts o;
    int64_t cell; /* number of the newest cell */
    uint32_t first[SP_RETRY_CELLS];
    uint32_t again[SP_RETRY_CELLS];
} SpRetryBudget;

void SpRetryBudget_Init(SpRetryBudget *b, const SpRetryOpts *o);
void SpRetryBudget_First(SpRetryBudget *b, int64_t now);
/* SpRetryBudget_Again counts a send that a retry further up has caused. */
void SpRetryBudget_Again(SpRetryBudget *b, int64_t now);
/* SpRetryBudget_Take returns 1 and counts it if one more retry fits; a part
   of the budget is kept for the first ranks. */
int SpRetryBudget_Take(SpRetryBudget *b, int64_t now, int rank);
/* SpRetryBudget_Set: the bounds of this node vary with the number of nodes. */
void SpRetryBudget_Set(SpRetryBudget *b, double ratio, double slack);

#endif
