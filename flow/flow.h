/*
 * flow: decisions on the requests that pass a relay: routing, traffic split,
 * load balancing, queueing, admission control and retry budget.
 *
 * Nothing here reads a clock or opens a socket: times are arguments, in
 * microseconds of the caller's monotonic clock.
 */
#ifndef SP_FLOW_H
#define SP_FLOW_H

#include "base/base.h"
#include "flow/fairqueue.h"
#include "flow/ranks.h"

/* Each rank has two queues: nested requests are served before new ones. */
#define SP_LIMITER_QUEUES (2 * SP_MAX_RANKS)

/*
 * Routes: the routing configuration in force.
 */
typedef struct SpSplitTarget {
    const char *service;
    double weight;
    double credit; /* state of the smooth weighted round robin */
} SpSplitTarget;

typedef struct SpPathRoute {
    const char *name;
    const char *host;
    const char *prefix; /* begins and ends with a slash */
    SpSplitTarget *parts;
    int nparts;
    int idempotent;
    int is_public; /* 1: needs no key of a workspace */
    int attempts;  /* instances that may receive one request */
    int rank;      /* 0 is shed last */
    int64_t timeout_us;
    int64_t aim_us; /* target latency; 0: none */
} SpPathRoute;

/* Deadline of a request that gives none, on a route without a timeout. */
#define SP_DEFAULT_DEADLINE_US (30 * SP_SEC)

typedef struct SpRouteLimits {
    int64_t header_bytes, body_bytes;
    int64_t header_us, idle_us;
} SpRouteLimits;

/* Configuration of the instances of a service. */
typedef struct SpServiceConf {
    int connections;   /* limit of one instance; 0: not configured */
    const char *check; /* path of the status check; NULL: none */
} SpServiceConf;

/* A configuration, reference-counted: a request keeps the version that it
   started with. */
typedef struct SpRoutes {
    uint64_t version;
    SpRouteLimits limits;
    SpArena *arena; /* of the routes */
    guint nroutes;
    int64_t longest_us;       /* longest time that a route gives a request */
    GHashTable *hosts;        /* name to SpHostRoutes */
    GHashTable *services;     /* name to SpServiceConf */
    SpWorkspaces *workspaces; /* NULL: callers need no key */
    SpRankSet route_ranks;    /* that occur */
    SpRankMap ranks;
    char *text; /* the document as published */
    size_t text_len;
    int refs;
} SpRoutes;

SpRoutes *SpRoutes_New(uint64_t version);
SpRoutes *SpRoutes_Ref(SpRoutes *rs);
void SpRoutes_Unref(SpRoutes *rs);
/* SpRoutes_Add stores a copy of *r; a second route with the host and prefix of
   another is never found. */
void SpRoutes_Add(SpRoutes *rs, const SpPathRoute *r);
/* SpRoutes_Find returns the route with the longest prefix of the path; NULL if
   none matches. It ignores a port in host and a query in path. */
SpPathRoute *SpRoutes_Find(const SpRoutes *rs, const char *host,
                           const char *path);
guint SpRoutes_Count(const SpRoutes *rs);
/* SpRoutes_SetWorkspaces takes over the workspaces, after all routes were
   added, and orders the ranks of both. */
void SpRoutes_SetWorkspaces(SpRoutes *rs, SpWorkspaces *ws);
/* SpRoutes_SetService stores a copy of *c and of its path. */
void SpRoutes_SetService(SpRoutes *rs, const char *name,
                         const SpServiceConf *c);
/* SpRoutes_Service returns NULL if the service is not configured. */
const SpServiceConf *SpRoutes_Service(const SpRoutes *rs, const char *name);
/* SpPathRoute_NextService returns the service for the next request, by smooth
   weighted round robin over the split. */
const char *SpPathRoute_NextService(SpPathRoute *r);

/*
 * Limiter: concurrency limit and queues of the local instance. Requests are
 * dequeued by rank, then nested before new ones, then by the turn of their
 * workspace (flow/fairqueue.h), then in order of arrival. A request whose
 * expected wait leaves too little of its deadline is rejected on arrival.
 */
