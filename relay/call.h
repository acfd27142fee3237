/*
 * call: a request of a caller at the node where it enters. entry.c reads it,
 * admits it and answers it; attempt.c sends it to instances.
 */
#ifndef SP_CALL_H
#define SP_CALL_H

#include "relay/relay.h"

/* Maximum number of sends of one request, counting those that are refused. */
#define SP_MAX_TRIES 6

struct Call {
    Relay *n;
    SpHttpReq *req;
    const SpMsg *msg;
    const char *id;
    SpRoutes *routes;
    const SpPathRoute *route;
    const char *service;
    int64_t arrived, deadline;
    int rank;
    const SpWorkspace *workspace; /* of the caller's key; NULL: none */
    const char *workspace_name;   /* the same, or that of the request on behalf
                                     of which a call is made; owned, or NULL */
    int in_quota; /* 1: it counts for the quota of its workspace */
    double share; /* at which the original request was admitted */
    int nested;   /* 1: made on behalf of a running request */
    int is_retry; /* 1: that request is a retry, or caused by one */
    char *parent; /* id of that request, owned; NULL: none is named */
    GString *head;
    SpUpstream *tried[SP_MAX_TRIES];
    int ntried;
    SpUpstream *refused_by[SP_MAX_TRIES]; /* instances that received it and did
                                          not run it */
    int nrefused;
    int reached;       /* number of sends that an instance received */
    double calls_left; /* calls that its original request needs after it */
    int maybe_ran;
    int nested_failed;  /* 1: a nested call of it failed */
    SpUpstream *target; /* where it is being sent; NULL between attempts */
    Job *job;           /* if sent to the local instance */
    uint64_t seq;       /* if sent to another node */
    SpKind last_kind;   /* result of the last attempt */
    GList node;
};

/* entry.c */
/* parent_of returns the run that made this call; NULL if none did, or if it
   has ended. */
Job *parent_of(const Call *c);
/* forward_answer sends the instance's answer to the caller and frees the
   call. */
void forward_answer(Call *c, const Result *r);
/* refuse_or_fail refuses a request that has not run, so that the caller may
   retry it, and fails another; it frees the call. */
void refuse_or_fail(Call *c, SpKind k);

/* attempt.c */
/* try_instances sends the call to an instance, and to others when one refuses
   it; it ends the call if there is none. */
void try_instances(Call *c);
/* cancel_attempt cancels the attempt in progress, if any. */
void cancel_attempt(Call *c);

#endif
