/*
 * mesh: declarations shared by the files of spmesh, which plays the callers
 * and the instances of a whole deployment around real relays.
 *
 *   spmesh.c      options, start, end
 *   meshplan.c    the deployment: its file, settings, configuration
 *   meshproc.c    the relays and the store as processes
 *   meshinst.c    instances
 *   meshcall.c    callers
 *   meshkeys.c    workspaces, their keys, load and quotas
 *   meshlink.c    proxies between the relays
 *   meshrecord.c  record of all requests, and the rules that are checked
 *   meshfault.c   faults, drawn from the seed
 *
 * Times are in microseconds of SpHttp_Now unless a name says otherwise.
 */
#ifndef SP_STANDIN_MESH_H
#define SP_STANDIN_MESH_H

#include "http/priv.h"
#include "standin/meshport.h"

#define MESH_NAME 32
#define MESH_MAX_ROUTES 16
#define MESH_MAX_SERVICES 8

typedef struct Mesh Mesh;
typedef struct Node Node;
typedef struct MeshKey MeshKey;
typedef struct Workspaces Workspaces;

typedef struct MeshService {
    char name[MESH_NAME];
    int count; /* of its instances */
    int slots, queue;
    double speed; /* of the machines' work; 1: as the route says */
    /* Faults in force: the part of its answers or requests. */
    double unnamed;         /* rejections without the id of the attempt */
    double rejects;         /* requests that are rejected */
    double repeats;         /* answers that are sent again, late */
    double repeats_at_once; /* answers that are sent twice in a row */
    double loses;           /* runs whose answer is lost by a reset */
    double spoils;          /* answers that are cut or no HTTP */
    double denies; /* runs answered 503, 429 or 408 without a promise */
    double uneven; /* the fastest instance to the slowest; 0: all alike */
    double knee;  /* part of the slots beyond which runs are slower; 0: none */
    double hangs; /* part of the slots at full load beyond which requests, and
                     what follows on their connections, are never answered */
} MeshService;

typedef struct MeshRoute {
    char name[MESH_NAME], method[8];
    int idempotent;
    MeshService *service;
    double per_s; /* requests of callers, all nodes together */
    int deadline_ms, work_ms;
    int attempts, rank;
    double timeout_s;
    struct MeshRoute *call; /* made by each run; NULL: none */
} MeshRoute;

/* Faults in force on the links that were opened to a relay. */
typedef struct MeshNet {
    double holds_in, holds_out; /* not 0: no bytes to it, or from it */
    double delay_s;             /* of all bytes, both ways */
} MeshNet;

/* A relay as a process, and what is beside it. */
struct Node {
    Mesh *m;
    char name[MESH_NAME], zone[MESH_NAME], ip[24];
    int zone_number;
    int index; /* among those of its service */
    MeshService *service;
    uv_process_t proc;
    int running;      /* 1: the process exists */
    int ends;         /* 1: its end is expected */
    int busy;         /* 1: a fault of it is in force */
    int in_mass_kill; /* 1: that killed many at once */
    int frozen;
    int64_t signaled_at; /* time of the last signal or start */
    SpPool *out;         /* callers' connections */
    SpPool *control;     /* reports of its instance */
    uv_tcp_t proxy;      /* listens for links to it */
    MeshNet net;
    struct Instance *inst;
};

typedef struct MeshOpts {
    const char *relay, *store, *plan, *template, *dir;
    int proxies; /* 1: links between relays lead through proxies */
    uint64_t seed;
    double seconds, load; /* load: factor on the rates of the plan */
    double size;          /* factor on the numbers of instances */
    const char *faults;   /* names, separated by commas; NULL: by the plan */
    double rejects; /* part of the requests that a rejecting service rejects */
    int injectors;
    double warm_up_s; /* from the start of the relays to that of the callers */
} MeshOpts;

struct Mesh {
    MeshOpts o;
    uv_loop_t *loop;
    uint64_t rand;
    char net[16]; /* the first two bytes of all addresses: "127.N" */
    MeshService services[MESH_MAX_SERVICES];
    int nservices;
    MeshRoute routes[MESH_MAX_ROUTES];
    int nroutes;
    int nzones;
    GPtrArray *nodes; /* of Node */
    GPtrArray *links; /* of Link (meshlink.c) */
    char store_addr[32];
    SpPool *store; /* the operator's connections */
    uv_process_t store_proc;
    uint64_t version;
    int64_t started; /* start of the callers; 0: not yet */
    int ending;      /* 1: no further request, no further fault */
    int own_ends;    /* relays that ended by themselves */
    double give_up;  /* part of the callers that leave early */
    double abuse;    /* part of the callers that retry at once, and often */
    double burst;    /* factor on the rates; 1: none */
    double flood;    /* factor on the rate of one workspace; 1: none */
    double shift;    /* part of one zone's callers that are in others */
    int shifted_zone;
    char *more_faults;      /* of the plan */
    Workspaces *workspaces; /* NULL: none */
    struct Record *record;
};

/* meshplan.c */
/* load_plan returns 0 and sets err if the file is invalid. */
int load_plan(Mesh *m, GError **err);
/* Both return NULL if there is no such route. */
MeshRoute *route_named(Mesh *m, const char *name);
MeshRoute *route_of_path(Mesh *m, const char *path);
/* write_settings fills the template in as the platform does; returns the name
   of the file, to be freed, or NULL and sets err. */