typedef struct SpLimiterReq {
    SpFairItem item;       /* in its queue; user points to this struct */
    const char *workspace; /* of its caller, lives as long; NULL: none */
    double part;           /* of all that it is entitled to; 0: all */
    int rank;
    int nested; /* 1: made on behalf of a request that is already running */
    int repeatable; /* 1: it may run more than once */
    int64_t arrived;
    int64_t deadline;
    int queued;
    int running;
    int64_t started; /* while running */
    void *user;
} SpLimiterReq;

typedef enum {
    SP_LIMITER_RUN,
    SP_LIMITER_QUEUE,
    SP_LIMITER_REJECT
} SpLimiterDecision;

typedef struct SpLimiter {
    int slots;          /* capacity that the instance reports */
    double limit;       /* maximum number of running requests */
    double start_limit; /* the one up to which requests are started now;
                           differs during a trial of another limit */
    double firm_limit;  /* the same for those that are not repeatable */
    int running;
    int queued;
    SpFairQueue queue[SP_LIMITER_QUEUES];
    double run_us; /* smoothed run time; a default before the first sample */
    int measured;  /* number of samples in run_us, capped */
    int64_t start_sum; /* sum of the start times of the running requests */
} SpLimiter;

void SpLimiter_Init(SpLimiter *l);
/* SpLimiter_Clear frees what the queues hold; no request may be queued. */
void SpLimiter_Clear(SpLimiter *l);
void SpLimiter_SetSlots(SpLimiter *l, int slots);
/* SpLimiter_SetLimit sets the limit for an instance that has not reported its
   slots yet. */
void SpLimiter_SetLimit(SpLimiter *l, double limit);
/* SpLimiter_Try sets the limits up to which requests are started, as long as
   they differ from the limit itself. */
void SpLimiter_Try(SpLimiter *l, double start, double firm);
/* SpLimiter_Submit starts, queues or rejects a request; after SP_LIMITER_RUN
   it counts as running. */
SpLimiterDecision SpLimiter_Submit(SpLimiter *l, int64_t now, SpLimiterReq *r);
/* SpLimiter_Dequeue dequeues and starts the next request; NULL if the queues
   are empty or the limit is reached. */
SpLimiterReq *SpLimiter_Dequeue(SpLimiter *l, int64_t now);
/* SpLimiter_DequeueLate dequeues a request that is not expected to finish
   before its deadline: less than half of run_us is left. NULL if there is
   none. */
SpLimiterReq *SpLimiter_DequeueLate(SpLimiter *l, int64_t now);
/* SpLimiter_End removes a queued or running request; ran_us is a sample of
   the run time, or negative for none. */
void SpLimiter_End(SpLimiter *l, int64_t now, SpLimiterReq *r, int64_t ran_us);
/* SpLimiter_ReportedRun returns the run time to report to other nodes: 0 while
   there is no sample and the requests in progress show no longer run time than
   the default. */
double SpLimiter_ReportedRun(const SpLimiter *l, int64_t now);
/* SpLimiter_EstimateWait returns the expected queueing delay of a request that
   is not queued yet. */
int64_t SpLimiter_EstimateWait(const SpLimiter *l, int64_t now,
                               const SpLimiterReq *r);

/*
 * Admission control: the fraction of new requests of each rank that a service
 * accepts.
 */
typedef struct SpShares {
    double of[SP_MAX_RANKS]; /* 0 to 1 */
} SpShares;

SpShares SpShares_All(void);
/* SpRank_Index clamps a rank to a valid array index. */
int SpRank_Index(int rank);
/* SpShares_Min sets each share of s to the lower of s and t. */
void SpShares_Min(SpShares *s, const SpShares *t);
/* Shares packed into one number, one byte each in 255ths, for messages between
   nodes. */
uint64_t SpShares_Pack(const SpShares *s);
SpShares SpShares_Unpack(uint64_t v);

/* Offered load of an instance by rank, and its capacity, both in slots. */
typedef struct SpDemand {
    double offered[SP_MAX_RANKS];
    double capacity;
} SpDemand;

typedef struct SpAdmission {
    SpShares shares;              /* of the whole service */
    double floors[SP_MAX_RANKS];  /* least part of the offered load that is
                                     admitted in each rank */
    double arrived[SP_MAX_RANKS]; /* offered requests since the last step */
    double rate[SP_MAX_RANKS];    /* offered requests per second, smoothed */
    SpDemand local;               /* of the local instance at the last step */
    int64_t at;                   /* time of the last step */
} SpAdmission;

