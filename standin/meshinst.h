/* meshinst: instances of spmesh, shared by meshinst.c and meshlife.c. */
#ifndef SP_STANDIN_MESHINST_H
#define SP_STANDIN_MESHINST_H

#include "standin/mesh.h"

typedef struct Run Run;

typedef struct Instance {
    Node *n;
    char id[64];
    int64_t born_ms;
    int seq, nconns, running, frozen, leaving, listening;
    uv_tcp_t *listener;
    GPtrArray *conns; /* of IConn */
    GPtrArray *runs;  /* of Run in progress */
    GQueue waiting;   /* of Run */
    int64_t report_at;
} Instance;

typedef struct IConn {
    uv_tcp_t tcp;
    Instance *i;
    int number;
    SpMsgReader r;
    Run *run;       /* request on it; NULL: none */
    GString *late;  /* to be sent where the next answer is due */
    GString *ahead; /* received while a request runs */
    int closed;
    int hung; /* 1: nothing is answered on it any more */
} IConn;

struct Run {
    IConn *c;
    Instance *i;
    char id[128], path[256], workspace[MESH_NAME];
    int has_key; /* 1: it was shown the key of the caller */
    const MeshRoute *route;
    int begun, call_failed;
    int64_t deadline, end_at;
    SpExchange *call; /* its own call in progress */
};

/* meshinst.c */
void on_instance_conn(uv_stream_t *st, int status);
/* close_conn ends what runs for the connection. */
void close_conn(IConn *c, int reset);
/* read_on reads the next request, unless the instance is frozen. */
void read_on(IConn *c);
void end_due_runs(Instance *i, int64_t now);

#endif
