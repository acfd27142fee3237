/*
 * relay: daemon that runs next to an upstream instance. Each file owns its
 * sockets and state; the decisions are made by flow/.
 *
 *   entry.c     requests of callers: routing, admission, answers
 *   attempt.c   their attempts: choice of an instance, sending, retries
 *               (call.h: what both share)
 *   instance.c  the local instance: its state, the queue and end of its jobs
 *   run.c       their runs
 *   reports.c   its reports
 *   capacity.c  its learned capacity
 *   check.c     status checks of the local instance
 *   fair.c      fair shares between workspaces
 *   link.c      connections to the other relays (link.h: shared definitions)
 *   linkmem.c   the memory that they use
 *   peers.c     table of the other relays, and which of them are linked
 *   gossip.c    exchange of the directory of members between relays
 *   state.c     exchange of state and configuration between relays
 *   contacts.c  the first nodes of each zone
 *   quota.c     quotas of workspaces: admission, reports to the coordinator
 *   sums.c      the same at the coordinator, and between coordinators
 *   departure.c instances that leave, as other nodes remember them
 *   remote.c    calls between relays
 *   reply.c     their answers, as they are read
 *   runs.c      runs that this process does not hold, but whose calls may come
 *   frame.c     encoding of the messages on those connections
 *   store.c     calls to the platform's store (store.h: shared definitions)
 *   register.c  registration of this node there, and the list of the others
 *   follow.c    the configuration there
 *   metrics.c   counters and histograms
 *   monitor.c   HTTP endpoint for metrics
 *   where.c     where a request would go, for operators
 *   settings.c  settings
 *   stop.c      planned stop
 *   sprelay.c   start, timer and reload
 */
#ifndef SP_RELAY_H
#define SP_RELAY_H

#include "conf/conf.h"
#include "flow/capacity.h"
#include "flow/directory.h"
#include "flow/fairshare.h"
#include "flow/retryparts.h"
#include "flow/stop.h"
#include "relay/adapter.h"
#include "relay/metrics.h"

/* Size of the buffer for a quoted name in a log line, which shows its
   beginning. */
#define SP_LOGGED_NAME 256

#define SP_RELAY_TICK_US (20 * SP_MS)

typedef struct SpRelaySettings {
    char *name; /* owned, like the next two */
    char *zone;
    char *service;
    char interface[16];
    char instance[SP_ADDR_BYTES];
    char outbound[SP_ADDR_BYTES]; /* for callers and the instance */
    char inbound[SP_ADDR_BYTES];
    char reports[SP_ADDR_BYTES]; /* for reports of the instance */
    char ready[SP_ADDR_BYTES];
    char link[SP_ADDR_BYTES]; /* for connections of other relays */
    char metrics[SP_ADDR_BYTES];
    char store[SP_ADDR_BYTES];
    double report_s; /* interval of the reports */
    double drain_s;  /* a leaving instance gets no request after this time */
    double stop_s;   /* maximum duration of a graceful stop */
    double retry_ratio, retry_slack, retry_window_s;
    char log_level[16];
    double memory_mb; /* memory that the process may use */
    int max_fds; /* descriptors that it may open; 0: what the system allows */
    int first_start;   /* 1: all nodes start for the first time, together */
    char capacity[16]; /* of the instance: announced or learned */
} SpRelaySettings;

/* SpRelaySettings_Load adds problems to ps and returns 0 if there are any. */
int SpRelaySettings_Load(const char *file, SpRelaySettings *s, SpProblems *ps);
void SpRelaySettings_Clear(SpRelaySettings *s);

typedef struct Relay Relay;
typedef struct Links Links;
typedef struct Store Store;
typedef struct Quotas Quotas;
typedef struct PastRuns PastRuns;
typedef struct Peer Peer;
typedef struct Call Call; /* a request of a caller, in call.h */

/* Result of a request at the node of an instance. */
typedef struct Result {
    SpKind kind; /* SP_OK: status, lines and body are the instance's answer */
    SpOutcome outcome;
    int reached;       /* 1: the instance received it */
    int nested_failed; /* 1: a nested call of it failed */
    double calls;      /* nested calls that it took, theirs included */
    int status;
    const char *lines; /* header lines */
    size_t lines_len;
    const char *body;
    size_t body_len;
    SpShares path; /* admitted on its route, downstream included */
} Result;

/* Load of a node as reported to the others. */
typedef struct Load {
    SpAcceptState accepts;
    int busy;
    double limit;
    double run_us;
    SpDemand demand;
    int follows; /* 1: it follows the configuration in the store */
} Load;

