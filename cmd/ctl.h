/* Declarations shared by the files of spctl. */
#ifndef SP_CTL_H
#define SP_CTL_H

#include "conf/conf.h"

/* ctl_fetch sends a request to the admin address `node` and waits for the
   response; returns 0 if none came. */
int ctl_fetch(const char *node, const char *method, const char *path,
              const char *body);
/* ctl_ask gets a path from the node of -n; returns 0 and says so if no
   response came. */
int ctl_ask(const char *path);
/* Status and body of the last response. */
int ctl_status(void);
const char *ctl_body(void);

/* review.c */
/* ctl_pair copies the value of a key from a line of key=value pairs; quoted
   values keep their quotes. Returns 0 if the line has no such key. */
int ctl_pair(const char *line, const char *key, char *to, size_t n);
int run_timeline(int argc, char **argv);
int run_review(int argc, char **argv);

/* where.c */
int run_where(int argc, char **argv);

/* trace.c */
int run_trace(int argc, char **argv);
int run_explain(int argc, char **argv);

#endif
