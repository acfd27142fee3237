/* inst: declarations shared by the files of spinst. */
#ifndef SP_STANDIN_INST_H
#define SP_STANDIN_INST_H

#include <signal.h>

#include "base/base.h"

#define INST_HEAD_BYTES 65536
#define INST_TEXT_BYTES 4096

/* Options and state of the instance. */
typedef struct Inst {
    const char *addr, *id, *service, *zone, *control;
    int slots;
    int report_ms;
    int idle_s; /* idle connections are closed after this time; 0: never */
    long long start_ms;
    volatile sig_atomic_t draining;
    volatile sig_atomic_t muted; /* number of times */
    int seq;
    int refuse_checks; /* 1: status checks are refused */
    int names_runs;    /* 1: answers repeat the sp-run of their request */
    const char *raw;   /* file of raw answers (rawtext.h); NULL: none */
} Inst;

extern Inst inst;

/* A connection from the relay. */
typedef struct Conn {
    int fd;
    char *late; /* response to be sent again; NULL: none */
} Conn;

typedef struct Request {
    char method[16], run[32];
    char path[INST_TEXT_BYTES], id[INST_TEXT_BYTES], caller[INST_TEXT_BYTES];
    char expect[INST_TEXT_BYTES];
    char workspace[INST_TEXT_BYTES]; /* empty: not named */
    int has_key;                     /* 1: the caller's key was passed on */
    long left_ms;
    size_t body;
} Request;

/* instnet.c: bytes on the connections */
void sleep_ms(int ms);
/* send_all returns 0 if the peer closed the connection. */
int send_all(int fd, const char *p, size_t n);
void send_text(int fd, const char *s);
/* reset_on_close makes close send a reset. */
void reset_on_close(int fd);
/* read_head reads the head of a request; bytes received after it stay in buf.
   Returns 0 if the connection ended. */
int read_head(int fd, char *buf, size_t *len, Request *r);
/* read_status reads a whole answer; returns its status, or 0 if it is broken
   or the connection ends before. */
int read_status(int fd);
/* skip_body returns 0 if the connection ended. */
int skip_body(int fd, char *buf, size_t *len, size_t body);

/* rawanswers.c */
/* The path of a request for a raw answer ends with this and its name. */
#define RAW_PATH "/raw-"
/* load_raw_answers returns 0 if the file cannot be read. */
int load_raw_answers(const char *file);
/* send_raw_answer returns 0 to close the connection. */
int send_raw_answer(int fd, const Request *r);

/* answers.c */
/* init_answers is called once the options have been read. */
void init_answers(void);
/* respond returns 0 to close the connection. */
int respond(Conn *c, const Request *r);
int ends_with(const char *s, const char *end);

#endif
