/*
 * node: the types of the node daemon. Each part owns its sockets; the
 * decisions are those of core.
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
    int64_t stop_at; /* 0 while not stopping */
    char form_secret[40];
} Node;

/* One call that is being served. */
typedef struct Call {
    Node *n;
    SpWebReq *web;
    SpSource source;
    uint64_t trace[2];
    SpHandle h;
    uint32_t number;
    int is_run; /* the fetch goes to the own instance */
    SpFetch *fetch;
} Call;

#endif
