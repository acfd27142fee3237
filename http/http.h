/*
 * http: HTTP/1.1 server and client on libuv and http_parser.
 *
 * Messages are buffered completely before they are passed on. The server
 * responds to pipelined requests in order. The client distinguishes a request
 * that was never sent, one that was sent but got no complete response, and one
 * that got a response. A response cut off by a reset is incomplete; one
 * without a length is complete when the peer closes the connection by a FIN.
 *
 * All answers that a program reads come through its reader: of instances, of
 * the store, and those that web/ fetches. What is not an answer by the rules
 * of HTTP/1.1 (docs/design/answers.md) is a failure of the exchange.
 */
#ifndef SP_HTTP_H
#define SP_HTTP_H

#include <uv.h>

#include "base/base.h"

/*
 * Account of the memory that a process holds for others, by kind. One bound
 * covers all of it. Large parts are taken before they are held and may be
 * refused; small ones are added in any case.
 */
typedef enum {
    SP_HELD_CONNECTIONS,
    SP_HELD_HEADS,   /* of requests and responses */
    SP_HELD_BODIES,  /* of requests and responses, whole or in part */
    SP_HELD_COPIES,  /* of bodies, for runs */
    SP_HELD_ANSWERS, /* that clients have not taken yet */
    SP_HELD_FRAMES,  /* messages of other relays, in part, and to them */
    SP_HELD_NKINDS
} SpHeldKind;

typedef struct SpHeld {
    size_t limit, used; /* bytes; limit 0: none */
    size_t by_kind[SP_HELD_NKINDS];
    /* Closes the connection of the client that costs the most for nothing in
       that kind, or in all if k is SP_HELD_NKINDS; returns 0 if there is none.
       NULL: nobody can be closed. */
    int (*make_room)(void *ctx, SpHeldKind k);
    void *ctx;
} SpHeld;

/* SpHeld_KindName returns the name of a kind in metrics. */
const char *SpHeld_KindName(SpHeldKind k);
/* SpHeld_Take takes n bytes, after it has made room if need be; returns 0 if
   there is none. Large ones leave a part of the bound to small ones. h may be
   NULL: no limit. */
int SpHeld_Take(SpHeld *h, SpHeldKind k, size_t n);
/* SpHeld_Add adds n bytes that are held in any case. */
void SpHeld_Add(SpHeld *h, SpHeldKind k, size_t n);
void SpHeld_Release(SpHeld *h, SpHeldKind k, size_t n);
/* SpHeld_IsShort returns 1 if more than half of the bound is in use: what
   costs nothing to hold back is held back. */
int SpHeld_IsShort(const SpHeld *h);

/* What is no larger is small: it may take the last of the memory. */
#define SP_SMALL_BYTES ((size_t)64 << 10)

/*
 * Part of that memory for one kind, shared by a server and its pools if it is
 * for bodies. A body may grow as long as what is then left of the limit is no
 * less than its own buffer, so that a few endless ones leave room for shorter
 * ones; one that is held alone may grow up to the limit.
 */
typedef struct SpBodyMemory {
    size_t limit, used; /* bytes */
    SpHeld *all;        /* NULL: none */
    SpHeldKind kind;    /* there */
} SpBodyMemory;

/* SpBodyMemory_Take takes n bytes for a body that is held beside a message;
   returns 0 if the limit leaves no room for them. */
int SpBodyMemory_Take(SpBodyMemory *b, size_t n);
void SpBodyMemory_Release(SpBodyMemory *b, size_t n);

/* An HTTP request or response. Its strings are allocated from its arena. */
typedef struct SpMsg {
    SpArena *arena;
    const char *method; /* of a request */
    const char *target; /* of a request: path and query */
    int status;         /* of a response */
    int keep_alive;     /* 0: the sender closes the connection after it */
    const SpHeader *headers;
    int nheaders;
    char *body;
    size_t body_len;
    SpBodyMemory *memory; /* from which body was taken; NULL: no limit */
    size_t head_held;     /* bytes of the account for the head */
} SpMsg;

void SpMsg_Free(SpMsg *m);
/* SpMsg_Header ignores case; returns NULL if the header is missing. */
const char *SpMsg_Header(const SpMsg *m, const char *name);
/* SpHttp_Reason returns the reason phrase of a status. */
const char *SpHttp_Reason(int status);
/* The options of the Connection fields of a message, sorted, so that a search
   takes few comparisons however many there are. */
typedef struct SpConnOptions {
    GPtrArray *list; /* of char * */
} SpConnOptions;
void SpConnOptions_Read(const SpMsg *m, SpConnOptions *o);
int SpConnOptions_Has(const SpConnOptions *o, const char *name);
void SpConnOptions_Clear(SpConnOptions *o);
/* SpHttp_IsHopByHop returns 1 for a hop-by-hop header and for Content-Length.
 */
