/*
 * relay: the daemon beside an upstream instance, in parts. Each part owns its
 * sockets and its state; the decisions are those of flow/.
 *
 *   entry.c     requests of callers: route, choose, send, retry, answer
 *   instance.c  the own instance: reports, queue, runs
 *   check.c     status checks of the own instance
 *   link.c      connections to the other relays (link.h: their parts)
 *   peers.c     the other relays
 *   state.c     what relays tell each other of themselves
 *   remote.c    calls between relays
 *   frame.c     messages on those connections
 *   store.c     configuration and the list of nodes in the platform's store
 *   metrics.c   counters and histograms
 *   monitor.c   their page
 *   settings.c  settings
 *   sprelay.c   start, ticks, stop
 */
#ifndef SP_RELAY_H
#define SP_RELAY_H

#include "conf/conf.h"
#include "relay/adapter.h"
#include "relay/metrics.h"

#define SP_RELAY_TICK_US (20 * SP_MS)
/* A stopping node serves for so long before it ends: its callers need the
   time to turn elsewhere. */
#define SP_STOP_NOTICE_US (3200 * SP_MS)

typedef struct SpRelaySettings {
    char name[SP_FLOW_NAME];
    char zone[SP_FLOW_NAME];
    char service[SP_FLOW_NAME];
    char interface[16];
    char instance[SP_ADDR_BYTES];
    char outbound[SP_ADDR_BYTES]; /* requests of callers and of the instance */
    char inbound[SP_ADDR_BYTES];
    char reports[SP_ADDR_BYTES]; /* what the instance says of itself */
    char ready[SP_ADDR_BYTES];
    char link[SP_ADDR_BYTES]; /* other relays */
    char metrics[SP_ADDR_BYTES];
    char store[SP_ADDR_BYTES];
    double report_s; /* period of the reports */
    double drain_s;  /* a leaving instance gets no request after this */
    double stop_s;   /* bound of a graceful stop */
    double retry_ratio, retry_slack, retry_window_s;
    char log_level[16];
} SpRelaySettings;

/* SpRelaySettings_Load returns 0 if ps gained a problem. */
int SpRelaySettings_Load(const char *file, SpRelaySettings *s, SpProblems *ps);

typedef struct Relay Relay;
typedef struct Links Links;
typedef struct Store Store;
typedef struct Peer Peer;
typedef struct Call Call;

/* How a request ended at the node beside the instance. */
typedef struct Result {
    SpKind kind; /* SP_OK: the instance's answer is given */
    SpOutcome outcome;
    int reached; /* 1: it arrived at the instance */
    int below;   /* 1: a call of the run failed */
    int status;
    const char *lines; /* header lines */
    size_t lines_len;
    const char *body;
    size_t body_len;
    SpShares path; /* that the path of its route admits */
} Result;

/* The load of a node, as the others hear of it. */
typedef struct Load {
    SpTakes takes;
    int busy;
    double limit;
    double run_us;
    SpDemand demand;
    int follows; /* 1: it follows the configuration in the store */
} Load;

/* A request at the node beside its instance. */
typedef struct Job {
    Relay *n;
    SpTurn turn;
    char route[SP_FLOW_NAME];
    double share; /* by which the work it belongs to was admitted */
    SpExchange *x;
    char id[SP_ID_ROOM];
    int idempotent;
    int again;
    int below; /* 1: a call of its run has failed */
    int64_t started;
    GString *head; /* owned; without the headers of the last hop */
    const char *body;
    size_t body_len;
    char *own_body; /* NULL if the body is its owner's */
    /* told once, unless the job is dropped before; the job is freed then */
    void (*done)(struct Job *j, const Result *r);
    void *owner;
    uint64_t seq;
    GList node; /* in the list of jobs */
} Job;

typedef struct JobOpts {
    const char *route;
    double share;
    const char *id;
    int rank;
    int begun; /* 1: a run waits for it */
    int again; /* 1: a retry, or the call of a run that is one */
    int idempotent;
    int64_t left_us;
    const char *service;
    GString *head;
    const char *body;
    size_t body_len;
    int copy_body;
    void (*done)(Job *j, const Result *r);
    void *owner;
    uint64_t seq;
} JobOpts;

