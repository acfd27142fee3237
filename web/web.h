/*
 * web: HTTP for the programs, by h2o on libuv.
 *
 * Server: whole requests in, whole answers out; the handler is told when the
 * client leaves before the answer. Client: whole requests out, whole answers
 * in; an answer that is cut short or has no stated length is an error.
 */
#ifndef SP_WEB_H
#define SP_WEB_H

#include <uv.h>

#include "base/base.h"
#include "core/keys.h" /* SpHeader */

typedef struct SpWeb SpWeb;
typedef struct SpWebReq SpWebReq;

typedef struct SpWebOpts {
    size_t body_bytes;   /* of a request */
    size_t header_bytes; /* of a request's head */
    int idle_ms;         /* of a connection without a request */
    int max_connections; /* of each listener */
} SpWebOpts;

/* call gets each request and must answer it once by SpWeb_Reply. gone is
   told that the client left; no answer is due then. */
typedef struct SpWebHandler {
    void (*on_request)(void *ctx, SpWebReq *r);
    void (*on_disconnect)(void *ctx, SpWebReq *r);
    void *ctx;
} SpWebHandler;

SpWeb *SpWeb_New(uv_loop_t *loop, const SpWebOpts *o);
/* SpWeb_Listen serves "IP:port"; returns 0 and sets err if it cannot. */
int SpWeb_Listen(SpWeb *w, const char *addr, const SpWebHandler *h,
                 GError **err);
/* SpWeb_Start begins to serve, after the last SpWeb_Listen. */
void SpWeb_Start(SpWeb *w);
/* SpWeb_Close stops to accept and ends idle connections. */
void SpWeb_Close(SpWeb *w);
/* SpWeb_Open counts connections that clients hold open. */
int SpWeb_Open(const SpWeb *w);

const char *SpWebReq_Method(const SpWebReq *r);
const char *SpWebReq_Path(const SpWebReq *r); /* with the query */
/* SpWebReq_Header returns NULL if there is none; name in lower case. */
const char *SpWebReq_Header(const SpWebReq *r, const char *name);
const char *SpWebReq_Body(const SpWebReq *r, size_t *n);
/* The arena lives as long as the request. */
SpArena *SpWebReq_Arena(const SpWebReq *r);
void SpWebReq_SetData(SpWebReq *r, void *data);
void *SpWebReq_Data(const SpWebReq *r);
/* SpWebReq_Hold keeps the memory of a request whose client left. */
void SpWebReq_Hold(SpWebReq *r);
void SpWebReq_Drop(SpWebReq *r);
/* SpWebReq_Each calls f for each header. */
void SpWebReq_Each(const SpWebReq *r,
                   void (*f)(void *ctx, const char *name, const char *value),
                   void *ctx);
void SpWeb_Reply(SpWebReq *r, int status, const SpHeader *hs, int nhs,
                 const char *body, size_t n);

/*
 * Client.
 */
typedef struct SpFetch SpFetch;

typedef enum { SP_FETCH_OK, SP_FETCH_CONNECT, SP_FETCH_BROKEN } SpFetchEnd;

typedef struct SpFetched {
    SpFetchEnd end; /* SP_FETCH_CONNECT: nothing was sent */
    const char *why;
    int status;
    const SpHeader *headers; /* names in lower case */
    int nheaders;
    const char *body; /* with a zero byte behind it; NULL if none came */
    size_t body_len;
} SpFetched;

typedef void (*SpFetchCb)(void *data, const SpFetched *f);

typedef struct SpFetchOpts {
    const char *addr;
    const char *method;
    const char *path;
    const SpHeader *headers;
    int nheaders;
    const char *body;
    size_t body_len;
    size_t max_answer; /* bytes of the answer's body */
    int timeout_ms;    /* of the whole fetch; 0 none */
    SpFetchCb cb;      /* called once, never from within SpWeb_Fetch */
    void *data;
} SpFetchOpts;

SpFetch *SpWeb_Fetch(SpWeb *w, const SpFetchOpts *o);
/* SpFetch_Abort ends a fetch; its callback is not called. */
void SpFetch_Abort(SpFetch *f);
/* SpFetched_Header returns NULL if there is none. */
const char *SpFetched_Header(const SpFetched *f, const char *name);

/* Monotonic and wall clock in microseconds, for the daemons. */
int64_t SpClock_Now(void);
int64_t SpClock_Wall(void);

#endif
