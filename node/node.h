/*
 * Types of the node daemon. Each source file owns its sockets; routing,
 * admission and membership decisions are made by core.
 */
#ifndef SP_NODE_H
#define SP_NODE_H

#include <uv.h>

#include "core/core.h"
#include "web/web.h"

typedef struct Peers Peers; /* peers.c */

typedef struct Node {
    SpNodeSettings set;
    uv_loop_t *loop;
    SpWeb *web;
    SpCore *core;
    Peers *peers;
    uv_timer_t tick;
    uv_signal_t term, intr;
    int64_t stop_at;    /* when the graceful stop began; 0 if not stopping */
    uint64_t runs;      /* requests sent to the instance; names the next one */
    int instance_names; /* 1: its last response named the request */
    char form_secret[40]; /* key of the form tokens */
} Node;

/* A call in progress. */
typedef struct Call {
    Node *n;
    SpWebReq *web;
    SpSource source;
    uint64_t trace[2];
    SpHandle h;      /* the request in core */
    uint32_t number; /* of the fetch in progress, passed back to core */
    int is_run;      /* 1: fetch goes to the local instance, 0: to a node */
    SpFetch *fetch;
} Call;

#endif
