/*
 * call: client library for callers. It sends calls to the nodes in a list,
 * obtains a bound key for a non-idempotent call, and limits the retries of
 * each call. After the outcome "not-run" it retries at any node, with a new
 * key; after "unknown" it retries an idempotent call, or a non-idempotent one
 * with the same key, which makes it run at most once.
 */
#ifndef SP_CALL_H
#define SP_CALL_H

#include "web/web.h"

#define SP_CALL_CONTACTS 256

typedef struct SpCallerOpts {
    const char *contacts[SP_CALL_CONTACTS]; /* inbound addresses of nodes */
    int ncontacts;
    int retries; /* limit for one call; each further request, for a key or of
                    the call itself, counts */
    int wait_ms; /* mean delay before a retry */
    int honor_retry_after; /* 1: add 0.5 to 1.5 times the Retry-After of the
                              response to the delay */
    uint64_t seed;
} SpCallerOpts;

typedef struct SpCaller SpCaller;

/* Result of a call. The pointers are valid until the callback returns. */
typedef struct SpCallResult {
    int status; /* HTTP status; 0 if there is no response */
    SpOutcome outcome;
    const char *kind; /* name of the error kind, or "ok" */
    const char *key;  /* bound key that was used; NULL if none */
    int attempts;
    const char *body;
    size_t body_len;
    int64_t duration_us;
} SpCallResult;

typedef void (*SpCallCb)(void *data, const SpCallResult *r);

typedef struct SpCallRequest {
    const char *method;
    const char *path;
    const char *route; /* name of a non-idempotent route; NULL if none */
    const char *id;    /* sent as x-request-id; NULL if none */
    const char *body;
    size_t body_len;
    const char *contact; /* node for the first request, for a key or the call;
                            NULL for any */
    int timeout_ms;
    SpCallCb cb;
    void *data;
} SpCallRequest;

SpCaller *SpCaller_New(SpWeb *w, uv_loop_t *loop, const SpCallerOpts *o);
/* SpCaller_Free must not be called while a call is pending. */
void SpCaller_Free(SpCaller *c);
/* SpCaller_Call copies call, with its strings; call->cb is called once. */
void SpCaller_Call(SpCaller *c, const SpCallRequest *call);

#endif
