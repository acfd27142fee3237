/* Declarations shared by admin.c and console.c. */
#ifndef SP_NODE_ADMIN_H
#define SP_NODE_ADMIN_H

#include "node/fns.h"

typedef struct Request {
    Node *n;
    SpWebReq *web;
    const SpToken *holder; /* of the access token */
    const char *path;
    const char *query; /* "" if there is none */
} Request;

typedef void (*PublishedCb)(void *ctx, SpPublishState st);

/* wait_published calls cb once the published record has been read back from
   the log, or after a time-out. It takes ownership of id. */
void wait_published(Request *q, char *id, PublishedCb cb, void *ctx);
/* form_token returns the anti-forgery token of the console's forms. It is
   bound to the holder of the access token and to this process. Free it with
   g_free. */
char *form_token(const Request *q);
void refuse_admin(Request *q, int status, const char *why);

/* console.c */
void get_console(Request *q);
void get_edit(Request *q);
void post_edit(Request *q);

#endif