/* What the calls of a run inherit from it; the names belong to its owner. */
typedef struct RunInfo {
    const char *route;
    const char *workspace; /* of the caller; empty: none */
    double share;          /* at which the original request was admitted */
    double calls_left;     /* calls that its original request needs after it */
    int rank;
    int is_retry;
    int is_served; /* 1: its calls are served, 0: they are refused */
    int64_t deadline;
} RunInfo;

/* A request at the node of the instance that runs it. */
typedef struct Job {
    Relay *n;
    SpLimiterReq req;
    const char *route;     /* name, owned like the next one */
    const char *workspace; /* of the caller; empty: none */
    double share;          /* at which the original request was admitted */
    SpExchange *x;
    char *id; /* owned */
    int idempotent;
    int is_retry;
    int nested_failed; /* 1: a nested call of it failed */
    double calls_left; /* calls that its original request needs after it */
    double calls_done; /* nested calls that have succeeded, theirs included */
    int64_t started;
    uint64_t conn;  /* number of the connection to the instance */
    int ndiscarded; /* responses on its connection that were not its own */
    SpCapacityRun run;
    int nested_open;      /* its nested calls in progress */
    int64_t nested_since; /* while there are any */
    int64_t nested_us;    /* time of its earlier nested calls */
    GString *head;        /* owned; without the headers of the last hop */
    const char *body;
    size_t body_len;
    char *body_copy; /* copy of the body; NULL if the owner keeps it, or once
                        it is on its way to the instance */
    size_t held;     /* bytes taken from job_memory until the job ends */
    size_t sent;     /* bytes of a body that only its connection copied */
    /* called once, unless the job is dropped first; then the job is freed */
    void (*done)(struct Job *j, const Result *r);
    void *owner;
    uint64_t seq; /* number of the call on its link; 0: a local call */
    GList node;   /* in the list of jobs */
} Job;

typedef struct JobOpts {
    const char *route;
    const char *workspace; /* of the caller; empty: none */
    double share;
    const char *id;
    int rank;
    int nested;   /* 1: made on behalf of a running request */
    int is_retry; /* 1: a retry, or a call made on behalf of one */
    int idempotent;
    double calls_left; /* calls that the original request needs after it */
    int64_t left_us;   /* time until the deadline */
    const char *service;
    GString *head;
    const char *body;
    size_t body_len;
    int copy_body;
    void (*done)(Job *j, const Result *r);
    void *owner;
    uint64_t seq;
} JobOpts;

/* The local instance according to its reports. */
typedef struct Instance {
    char *id;              /* owned; empty: not known */
    int64_t start_ms, seq; /* of its last report */
    int slots;             /* the same; 0: none yet */
    int known;
    int assumed;       /* known from a status check only, no report yet */
    int64_t last_seen; /* time of its last report, answer or check; 0: never */
    int64_t leaving_since; /* time of its first report of leaving; 0: none */
    int has_left; /* 1: an earlier process may have acknowledged that report
                     so long ago that its drain time is over */
    int64_t reported_at; /* time of its last complete report */
    int unreachable;     /* connecting to it failed */
} Instance;

/* An instance that has reported that it leaves. */
typedef struct Departure {
    char *id;         /* owned; NULL: none is known */
    int64_t start_ms; /* 0: not known */
    int64_t since;    /* time of the report */
    int is_over; /* 1: its drain time may be over, however long ago it was */
} Departure;

/* The linked instances of a service, and the budget of retries to them. */
typedef struct Service {
    const char *name;     /* the key of its table */
    GPtrArray *upstreams; /* of SpUpstream */
    SpRetryBudget retries;
    SpRetryParts *retry_parts; /* of workspaces; NULL before the first */
    SpSubsetCount linked;      /* how many of its nodes are to be linked */
    int64_t used_at;           /* time of the last request to it; 0: never */
} Service;

typedef struct RelayCounters {
    uint64_t calls, answered, refused, failed, timed_out, disconnected;
    uint64_t retries, sent_same_zone, sent_other_zones, jobs, jobs_refused;
    uint64_t jobs_overdue;  /* not expected to be answered any more */
    uint64_t jobs_rejected; /* the instance said that it did not run them */
    uint64_t refused_fair;  /* for the part of their workspace only */
    uint64_t refusals_unstated; /* answers with the status of a refusal that do
                                   not say so */
} RelayCounters;

