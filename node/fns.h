/* Functions of the node daemon, by source file. */
#ifndef SP_NODE_FNS_H
#define SP_NODE_FNS_H

#include "node/node.h"

/* calls.c: HTTP requests to and from this node */
int listen_calls(Node *n, GError **err);
void run_call(void *ctx, const SpSend *s);
void send_call(void *ctx, const SpSend *s);
void cancel_call(void *ctx, void *user);
void answer_call(void *ctx, void *user, const SpAnswer *a);
void free_call(void *ctx, void *user);

/* wire.c: HTTP headers that carry call state between nodes */
typedef struct WireCall {
    int class, slice, budget;
    int64_t timeout_us;
    char from[SP_NAME_BYTES];
    uint64_t trace[2], span;
} WireCall;

int parse_trace(const char *s, uint64_t trace[2], uint64_t *span);
void print_trace(char *buf, size_t n, const uint64_t trace[2], uint64_t span);
int parse_wire_call(const char *s, const char *token, WireCall *w);
void print_wire_call(char *buf, size_t n, const char *token,
                     const WireCall *w);
int parse_wire_answer(const char *s, SpAnswer *a);
void print_wire_answer(char *buf, size_t n, const SpAnswer *a);
int is_unforwarded_header(const char *name);

/* peers.c: ZeroMQ messages between nodes */
Peers *open_peers(Node *n, GError **err);
void send_peer(void *ctx, const char *addr, const void *p, size_t n);
void poll_peers(Peers *ps);
void drop_peer(Peers *ps, const char *addr, int on);

/* store.c: client of the platform's log */
void append_log(void *ctx, const char *stream, uint64_t tag, const char *p,
                size_t n);
void read_log(void *ctx, const char *stream, int64_t from);

/* admin.c: administration API */
int listen_admin(Node *n, GError **err);

#endif
