/*
 * call: the library for callers. It sends calls to the nodes that it is told
 * of, gets a bound key for a non-idempotent call, and retries within its own
 * bound: after "not-run" anywhere, with a new key; after "unknown" only an
 * idempotent call, or one with its key, which runs at most once.
 */
#ifndef SP_CALL_H
#define SP_CALL_H

#include "web/web.h"

#define SP_CALL_CONTACTS 256

typedef struct SpCallerOpts {
    const char *contacts[SP_CALL_CONTACTS]; /* inbound addresses */
    int ncontacts;
    int retries; /* of one call, besides its first attempt */
    int wait_ms; /* mean wait before a retry */
    int obey;    /* 1: wait at least as long as the answer says */
    uint64_t seed;
} SpCallerOpts;

typedef struct SpCaller SpCaller;

/* What came of a call. The pointers live until the callback returns. */
typedef struct SpCallResult {
    int status; /* HTTP; 0 if no answer came */
    SpOutcome outcome;
    const char *kind; /* name of the error kind, or "ok" */
    const char *key;  /* bound key that was used; NULL none */
    int attempts;
    const char *body;
    size_t body_len;
    int64_t took_us;
} SpCallResult;

typedef void (*SpCallCb)(void *data, const SpCallResult *r);

typedef struct SpCallerCall {
    const char *method;
    const char *path;
    const char *route; /* name of a non-idempotent route; NULL if none */
    const char *id;    /* sent as x-request-id; NULL none */
    const char *body;
    size_t body_len;
    const char *contact; /* the node to use; NULL for any */
    int timeout_ms;
    SpCallCb cb;
    void *data;
} SpCallerCall;

SpCaller *SpCaller_New(SpWeb *w, uv_loop_t *loop, const SpCallerOpts *o);
/* SpCaller_Free: no call of it may be out. */
void SpCaller_Free(SpCaller *c);
void SpCaller_Call(SpCaller *c, const SpCallerCall *call);

#endif
