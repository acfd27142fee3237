/* Declarations shared by server.c and client.c. */
#ifndef SP_WEB_PRIV_H
#define SP_WEB_PRIV_H

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <h2o/http1client.h>

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
    h2o_timeout_t io_timeout;
    h2o_http1client_ctx_t client;
    GHashTable *pools; /* address -> h2o_socketpool_t */
};

#endif
