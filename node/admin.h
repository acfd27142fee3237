/* Declarations shared by admin.c and the files of the console. */
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

/* html.c */
/* append_escaped appends text with the special characters of HTML escaped. */
void append_escaped(GString *s, const char *t);
/* begin_page starts a page; send_page ends it, responds with it and frees s.
 */
void begin_page(GString *s, const char *title, const Node *n);
void send_page(SpWebReq *web, int status, GString *s);
/* append_diff appends the lines that differ between two texts. */
void append_diff(GString *s, const char *old, const char *new);

/* console.c */
void get_console(Request *q);

/* edit.c */
void get_edit(Request *q);
void post_edit(Request *q);
const SpVersion *current_version(const Request *q);

#endif
