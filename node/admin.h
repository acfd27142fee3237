/* admin: what the files of the administration share. */
#ifndef SP_NODE_ADMIN_H
#define SP_NODE_ADMIN_H

#include "node/fns.h"

typedef struct Request {
    Node *n;
    SpWebReq *web;
    const SpToken *who;
    const char *path;
    const char *query; /* "" for none */
} Request;

typedef void (*PublishedCb)(void *ctx, SpPubState st);

/* wait_published calls cb once the record was read back, or after a bound.
   It takes id over. */
void wait_published(Request *q, char *id, PublishedCb cb, void *ctx);
/* form_token belongs to one holder of a token and this process; g_free. */
char *form_token(const Request *q);
void refuse_admin(Request *q, int status, const char *why);

/* console.c */
void get_console(Request *q);
void get_edit(Request *q);
void post_edit(Request *q);

#endif
