/* Declarations shared by server.c and client.c. */
#ifndef SP_WEB_PRIV_H
#define SP_WEB_PRIV_H

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>

#include "http/http.h"
#include "web/web.h"

struct SpWeb {
    uv_loop_t *loop;
    SpWebOpts o;
    h2o_globalconf_t conf;
    h2o_context_t ctx;
    int started; /* ctx is initialized: no listener may be added */
    GPtrArray *listeners;
    GHashTable *req_by_sock; /* h2o_socket_t -> pending SpWebReq */
    int nconns;
    GPtrArray *clients; /* of Client */
    int max_clients;    /* from the descriptors of the process */
    int nending;        /* clients that are being closed */
    uv_check_t check;   /* looks at the clients */
    int64_t checked_at;
    GPtrArray *pools;         /* of SpPool */
    GHashTable *pool_by_addr; /* address -> one of them */
    uv_timer_t tick;          /* of them; started with the first */
};

typedef struct Listener {
    uv_tcp_t tcp;
    SpWeb *web;
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2];
    int nconns;
} Listener;

/* A connection of a client. What was read of it and is not done with lies in
   sock->input. */
typedef struct Client {
    uv_tcp_t tcp;
    Listener *l;
    h2o_socket_t *sock;      /* NULL: rejected */
    int64_t began, moved_at; /* of what is being read */
    size_t before;           /* bytes read when it began */
    size_t seen;             /* bytes read at the last look */
    int head_ended; /* 1: the head being read has ended within its limit */
    int ending;     /* 1: being closed */
} Client;

/* clients.c */
/* watch_client is called with each new client, forget_client before it is
   freed. */
void watch_client(Client *c, h2o_socket_t *sock);
void forget_client(Client *c);
/* watch_clients starts to look at the clients. */
void watch_clients(SpWeb *w);
/* SpWeb_FreeDescriptor closes a client if there are too many; returns 0 if
   there are and none may be closed. */
int SpWeb_FreeDescriptor(SpWeb *w);

#endif