int SpHttp_IsHopByHop(const char *name);

/* Limits on the size of requests and on the time that clients may take. */
typedef struct SpHttpLimits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_us; /* from the first byte of a head to its last */
    int64_t idle_us;   /* without a byte, between requests, in a body, or
                          taken of a response */
} SpHttpLimits;

/* What a server may hold, in addition to the limits of a request. */
typedef struct SpHttpOpts {
    SpBodyMemory *bodies;  /* shared; NULL: no limit */
    SpBodyMemory *answers; /* that clients have not taken; NULL: no limit */
    int connections;       /* 0: no limit */
} SpHttpOpts;

/* Clients closed or turned away since the start. */
typedef struct SpHttpCounts {
    uint64_t closed_memory;      /* closed, since memory was needed */
    uint64_t closed_descriptors; /* closed, since a new one came */
    uint64_t turned_away;        /* new ones closed at once */
    uint64_t answers_dropped;    /* answers without room, replaced by 502 */
} SpHttpCounts;

/*
 * Server.
 */
typedef struct SpHttpServer SpHttpServer;
typedef struct SpHttpReq SpHttpReq;

/*
 * on_request must respond to each request exactly once, by SpHttpReq_Respond,
 * at once or later. on_disconnect is called if the client disconnects before
 * the response; the request is freed when it returns. It is called from the
 * loop and from SpHttpServer_Tick only, never from within SpHttpReq_Respond.
 */
typedef struct SpHttpHandler {
    void (*on_request)(void *ctx, SpHttpReq *r);
    void (*on_disconnect)(void *ctx, SpHttpReq *r);
    void *ctx;
} SpHttpHandler;

/* A request whose body finds no room gets status 503 and is not passed on; an
   answer that finds none is replaced by status 502. */
SpHttpServer *SpHttpServer_New(uv_loop_t *loop, const SpHttpLimits *l,
                               const SpHttpOpts *o);
/* SpHttpServer_MakeRoom is the make_room of an account whose ctx is the
   server. on_disconnect is called later, from the loop. */
int SpHttpServer_MakeRoom(void *s, SpHeldKind k);
SpHttpCounts SpHttpServer_Counts(const SpHttpServer *s);
void SpHttpServer_SetLimits(SpHttpServer *s, const SpHttpLimits *l);
/* SpHttpServer_Listen listens on "IP:port"; returns 0 and sets err on failure.
 */
int SpHttpServer_Listen(SpHttpServer *s, const char *addr,
                        const SpHttpHandler *h, GError **err);
/* SpHttpServer_Tick applies the time limits; it must be called periodically.
 */
void SpHttpServer_Tick(SpHttpServer *s, int64_t now);
/* SpHttpServer_Drain makes each connection close after its last pending
 * response. */
void SpHttpServer_Drain(SpHttpServer *s);
/* SpHttpServer_CloseIdle closes the connections that have had no request for a
   moment. */
void SpHttpServer_CloseIdle(SpHttpServer *s);
/* SpHttpServer_Connections returns the number of open connections. */
int SpHttpServer_Connections(const SpHttpServer *s);
/* SpHttpServer_MaxConnections returns the limit of them; 0: none. */
int SpHttpServer_MaxConnections(const SpHttpServer *s);

const SpMsg *SpHttpReq_Msg(const SpHttpReq *r);
/* SpHttpReq_OpenedAt returns the time at which its connection was accepted. */
int64_t SpHttpReq_OpenedAt(const SpHttpReq *r);
/* SpHttpReq_IsLocal returns 1 if the connection was opened on this machine:
   from its own address, or from 127.0.0.1 to another loopback address. */
int SpHttpReq_IsLocal(const SpHttpReq *r);
/* A mark of the connection that its user may set; it is never cleared. */
void SpHttpReq_MarkConn(SpHttpReq *r);
int SpHttpReq_IsConnMarked(const SpHttpReq *r);
/* SpHttp_IsLocalPeer decides the same for two IPv4 addresses, both in host
   byte order. */
int SpHttp_IsLocalPeer(uint32_t peer, uint32_t own);
void SpHttpReq_SetData(SpHttpReq *r, void *data);
void *SpHttpReq_Data(const SpHttpReq *r);
/*
 * SpHttpReq_Respond sends the response to a request and frees the request.
 * lines holds complete header lines, or is empty. It must not hold
 * Content-Length or Connection, which SpHttpReq_Respond adds.
 */
void SpHttpReq_Respond(SpHttpReq *r, int status, const char *lines,
                       const char *body, size_t n);

/*
 * Client: a pool of persistent connections to one address.
 */
typedef struct SpPool SpPool;
typedef struct SpExchange SpExchange;

