/*
 * link: what the files of the links between relays share.
 *
 * Each relay opens one connection to every other it knows and sends its calls
 * there; the answers and the other's state come back on it. A call over a
 * connection that is lost may have run.
 *
 *   link.c    connections
 *   peers.c   the other relays: who they are, which are reached
 *   state.c   what relays tell each other of themselves, and configuration
 *   remote.c  calls
 */
#ifndef SP_LINK_H
#define SP_LINK_H

#include "relay/frame.h"
#include "relay/relay.h"

/* After this silence a link is used only if there is no other. */
#define SP_SUSPECT_US (700 * SP_MS)
/* The shortest pause between tries to connect. */
#define SP_RECONNECT_US (200 * SP_MS)

/* One TCP connection, of either direction. */
typedef struct Wire {
    uv_tcp_t tcp;
    uv_connect_t conn;
    Relay *n;
    Peer *peer; /* set on the side that opened it */
    GByteArray *in, *out;
    GHashTable *jobs; /* of the side that serves: seq to Job */
    int up, gone;
    int64_t heard_at, told_at;
    char name[SP_FLOW_NAME]; /* of the other side, once it said so */
} Wire;

struct Peer {
    Relay *n;
    char addr[SP_ADDR_BYTES];
    char name[SP_FLOW_NAME];
    char zone[SP_FLOW_NAME];
    char service[SP_FLOW_NAME];
    uint64_t born;
    int follows; /* 1: it follows the configuration, as last told */
    SpUpstream up;
    Wire *wire;
    GHashTable *calls; /* seq to Call */
    uint64_t seq;
    int64_t retry_at, backoff_us, seen_at;
};

struct Links {
    uv_tcp_t tcp;
    GHashTable *peers; /* address to Peer; they are never freed */
    GPtrArray *wires;
    uint64_t wanted; /* the configuration asked for last */
    int64_t wanted_at;
};

/* link.c */
void connect_peer(Peer *p);
void tick_wire(Wire *w, int64_t now);

/* peers.c */
void place_peer(Peer *p, const char *service);
/* hear_peer: the node at addr has just connected. */
void hear_peer(Relay *n, const char *addr);
void take_peers(Relay *n, FrameIn *f);

/* state.c: the take functions return 0 if the frame is malformed. */
void send_hello(Wire *w);
void send_state(Wire *w);
int take_hello(Wire *w, FrameIn *f);
int take_state(Wire *w, FrameIn *f);
int send_config(Wire *w);
int take_config_frame(Wire *w, FrameIn *f);

/* remote.c */
int take_call(Wire *w, FrameIn *f);
int take_answer(Wire *w, FrameIn *f);
int take_cancel(Wire *w, FrameIn *f);
/* drop_jobs: the other side of a lost connection wants no answers. */
void drop_jobs(Wire *w);
/* lose_calls ends the calls over a connection that is lost. */
void lose_calls(Peer *p);

#endif
