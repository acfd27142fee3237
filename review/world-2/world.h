/*
 * world: what the cases of this review share. A case is one program that plays
 * the platform's store, the targets and their clients, each on threads, and
 * starts real relays as processes. Everything is on loopback addresses.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define WORLD_PORT_STORE 7400
#define WORLD_PORT_OUTBOUND 7401
#define WORLD_PORT_INBOUND 7402
#define WORLD_PORT_CONTROL 7403
#define WORLD_PORT_READY 7404
#define WORLD_PORT_LINK 7405
#define WORLD_PORT_APP 7406
#define WORLD_PORT_METRICS 7407

/* Exit codes of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_UNUSABLE = 2 };

typedef struct Message {
    char method[16], target[512];
    int status;
    char head[16384]; /* field lines, each with its CR LF */
    char *body;
    size_t body_len;
} Message;

/* world.c */
extern int world_trouble; /* 0 with TROUBLE=0 */
/* world_begin takes the folder of the case, opens record.txt there, takes a
   free loopback net and a temporary folder. */
void world_begin(const char *folder);
/* world_end ends all processes that were started, and the program. */
void world_end(int code) __attribute__((noreturn));
void world_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
double world_now(void); /* seconds since world_begin */
void world_sleep(double s);
void world_wait_until(double at);
const char *world_ip(int node); /* address of a node, from 1; 250: store */

/* http.c */
/* Returns the value of a header in buf, or NULL. */
const char *message_header(const Message *m, const char *name, char *buf,
                           size_t size);
/* message_read reads a request, or with is_answer an answer; returns 0 at the
   end of the connection or after the time-out. */
int message_read(int fd, Message *m, int is_answer, double timeout_s);
void message_free(Message *m);
int http_listen(const char *ip, int port);
int http_connect(const char *ip, int port);
/* Sends all bytes; returns 0 if the connection is gone. */
int http_send(int fd, const void *p, size_t n);
int http_sendf(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Sends a request on a new connection; returns the status, 0: no answer. */
int http_call(const char *ip, int port, const char *request, Message *answer,
              double timeout_s);
typedef void (*Handler)(int fd, Message *m);
/* http_serve calls the handler for each request, on a thread for each
   connection. */
void http_serve(const char *ip, int port, Handler h);

/* store.c */
void store_start(void);
/* store_put appends a record as the operator does; returns its offset. */
int64_t store_put(const char *topic, const char *key, const char *value);
/* store_leave closes all connections and refuses new ones; store_copy takes a
   copy; store_return serves again, with restored from the copy. */
void store_copy(void);
void store_leave(void);
void store_return(int restored);
int64_t store_end_offset(const char *topic);
extern int64_t store_era;

/* relay.c */
typedef struct NodeOpts {
    const char *name, *zone, *service;
    int first_start;
} NodeOpts;
/* relay_start writes the settings of the node and starts its relay. */
void relay_start(int node, const NodeOpts *o);
void relay_kill(int node, int signum); /* and waits for its end */
void relay_restart(int node);
pid_t relay_pid(int node);
int relay_is_ready(int node);
int relay_wait_ready(int node, double timeout_s);
/* node_link tells how many nodes the relay is linked to, by its metrics. */
double relay_metric(int node, const char *name);

/* target.c */
typedef struct Target Target;
struct Target {
    int node;
    const char *service, *zone;
    char id[64];
    int slots;
    double beat_s;
    int64_t born_ms, seq;
    volatile int beats; /* 0: it sends no liveness reports */
    volatile int up;
    const char *volatile state;
    double acked_at; /* of the last report that was acknowledged */
    /* run answers a request; NULL: 200 at once */
    void (*run)(Target *t, int fd, Message *m);
};
void target_start(Target *t);
/* target_report sends one report now; returns the status of its answer. */
int target_report(Target *t, const char *call, const char *state);
void target_answer(Target *t, int fd, const Message *m, int status,
                   const char *body);
int64_t wall_ms(void);

#endif