typedef enum {
    SP_POOL_OK,
    SP_POOL_NOT_SENT,   /* no byte of the request left this process */
    SP_POOL_NO_RESPONSE /* may have been received; no complete response */
} SpPoolStatus;

/*
 * SpPoolDone is called once, never from within SpPool_Send. m is NULL unless
 * end is SP_POOL_OK, and is freed on return. error names the failure.
 */
typedef void (*SpPoolDone)(void *data, SpPoolStatus end, const SpMsg *m,
                           const char *error);

typedef struct SpPoolOpts {
    char addr[32];        /* "IP:port" */
    int64_t connect_us;   /* time limit of a connect */
    int64_t idle_us;      /* time limit of an idle connection */
    size_t body_bytes;    /* size limit of a response body */
    SpBodyMemory *memory; /* shared; NULL: no limit */
} SpPoolOpts;

/* What a response is to the request that waits for one. */
typedef enum {
    SP_REPLY_OTHER,    /* of another request */
    SP_REPLY_FAILURE,  /* of another request; its own is not waited for */
    SP_REPLY_FINAL,    /* its answer; it is not sent again */
    SP_REPLY_REJECTION /* its answer; it may be sent again with the same key */
} SpReplyMatch;

typedef struct SpPoolRequest {
    const char *head; /* request line, header lines and the empty line */
    size_t head_len;
    const char *body;
    size_t body_len;
    size_t max_response_bytes; /* size limit of the body; 0: of the pool */
    int is_head;               /* 1: HEAD request, the response has no body */
    int own_connection; /* 1: on a connection that carries no other request */
    /*
     * key is a hash of what names the request in its responses; 0: nothing
     * does. A connection on which it was rejected is not used for it again
     * before key_until: a late copy of the rejection there could not be told
     * from the answer to the later send.
     */
    guint key;
    int64_t key_until;
    /*
     * Returns what the response is to this request; NULL accepts any. first is
     * 1 if the connection has carried no request before this one. A response
     * of another request is discarded: the exchange waits for the next
     * response, and the connection is not reused after it.
     */
    SpReplyMatch (*match)(void *data, const SpMsg *m, int first);
    SpPoolDone done;
    void *data;
} SpPoolRequest;

SpPool *SpPool_New(uv_loop_t *loop, const SpPoolOpts *o);
/* SpPool_Free closes the idle connections and frees the pool, in which no
   exchange may be left. */
void SpPool_Free(SpPool *p);
SpExchange *SpPool_Send(SpPool *p, const SpPoolRequest *o);
/* SpExchange_Abort closes the connection; done is not called. */
void SpExchange_Abort(SpExchange *x);
/* SpPool_Tick applies the time limits; it must be called periodically. */
void SpPool_Tick(SpPool *p, int64_t now);
/* SpPool_CloseIdle closes the idle connections. */
void SpPool_CloseIdle(SpPool *p);
/* SpExchange_Connection returns the number of its connection: they are counted
   from 1 in the order in which they are opened. */
uint64_t SpExchange_Connection(const SpExchange *x);

/* Events since the start. */
typedef struct SpPoolCounts {
    uint64_t opened;      /* connections */
    uint64_t unsolicited; /* connections closed since bytes arrived that no
                             request waited for */
    uint64_t discarded;   /* responses to other requests */
} SpPoolCounts;

SpPoolCounts SpPool_Counts(const SpPool *p);

/*
 * Helpers for libuv streams, also used for protocols other than HTTP.
 */

/*
 * SpHttp_Alloc is a uv_alloc_cb that returns one static buffer for all reads.
 * The read callback must copy what it keeps, as the next read overwrites it.
 */
void SpHttp_Alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf);

/*
 * SpHttp_Write sends p, allocated by g_malloc, and frees it. What the socket
 * does not accept at once is queued. Returns the number of bytes sent at once,
 * or a negative libuv error if nothing was sent or queued. error, which may be
 * NULL, is set to the libuv error if queued bytes cannot be sent; it must last
 * until the stream is closed.
 */
ssize_t SpHttp_Write(uv_stream_t *s, char *p, size_t n, int *error);

/* SpHttp_ListenTcp initializes tcp, whose data must be set after it, and
   listens on "IP:port"; returns 0 and sets err on failure. */
int SpHttp_ListenTcp(uv_loop_t *loop, uv_tcp_t *tcp, const char *addr,
                     int backlog, uv_connection_cb cb, GError **err);

/* SpHttp_Now returns monotonic time in microseconds, which advances while the
   machine is suspended. */
int64_t SpHttp_Now(void);
/* SpHttp_ParseAddr parses "IP:port" (IPv4); returns 0 if it is invalid. */
int SpHttp_ParseAddr(const char *s, struct sockaddr_in *sa);

#endif
