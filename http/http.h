/*
 * http: HTTP/1.1 on libuv, by the http_parser library.
 *
 * Messages are read whole before they are passed on. The server answers
 * pipelined requests in their order. The client tells apart a request that
 * was never sent, one whose answer was lost and one that was answered; an
 * answer that ends by a reset is lost, one without a length that ends with
 * its connection is whole.
 *
 * It stands beside web/, which is built on h2o: h2o's client reports a reset
 * in a body without a length as its regular end.
 */
#ifndef SP_HTTP_H
#define SP_HTTP_H

#include <uv.h>

#include "base/base.h"

/* A message: a request or an answer. Its strings live in its arena. */
typedef struct SpMsg {
    SpArena *arena;
    const char *method; /* of a request */
    const char *target; /* of a request: path and query */
    int status;         /* of an answer */
    int keep_alive;     /* 0: the sender closes the connection after it */
    const SpHeader *headers;
    int nheaders;
    char *body;
    size_t body_len;
} SpMsg;

void SpMsg_Free(SpMsg *m);
/* SpMsg_Header returns NULL if there is none; case does not matter. */
const char *SpMsg_Header(const SpMsg *m, const char *name);
/* SpHttp_Reason is the phrase that goes with a status. */
const char *SpHttp_Reason(int status);
/* SpHttp_IsHop: 1 for a header that concerns one connection only. */
int SpHttp_IsHop(const char *name);

/* Bounds on what a client may send and on how long it may take. */
typedef struct SpHttpLimits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_us; /* from the first byte of a head to its last */
    int64_t idle_us;   /* of a connection without a request */
} SpHttpLimits;

/*
 * Server.
 */
typedef struct SpHttp SpHttp;
typedef struct SpHttpReq SpHttpReq;

/*
 * call gets each request; it is to be answered once by SpHttp_Answer. gone
 * is told that the client left before the answer; the request is freed when
 * gone returns.
 */
typedef struct SpHttpHandler {
    void (*on_request)(void *ctx, SpHttpReq *r);
    void (*on_disconnect)(void *ctx, SpHttpReq *r);
    void *ctx;
} SpHttpHandler;

SpHttp *SpHttp_New(uv_loop_t *loop, const SpHttpLimits *l);
void SpHttp_SetLimits(SpHttp *s, const SpHttpLimits *l);
/* SpHttp_Listen serves "IP:port"; returns 0 and sets err if it cannot. */
int SpHttp_Listen(SpHttp *s, const char *addr, const SpHttpHandler *h,
                  GError **err);
/* SpHttp_Tick closes connections past their limits; call it now and then. */
void SpHttp_Tick(SpHttp *s, int64_t now);
/* SpHttp_Drain lets each connection close behind its last answer. */
void SpHttp_Drain(SpHttp *s);
/* SpHttp_CloseIdle closes the connections without a request. */
void SpHttp_CloseIdle(SpHttp *s);
/* SpHttp_Open counts open connections. */
int SpHttp_Open(const SpHttp *s);

const SpMsg *SpHttpReq_Msg(const SpHttpReq *r);
void SpHttpReq_SetData(SpHttpReq *r, void *data);
void *SpHttpReq_Data(const SpHttpReq *r);
/*
 * SpHttp_Answer answers and frees the request. lines holds whole header
 * lines without those of length and connection; it may be empty.
 */
void SpHttp_Answer(SpHttpReq *r, int status, const char *lines,
                   const char *body, size_t n);

/*
 * Client: a pool of kept connections to one address.
 */
typedef struct SpPool SpPool;
typedef struct SpExchange SpExchange;

typedef enum {
    SP_POOL_OK,
    SP_POOL_UNSENT, /* no byte of the request left this process */
    SP_POOL_LOST    /* it may have arrived; no whole answer came */
} SpPoolEnd;

/* done is called once, never from within SpPool_Send; m is NULL unless the
   end is SP_POOL_OK, and is freed when done returns. why names the failure. */
typedef void (*SpPoolDone)(void *data, SpPoolEnd end, const SpMsg *m,
                           const char *error);

typedef struct SpPoolOpts {
    char addr[32];      /* "IP:port" */
    int64_t connect_us; /* longest wait for a new connection */
    int64_t idle_us;    /* a kept connection is closed after this */
    size_t body_bytes;  /* of an answer */
} SpPoolOpts;

typedef struct SpPoolSend {
    const char *head; /* request line and header lines, with the blank one */
    size_t head_len;
    const char *body;
    size_t body_len;
    int is_head; /* 1: the answer has no body */
    /* tells whether an answer is the one to this request; NULL: it is. One
       that is not is dropped, and the connection serves no other request */
    int (*is_mine)(void *data, const SpMsg *m);
    SpPoolDone done;
    void *data;
} SpPoolSend;

SpPool *SpPool_New(uv_loop_t *loop, const SpPoolOpts *o);
SpExchange *SpPool_Send(SpPool *p, const SpPoolSend *o);
/* SpExchange_Abort closes its connection; done is not called. */
void SpExchange_Abort(SpExchange *x);
/* SpPool_Tick closes connections past their limits. */
void SpPool_Tick(SpPool *p, int64_t now);
/* SpPool_Flush closes the idle connections. */
void SpPool_Flush(SpPool *p);
/* SpPool_Opened counts the connections opened since the start. */
uint64_t SpPool_Opened(const SpPool *p);

/*
 * Plain streams, for protocols beside HTTP.
 */

/* One buffer for all reads of a loop: what is read is copied at once. */
void SpHttp_Alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf);

/*
 * SpHttp_Write sends and frees p (from g_malloc): at once as far as the
 * socket takes it, the rest later. Returns the bytes sent at once, or a
 * negative error when none was.
 */
ssize_t SpHttp_Write(uv_stream_t *s, char *p, size_t n);

/* SpHttp_Now is a monotonic clock in microseconds that counts the time for
   which the machine was suspended. */
int64_t SpHttp_Now(void);
/* SpHttp_Addr reads "IP:port"; returns 0 if it is none. */
int SpHttp_Addr(const char *s, struct sockaddr_in *sa);

#endif