char *write_settings(const Node *n, GError **err);
/* publish_config writes the next version of the configuration to the store;
   all but the first send some routes to other services. */
void publish_config(Mesh *m);
/* ignore_answer is an SpPoolDone. */
void ignore_answer(void *data, SpPoolStatus end, const SpMsg *m,
                   const char *error);
/* set_store_mode selects how the store responds (spstore). */
void set_store_mode(Mesh *m, const char *mode);

/* meshkeys.c */
/* make_workspaces: shares fall with the power `skew` of the number; quota is
   the factor of a workspace's rate on what it sends usually, 0: no quotas. */
void make_workspaces(Mesh *m, int n, double skew, double quota);
void write_workspaces(const Mesh *m, GString *s);
/* change_keys takes one key away and adds another in the next configuration;
   returns 0 if there are no workspaces. */
int change_keys(Mesh *m);
/* draw_load selects who floods, and the zone that callers leave. */
void draw_load(Mesh *m);
/* flood_factor returns the factor on all rates. */
double flood_factor(const Mesh *m);
/* draw_key returns the key of a caller; NULL: it shows none. */
const MeshKey *draw_key(Mesh *m);
/* probe_key returns a key that the newest configuration lets in, or not. */
const MeshKey *probe_key(const Mesh *m, int let_in);
const char *key_text(const MeshKey *k);
/* key_workspace returns "" without a key. */
const char *key_workspace(const MeshKey *k);
/* is_kept: all configurations so far hold it; is_in_force: the newest does;
   is_known: one of them did. No key is none of these. */
int is_kept(const MeshKey *k);
int is_in_force(const MeshKey *k);
int is_known(const MeshKey *k);
/* count_run counts the first run of a request for the quota of its key. */
void count_run(Mesh *m, const MeshKey *k, int64_t sent_at);
/* check_quotas prints and counts the workspaces that went beyond theirs. */
int check_quotas(const Mesh *m);

/* meshproc.c */
/* Both return 0 if the process cannot be started. */
int start_store(Mesh *m);
int start_relay(Node *n);
void signal_relay(Node *n, int signum);
/* end_all kills the processes that were started. */
void end_all(Mesh *m);

/* meshlife.c */
struct Instance *new_instance(Node *n);
/* restart_instance ends all connections and runs, and starts a new lifetime.
 */
void restart_instance(struct Instance *i);
/* freeze_instance makes it read and answer nothing until it is thawed. */
void freeze_instance(struct Instance *i, int frozen);
/* leave_instance makes it report that it leaves; a later restart ends that. */
void leave_instance(struct Instance *i);
void tick_instances(Mesh *m, int64_t now);

/* meshcall.c */
void tick_callers(Mesh *m, int64_t now);
/* probe_keys sends each relay a key that it has to let in and one that it must
   not. */
void probe_keys(Mesh *m);

/* meshlink.c */
/* listen_for_links returns 0 if the address cannot be listened on. */
int listen_for_links(Node *n);
void tick_links(Mesh *m, int64_t now);
/* break_links resets a share of the links that were opened to the relay, or
   makes them silent for good. */
void break_links(Node *n, double share, int silently);

/* meshrecord.c */
struct Record *new_record(void);
/* Each call names the attempt; node is where it happened. */
void record_sent(Mesh *m, const char *id, const MeshRoute *rt,
                 const Node *node);
/* record_key tells which key the caller shows. */
void record_key(Mesh *m, const char *id, const MeshKey *k, int is_probe);
/* record_named tells which workspace a run was shown, "" for none, and whether
   the key of the caller too. */
void record_named(Mesh *m, const char *id, const char *workspace, int has_key);
void record_run(Mesh *m, const char *id, const Node *node, int conn);
/* record_hung: the instance will never answer it. */
void record_hung(Mesh *m, const char *id, const Node *node, int conn);
void record_rejected(Mesh *m, const char *id, const Node *node, int conn);
void record_repeated(Mesh *m, const char *id, const Node *node, int conn,
                     int rejection);
/* status: 0 if there was no whole answer */
void record_answered(Mesh *m, const char *id, int status, const char *why);
/* record_held records that an undisturbed relay held a request beyond the
   deadline of its caller. */
void record_held(Mesh *m, const char *id);
/* record_foreign records a success that names another request. */
void record_foreign(Mesh *m, const char *id);
/* record_note prints a line with the time since the start of the callers. */
void record_note(Mesh *m, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* report_record prints the counts; returns the number of violations. */
int report_record(Mesh *m);

/* meshfault.c */
/* tick_faults begins and ends faults. */
void tick_faults(Mesh *m, int64_t now);
/* read_fault_names returns 0 if one of the names, separated by commas, is
   unknown. */
int read_fault_names(const char *names);

/* spmesh.c: numbers drawn from the seed. mesh_unit returns one from 0 to 1,
   mesh_chance 1 with probability p. */
double mesh_unit(Mesh *m);
int mesh_chance(Mesh *m, double p);
/* mesh_draw returns a number from 0 to n - 1. */
int mesh_draw(Mesh *m, int n);

#endif
