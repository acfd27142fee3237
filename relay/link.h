/*
 * link: definitions shared by the files for the links between relays.
 *
 * Each relay opens one connection to every other relay that it knows and sends
 * its calls on it; the answers and the state of the peer arrive on the same
 * connection. When a connection is lost, the outcome of its calls is unknown.
 *
 *   link.c    connections
 *   peers.c   table of the other relays and their links
 *   state.c   exchange of state and configuration
 *   remote.c  calls
 */
#ifndef SP_LINK_H
#define SP_LINK_H

#include "relay/frame.h"
#include "relay/relay.h"

/* A link that has received nothing for this long is used only if there is no
   other. */
#define SP_SUSPECT_US (700 * SP_MS)
/* Minimum delay between attempts to connect. */
#define SP_RECONNECT_US (200 * SP_MS)

/* One TCP connection, opened by either side. */
typedef struct Wire {
    uv_tcp_t tcp;
    uv_connect_t conn;
    Relay *n;
    Peer *peer; /* NULL if the other side opened the connection */
    GByteArray *in, *out;
    GHashTable *jobs; /* on the serving side: seq to Job */
    int up, gone;
    int64_t heard_at, told_at;
    char name[SP_FLOW_NAME]; /* of the other side, from its hello */
} Wire;

struct Peer {
    Relay *n;
    char addr[SP_ADDR_BYTES];
    char name[SP_FLOW_NAME];
    char zone[SP_FLOW_NAME];
    char service[SP_FLOW_NAME];
    uint64_t born;
    int follows; /* 1: it last reported that it follows the configuration in
                    the store */
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
    uint64_t wanted; /* version of the last configuration requested */
    int64_t wanted_at;
};

/* link.c */
void connect_peer(Peer *p);
void tick_wire(Wire *w, int64_t now);

/* peers.c */
void place_peer(Peer *p, const char *service);
/* hear_peer is called when the node at addr has just connected. */
void hear_peer(Relay *n, const char *addr);
void take_peers(Relay *n, FrameIn *f);

/* state.c; the take functions return 0 if the frame is malformed. */
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
/* drop_jobs drops the jobs of a lost connection. */
void drop_jobs(Wire *w);
/* lose_calls ends the calls on a lost connection; they may have run. */
void lose_calls(Peer *p);

#endif
