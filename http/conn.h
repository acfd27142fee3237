/* Connections of clients: shared by server.c and clients.c. */
#ifndef SP_HTTP_CONN_H
#define SP_HTTP_CONN_H

#include "flow/eviction.h"
#include "http/priv.h"

/* Memory of a connection that does nothing. */
#define SP_CONN_BYTES ((size_t)4096)

typedef struct Listener {
    uv_tcp_t tcp;
    SpHttpServer *s;
    SpHttpHandler h;
} Listener;

typedef struct Conn {
    uv_tcp_t tcp;
    uv_shutdown_t shutdown_req;
    SpHttpServer *s;
    Listener *l;
    SpMsgReader r;
    SpOut out;
    GQueue reqs;  /* of SpHttpReq, oldest first */
    size_t ready; /* bytes of responses that wait for earlier ones */
    int64_t opened_at;
    int64_t since;     /* start of the idle time or of the head being read, or
                          time of the last bytes of the body being read */
    int64_t began;     /* of the message being read */
    int64_t read_at;   /* when its last bytes arrived */
    size_t read_bytes; /* of it */
    int marked;        /* by SpHttpReq_MarkConn */
    int local;         /* opened on this machine: 1 yes, -1 no, 0 not asked */
    int served;        /* 1: a request has been received */
    int in_message;    /* a request has been read in part */
    int closing;       /* no further request is accepted */
    int write_shut;    /* the write side is shut down, or dropped is set */
    int broken;        /* to be dropped at the end of the turn */
    int dropped;       /* the handle is closing */
    int read_paused;
    size_t unsent;   /* bytes of responses that the socket has not accepted */
    int64_t sent_at; /* when unsent last changed, or the write side was shut */
} Conn;

struct SpHttpReq {
    Conn *c;
    SpMsg *msg;
    void *data;
    int responded;
    char *out;
    size_t out_len;
};

struct SpHttpServer {
    uv_loop_t *loop;
    SpHttpLimits limits;
    SpHttpOpts o;
    SpHttpCounts counts;
    /* when there was no client to close, by need and kind of memory */
    int64_t none_at[SP_NEED_DESCRIPTOR + 1][SP_HELD_NKINDS + 1];
    const Conn *reading;      /* whose bytes are being read; NULL: none */
    GPtrArray *conns;         /* of Conn */
    GPtrArray *broken;        /* of Conn */
    uv_prepare_t end_of_turn; /* active while there are broken connections */
    int draining;
};

/* server.c */
void drop_conn(Conn *c);
/* mark_broken drops the connection at the end of the turn. */
void mark_broken(Conn *c);
void resume_reading(Conn *c);
void send_responses(Conn *c);
/* reject queues an error response to an unreadable request and closes after
   it. */
void reject(Conn *c, int status, const char *lines);
/* drop_out gives up the answer to a request. */
void drop_out(SpHttpReq *r);

/* clients.c */
/* SpHttpServer_FreeDescriptor closes a connection so that another may be
   opened; returns 0 if none may be closed. */
int SpHttpServer_FreeDescriptor(SpHttpServer *s);

#endif