struct Relay {
    SpRelaySettings settings;
    const SpAdapter *adapter;
    uv_loop_t *loop;
    SpHttpServer *http;
    SpHeld held;               /* all that is held for others */
    SpBodyMemory body_memory;  /* of http and pool */
    SpBodyMemory job_memory;   /* of bodies copied for jobs */
    SpBodyMemory link_memory;  /* of large messages that links are receiving */
    SpBodyMemory reply_memory; /* the same of answers of other relays */
    SpBodyMemory frame_memory; /* of messages that wait to be sent on links */
    SpBodyMemory answer_memory; /* of answers that clients have not taken */
    SpPool *pool;               /* connections to the local instance */
    SpExchange *check;          /* status check in progress */
    int64_t check_at; /* time-out of that check, or time of the next one */
    SpRoutes *routes;
    Instance inst;
    Departure departure; /* the last one of a local instance */
    SpLimiter limiter;
    int learns; /* 1: the limit is learned, by capacity */
    SpCapacity capacity;
    double capacity_logged; /* learned limit in the last log line */
    SpAdmission admission;
    SpUpstream self;
    GHashTable *jobs_by_id;
    PastRuns *past_runs;
    int64_t longest_run_us; /* of the requests that configurations allow */
    int parents_known; /* 1: nested calls have named a known parent request */
    GQueue jobs;       /* of Job */
    GQueue calls;      /* of Call */
    GHashTable *services; /* name to Service */
    Links *links;
    Store *store;
    SpDirectory *directory;
    uint64_t incarnation; /* wall clock at the start, in microseconds */
    uint64_t rand;
    int64_t started;
    SpStop stop;
    int64_t quiet_since; /* during a stop: nothing in progress since; 0: not */
    int64_t last_tick;
    int64_t woke_at; /* end of the last time for which the process stood still;
                        0: it never did */
    SpAcceptState announced; /* last announced while stopping */
    const char *file;        /* settings */
    int64_t file_mtime, file_checked_at;
    int64_t logged_at; /* time of the last load line in the log */
    uint64_t logged_jobs;
    uv_timer_t tick;
    uv_prepare_t prepare;
    uv_signal_t term, intr, hup;
    RelayCounters counters;
    Metrics *metrics;
    SpPaths *paths;
    SpFairShare *fair;
    int64_t fair_at;       /* time of the last report of arrivals */
    uint64_t fair_version; /* configuration whose quotas it holds */
    Quotas *quotas;
};

/* sprelay.c */
/* apply_config puts a configuration in force if it is newer than the present
   one; returns 0 if it is unusable. */
int apply_config(Relay *n, const char *p, size_t len, const char *from);
Service *service_of(Relay *n, const char *name);
int is_relay_ready(const Relay *n);
/* stall_us returns the time for which this process was suspended or blocked,
   else 0. Input read now may have waited for that long. */
int64_t stall_us(const Relay *n);

/* reports.c */
int listen_reports(Relay *n, GError **err);
/* assume_instance records that a status check found the instance ready. */
void assume_instance(Relay *n, const char *id);
/* learn_departure records what another node remembers. */
void learn_departure(Relay *n, const Departure *d);

/* departure.c */
/* announce_departure tells the other nodes that the local instance leaves. */
void announce_departure(Relay *n);

/* instance.c */
Job *start_job(Relay *n, const JobOpts *o);
/* end_job reports the result to the owner, and frees the job. */
void end_job(Job *j, const Result *r);
/* drop_job cancels a job without calling done. A run in progress that is not
   idempotent continues to its end. */
void drop_job(Job *j);
void tick_instance(Relay *n, int64_t now);
/* lower_deadline lowers the deadline of a job that waits in the queue; a run
   in progress keeps its own. */
void lower_deadline(Job *j, int64_t deadline);
/* lower_queued_deadlines does so for all jobs. */
void lower_queued_deadlines(Relay *n, int64_t deadline);
/* run_next starts queued jobs up to the limit. */
void run_next(Relay *n);
Load local_load(const Relay *n, int64_t now);
/* path_shares returns the shares admitted on a route, here and downstream. */
SpShares path_shares(const Relay *n, int64_t now, const char *route);

/* run.c: sends the job to the instance; its answer ends the job. */
void run_job(Job *j);

/* capacity.c: the learned capacity of the instance */
void begin_capacity(Relay *n, int slots);
/* set_slots sets the announced slots of the instance. */
void set_slots(Relay *n, int slots);
void start_capacity_run(Job *j);
void end_capacity_run(Job *j, SpRunEnd end);
/* nested_began and nested_ended count the calls that a job's run makes. */
void nested_began(Job *j);
void nested_ended(Job *j);
void tick_capacity(Relay *n, int64_t now);