void SpAdmission_Init(SpAdmission *a);
/* SpAdmission_SetRanks takes the least part to admit in each rank from the
   rank of the routes that have it. */
void SpAdmission_SetRanks(SpAdmission *a, const SpRankMap *ranks);
/*
 * SpAdmission_CountArrival counts a request that reached this node. share is
 * the fraction at which the entry node admitted the original request, so that
 * one arrival stands for 1/share offered requests.
 */
void SpAdmission_CountArrival(SpAdmission *a, int rank, double share);
/* SpAdmission_UndoArrival undoes SpAdmission_CountArrival for a request that
   the instance itself rejected: it occupied no slot. */
void SpAdmission_UndoArrival(SpAdmission *a, int rank, double share);
/*
 * SpAdmission_Update recomputes the shares when the step interval has passed.
 * others is the sum over the other instances of the service.
 */
void SpAdmission_Update(SpAdmission *a, int64_t now, const SpLimiter *l,
                        const SpDemand *others);
void SpDemand_Add(SpDemand *sum, const SpDemand *d);

/*
 * Paths: the shares that a route and the routes called downstream of it admit.
 */
typedef struct SpPaths SpPaths;

SpPaths *SpPaths_New(void);
void SpPaths_Free(SpPaths *ps);
/* SpPaths_RecordCall records that a request on route made a call to child. */
void SpPaths_RecordCall(SpPaths *ps, int64_t now, const char *route,
                        const char *child);
/* SpPaths_RecordShares records the shares reported by an answer. */
void SpPaths_RecordShares(SpPaths *ps, int64_t now, const char *route,
                          const SpShares *s);
/* SpPaths_RecordUnavailable records that no instance accepts requests on a
 * route. */
