/*
 * web: HTTP server on h2o and libuv, and the client of http/ for its users.
 *
 * Requests and responses are buffered completely. The server tells the handler
 * if the client disconnects before the response. The client is not that of
 * h2o: that one ends the process on a length below zero, takes a chunked body
 * that is cut off for a whole one, and reports a reset as the end of a body.
 */
#ifndef SP_WEB_H
#define SP_WEB_H

#include <uv.h>

#include "base/base.h"
#include "core/keys.h" /* SP_KEY_TEXT, for call/ */

typedef struct SpWeb SpWeb;
typedef struct SpWebReq SpWebReq;

typedef struct SpWebOpts {
    size_t body_bytes;   /* size limit of a request body */
    size_t header_bytes; /* size limit of a request head */
    int idle_ms;         /* time limit of a connection without a request */
    int max_connections; /* of each listener */
    size_t memory_bytes; /* of requests being read, all together; 0: no limit
                          */
} SpWebOpts;

/*
 * on_request must respond to each request exactly once, by SpWebReq_Respond,
 * at once or later. on_disconnect is called if the client disconnects before
 * the response; no response is due then.
 */
typedef struct SpWebHandler {
    void (*on_request)(void *ctx, SpWebReq *r);
    void (*on_disconnect)(void *ctx, SpWebReq *r);
    void *ctx;
} SpWebHandler;

SpWeb *SpWeb_New(uv_loop_t *loop, const SpWebOpts *o);
/* SpWeb_Listen listens on "IP:port"; returns 0 and sets err on failure. All
   calls must precede SpWeb_Start. */
int SpWeb_Listen(SpWeb *w, const char *addr, const SpWebHandler *h,
                 GError **err);
/* SpWeb_Start must be called before requests are served or sent. */
void SpWeb_Start(SpWeb *w);
/* SpWeb_Close closes the listeners and the idle connections. */
void SpWeb_Close(SpWeb *w);
/* SpWeb_Connections returns the number of open connections from clients. */
int SpWeb_Connections(const SpWeb *w);

const char *SpWebReq_Method(const SpWebReq *r);
const char *SpWebReq_Path(const SpWebReq *r); /* with the query */
/* SpWebReq_Header takes a name in lower case; returns NULL if the header is
   missing. */
const char *SpWebReq_Header(const SpWebReq *r, const char *name);
const char *SpWebReq_Body(const SpWebReq *r, size_t *n);
/* SpWebReq_Arena returns an arena that is freed with the request. */
SpArena *SpWebReq_Arena(const SpWebReq *r);
void SpWebReq_SetData(SpWebReq *r, void *data);
void *SpWebReq_Data(const SpWebReq *r);
/*
 * SpWebReq_Ref keeps the request allocated, even after its client has
 * disconnected, until SpWebReq_Unref.
 */
void SpWebReq_Ref(SpWebReq *r);
void SpWebReq_Unref(SpWebReq *r);
/* SpWebReq_Each calls f with each header. */
void SpWebReq_Each(const SpWebReq *r,
                   void (*f)(void *ctx, const char *name, const char *value),
                   void *ctx);
/* SpWebReq_Respond sends the response to a request; it does nothing if the
   client has disconnected or the response has been sent. */
void SpWebReq_Respond(SpWebReq *r, int status, const SpHeader *hs, int nhs,
                      const char *body, size_t n);

/*
 * Client.
 */
typedef struct SpFetch SpFetch;

typedef enum {
    SP_FETCH_OK,
    SP_FETCH_CONNECT_FAILED,
    SP_FETCH_NO_RESPONSE
} SpFetchStatus;

typedef struct SpFetchResult {
    SpFetchStatus end; /* SP_FETCH_CONNECT_FAILED: nothing was sent */
    const char *why;   /* what failed, for the log; may be NULL */
    int status;
    const SpHeader *headers; /* names in lower case */
    int nheaders;
    const char *body; /* zero-terminated; NULL if no head was received */
    size_t body_len;
    int named; /* 1: the response names the request (SpFetchOpts.name) */
} SpFetchResult;

typedef void (*SpFetchCb)(void *data, const SpFetchResult *f);

typedef struct SpFetchOpts {
    const char *addr;
    const char *method;
    const char *path;
    const SpHeader *headers;
    int nheaders;
    const char *body;
    size_t body_len;
    size_t max_response_bytes; /* size limit of the response body; 0: 16 MiB */
    int timeout_ms;            /* of the whole fetch; 0 if none */
    /* A header that a response may repeat; NULL: none. A response with another
       value belongs to another request: the fetch ends without a response. */
    const SpHeader *name;
    int own_connection; /* 1: on a connection that carries no other request */
    SpFetchCb cb;       /* called once, never from within SpWeb_Fetch */
    void *data;
} SpFetchOpts;

SpFetch *SpWeb_Fetch(SpWeb *w, const SpFetchOpts *o);
/* SpFetch_Abort cancels a fetch; its callback is not called. */
void SpFetch_Abort(SpFetch *f);
/* SpFetchResult_Header takes a name in lower case; returns NULL if the header
   is missing. */
const char *SpFetchResult_Header(const SpFetchResult *f, const char *name);

/* Monotonic and wall-clock time in microseconds. */
int64_t SpClock_Now(void);
int64_t SpClock_Wall(void);

#endif