/* check.c */
void tick_check(Relay *n, int64_t now);

/* attempt.c */
/* update_self brings the entry of the local instance up to date. */
void update_self(Relay *n, int64_t now);

/* fair.c */
/* workspace_part returns the part of all that a workspace is entitled to; 1 if
   it is not known. */
double workspace_part(const Relay *n, const char *name);
/* fair_share counts a new request and returns the probability of its admission
   at the shares of its path. */
double fair_share(const Call *c, const SpShares *path);
void tick_fair(Relay *n, int64_t now);

/* runs.c */
PastRuns *new_past_runs(void);
void free_past_runs(PastRuns *rs);
/* add_past_run stores a copy of *info and its names. */
void add_past_run(PastRuns *rs, const char *id, const RunInfo *info);
/* find_past_run returns NULL if the run is not known, or has ended long ago.
 */
const RunInfo *find_past_run(const PastRuns *rs, const char *id);
void expire_past_runs(PastRuns *rs, int64_t now);
/* run_info returns what calls inherit from a job. */
RunInfo run_info(const Job *j);
/* keep_run is called when a job ends whose run the instance may continue. */
void keep_run(const Job *j);
/* may_be_past_run returns 1 if the instance may be at work on a run of that id
   that this process does not hold. */
int may_be_past_run(const Relay *n, const char *id);

/* entry.c, attempt.c */
int listen_callers(Relay *n, GError **err);
void end_attempt(Call *c, const Result *r);
void tick_calls(Relay *n, int64_t now);
/* fail_all_calls ends the calls in progress. */
void fail_all_calls(Relay *n, SpKind k);

/* stop.c */
void begin_stop(Relay *n, int signum);
void tick_stop(Relay *n, int64_t now);
/* answer_by returns the time by which a target has to have answered what is
   sent now; INT64_MAX unless the node is being stopped. */
int64_t answer_by(const Relay *n);

/* link.c, peers.c, remote.c */
int open_links(Relay *n, GError **err);
/* use_service records a request to a service; links to more of its instances
   are opened if there was none lately. */
void use_service(Relay *n, Service *s, int64_t now);
/* send_remote_call returns the number of the call on its link; 0 if the link
   is down or has too many unsent bytes. */
uint64_t send_remote_call(Peer *p, Call *c, const JobOpts *o);
void cancel_remote_call(Peer *p, uint64_t seq);
void tick_links(Relay *n, int64_t now);
void flush_links(Relay *n);
/* has_unsent returns 1 if bytes wait to be sent on a link. */
int has_unsent(const Relay *n);
/* announce_end tells the other nodes the time by which the calls of this one
   that they hold have to be answered. */
void announce_end(Relay *n, int64_t deadline);
/* broadcast_state sends the state of this node to all peers now. */
void broadcast_state(Relay *n);
guint count_links(const Relay *n);
/* count_followers counts the nodes of this zone that follow the configuration
   in the store and whose names sort before that of this node. */
int count_followers(const Relay *n);

/* print_links appends the counters of the links to s. */
void print_links(const Relay *n, GString *s);

/* gossip.c */
/* add_member enters a node that the store lists or another node names. */
void add_member(Relay *n, const SpNodeInfo *m, int from_store);

/* where.c */
int is_where_request(const SpMsg *m);
/* answer_where tells where a request would go now. */
void answer_where(Relay *n, SpHttpReq *req);

/* quota.c, sums.c */
void open_quotas(Relay *n);
/* configure_quotas takes over the workspaces of the configuration. */
void configure_quotas(Relay *n);
/* has_quotas returns 1 if the configuration limits a workspace. */
int has_quotas(const Relay *n);
/* admit_to_quota returns 1 if a request is within the quota of its workspace;
   else it sets *retry_us to the time after which the caller should return. */
int admit_to_quota(Relay *n, const SpWorkspace *w, int64_t *retry_us);
/* return_to_quota takes off a request that was admitted and has not run. */
void return_to_quota(Relay *n, const SpWorkspace *w);
void tick_quotas(Relay *n, int64_t now);
/* print_quotas appends the metrics of the quotas to s. */
void print_quotas(const Relay *n, GString *s);

/* monitor.c */
int listen_metrics(Relay *n, GError **err);

/* store.c, follow.c */
int open_store(Relay *n, GError **err);
void tick_store(Relay *n, int64_t now);
/* follows_store: 1 while this node itself reads the configuration, or is about
   to. */
int follows_store(const Relay *n);
/* print_store appends the counters of the calls to the store to s. */
void print_store(const Relay *n, GString *s);

#endif