void SpPaths_RecordUnavailable(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_Shares returns the smoothed shares of a route; SpShares_All() once
   the last report has expired. */
SpShares SpPaths_Shares(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_TakeProbe returns 1 if a request is to be admitted whatever the
   shares, because there has been no answer on the route for a while. */
int SpPaths_TakeProbe(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_DownstreamShares returns the minimum of the shares of the routes
   that requests on route have called recently. */
SpShares SpPaths_DownstreamShares(SpPaths *ps, int64_t now, const char *route);
/* SpPaths_RecordCalls records how many nested calls a successful request on
   route took, those of its calls included. */
void SpPaths_RecordCalls(SpPaths *ps, const char *route, double calls);
/* SpPaths_Calls returns the smoothed number; 0: none or unknown. */
double SpPaths_Calls(SpPaths *ps, const char *route);
/* SpPaths_RecordSize records the size of a request and its answer. */
void SpPaths_RecordSize(SpPaths *ps, const char *route, size_t bytes);
/* SpPaths_Size returns the smoothed size; 0: unknown. */
double SpPaths_Size(SpPaths *ps, const char *route);

/*
 * Load balancer: selects the instance of a service for the next request.
 */
typedef enum {
    SP_ACCEPT_NONE,        /* accepts no requests */
    SP_ACCEPT_LAST_RESORT, /* about to stop: used only when no other is
                              available */
    SP_ACCEPT_ALL
} SpAcceptState;

typedef struct SpUpstream {
    const char *name; /* of its node; belongs to the owner of the struct */
    int same_zone;    /* 1: in the zone of this node */
    SpAcceptState accepts;
    double limit;    /* its concurrency limit */
    int busy;        /* requests running and queued there, as last reported */
    SpDemand demand; /* as last reported */
    int in_flight;   /* unanswered requests from this node */
    int in_flight_reported; /* in_flight at the time of the last report of busy
                             */
    double run_us;       /* smoothed run time as last reported; 0: unknown */
    int64_t sent_at;     /* time of the last request from this node */
    int fails;           /* consecutive failures */
    int64_t avoid_until; /* until then selected only if no other instance
                            accepts requests */
    void *user;
} SpUpstream;

/* Input of a selection. */
typedef struct SpBalancerOpts {
    int64_t now;
    int64_t cross_zone_us;    /* cost added to instances in other zones */
    SpUpstream *const *tried; /* instances that already had the request */
    int ntried;
    uint64_t *rand;
} SpBalancerOpts;

/* SpBalancer_Pick selects among n instances by cost; NULL if none accepts
   requests. */
SpUpstream *SpBalancer_Pick(SpUpstream *const *list, guint n,
                            const SpBalancerOpts *o);
/* What a selection weighs of one instance. */
typedef struct SpUpstreamView {
    const SpUpstream *upstream;
    double cost_us; /* estimated; the lowest ones are selected */
    double used;    /* part of its limit in use with one more request */
    int avoided;    /* 1: it failed recently */
    int selectable; /* 1: the request would go to one of these */
} SpUpstreamView;

/* SpBalancer_Explain fills n views with what SpBalancer_Pick would weigh now;
   it selects nothing and changes nothing. */
void SpBalancer_Explain(SpUpstream *const *list, guint n,
                        const SpBalancerOpts *o, SpUpstreamView *views);
/* SpBalancer_CrossZoneCost returns the cost of sending a request with that
   many bytes to another zone; aim_us is the route's target latency (0: none).
 */
int64_t SpBalancer_CrossZoneCost(double bytes, int64_t aim_us);
void SpUpstream_Sent(SpUpstream *u, int64_t now);
/* SpUpstream_Ended: ok is 0 if the request failed at the instance. */
void SpUpstream_Ended(SpUpstream *u, int64_t now, int ok);

/*
 * Retry budget: bounds the retries of this node to a service by a ratio of
 * the first attempts in a sliding window.
 *
 * Load pattern: the instances of the deepest service reject a part of their
 * requests, and each original request makes several calls there in series. The
 * budget covers few of the rejected calls; spread evenly it completes hardly
 * any request. So each retry has a cost: the rejections that its original
 * request still has to expect, divided by the value of its rank. A retry is
 * allowed up to a highest cost, which falls when the budget is spent faster
 * than evenly and rises when retries are denied while it is spent slower.
 * Harm: if the calls of a request are independent of each other, the first of
 * them is retried less often for no reason.
 */
typedef struct SpRetryOpts {
    double ratio; /* retries per first attempt */
    double slack; /* retries allowed per window beyond the ratio */
    int64_t window_us;
} SpRetryOpts;

#define SP_RETRY_BUCKETS 10

typedef struct SpRetryBudget {
    SpRetryOpts o;
    int64_t bucket; /* number of the newest bucket */
    uint32_t first_attempts[SP_RETRY_BUCKETS];
    uint32_t retries[SP_RETRY_BUCKETS];
    double accepted;   /* smoothed share of attempts that were not rejected */
    double max_cost;   /* of a retry */
    int64_t step_at;   /* last change of max_cost */
    int spent, denied; /* retries since then; denied: for their cost */
} SpRetryBudget;

void SpRetryBudget_Init(SpRetryBudget *b, const SpRetryOpts *o);
void SpRetryBudget_CountFirst(SpRetryBudget *b, int64_t now);
/* SpRetryBudget_CountRetry counts an attempt that was caused by a retry
   earlier in the call chain. */
void SpRetryBudget_CountRetry(SpRetryBudget *b, int64_t now);
/* SpRetryBudget_CountOutcome records whether an instance accepted an attempt.
 */
void SpRetryBudget_CountOutcome(SpRetryBudget *b, int accepted);
/* SpRetryBudget_Take returns 1 and counts a retry if the budget allows it; a
   part of the budget is reserved for the more important ranks, which are those
   of routes. calls_left calls have to succeed after this one for the original
   request to succeed. */
int SpRetryBudget_Take(SpRetryBudget *b, int64_t now, int rank,
                       double calls_left);
/* What a rank may use of the budget. */
typedef struct SpRetryRoom {
    double ratio;   /* retries per first attempt */
    double unspent; /* part of it that is left, 0 to 1 */
} SpRetryRoom;
SpRetryRoom SpRetryBudget_Room(SpRetryBudget *b, int64_t now, int rank);
/* SpRetryBudget_SetBounds changes the bounds; each node's slack depends on the
   number of nodes. */
void SpRetryBudget_SetBounds(SpRetryBudget *b, double ratio, double slack);

#endif