/* The own instance as it reports itself. */
typedef struct Instance {
    SpReport last;
    int known;
    int assumed;      /* known by a status check alone, no report yet */
    int64_t seen;     /* last sign of life; 0 none */
    int64_t leave_at; /* when it said that it leaves; 0 it did not */
    int down;         /* it refused a connection */
} Instance;

/* The instances of a service, and the retries to them. */
typedef struct Service {
    char name[SP_FLOW_NAME];
    GPtrArray *ups; /* of SpUpstream */
    SpRetryBudget retries;
} Service;

typedef struct RelayCounters {
    uint64_t calls, answered, refused, failed, timed_out, left;
    uint64_t retries, sent_near, sent_far, jobs, jobs_refused;
} RelayCounters;

struct Relay {
    SpRelaySettings set;
    const SpAdapter *ad;
    uv_loop_t *loop;
    SpHttp *http;
    SpPool *pool;      /* to the own instance */
    SpExchange *check; /* a status check under way */
    int64_t check_at;  /* when it is given up, or the next one is due */
    SpRoutes *routes;
    Instance inst;
    SpLimiter lim;
    SpAdmission admission;
    SpUpstream self;
    GHashTable *jobs_by_id;
    int knows_parents;    /* 1: calls name the requests they serve */
    GQueue jobs;          /* of Job */
    GQueue calls;         /* of Call */
    GHashTable *services; /* name to Service */
    Links *links;
    Store *store;
    uint64_t born; /* tells this process from earlier ones of its name */
    uint64_t rand;
    int64_t started;
    int64_t stop_at; /* 0 while not stopping */
    int64_t ticked;
    SpTakes told_takes; /* while stopping */
    const char *file;   /* of the settings */
    int64_t file_at, looked_at;
    int64_t logged_at; /* of the load */
    uint64_t logged_jobs;
    uv_timer_t tick;
    uv_prepare_t prepare;
    uv_signal_t term, intr, hup;
    RelayCounters n;
    Metrics *metrics;
    SpPaths *paths;
};

/* sprelay.c */
void take_config(Relay *n, const char *p, size_t len, const char *from);
Service *service_of(Relay *n, const char *name);
int is_relay_ready(const Relay *n);
/* stall_of is the time for which this process has stood still: what it reads
   now may have waited for so long. */
int64_t stall_of(const Relay *n);

/* instance.c */
int listen_reports(Relay *n, GError **err);
Job *start_job(Relay *n, const JobOpts *o);
/* drop_job: its owner wants no answer; a run that may not be repeated goes
   on to its end. */
void drop_job(Job *j);
void tick_instance(Relay *n, int64_t now);
/* assume_instance: a status check says that it takes work. */
void assume_instance(Relay *n, const char *id);
Load own_load(const Relay *n, int64_t now);
/* path_shares is what a route admits here and behind. */
SpShares path_shares(const Relay *n, int64_t now, const char *route);

/* check.c */
void tick_check(Relay *n, int64_t now);

/* entry.c */
int listen_callers(Relay *n, GError **err);
void end_send(Call *c, const Result *r);
void tick_calls(Relay *n, int64_t now);

/* link.c, peers.c, remote.c */
int open_links(Relay *n, GError **err);
void meet_peer(Relay *n, const char *addr);
/* send_link returns the number of the call on its link; 0 if it is down. */
uint64_t send_link(Peer *p, Call *c, const JobOpts *o);
void cancel_link(Peer *p, uint64_t seq);
void tick_links(Relay *n, int64_t now);
void flush_links(Relay *n);
/* tell_links passes the own state to all at once. */
void tell_links(Relay *n);
guint count_links(const Relay *n);
/* count_followers counts the nodes of the own zone that follow the
   configuration in the store and whose names come before the own one. */
int count_followers(const Relay *n);

/* monitor.c */
int listen_metrics(Relay *n, GError **err);

/* store.c */
int open_store(Relay *n, GError **err);
void tick_store(Relay *n, int64_t now);
/* follows_store: 1 while this node itself reads the configuration. */
int follows_store(const Relay *n);

#endif
