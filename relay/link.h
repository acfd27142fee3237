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
#define SP_BACKOFF_MIN_US (200 * SP_MS)

/* One TCP connection, opened by either side. */
typedef struct LinkConn {
    uv_tcp_t tcp;
    uv_connect_t connect_req;
    Relay *n;
    Peer *peer; /* NULL if the other side opened the connection */
    GByteArray *in, *out;
    GHashTable *jobs; /* on the serving side: seq to Job */
    int connected, closing;
    int64_t received_at, state_sent_at;
    char name[SP_FLOW_NAME]; /* of the other side, from its hello */
} LinkConn;

struct Peer {
    Relay *n;
    char addr[SP_ADDR_BYTES];
    char name[SP_FLOW_NAME];
    char zone[SP_FLOW_NAME];
    char service[SP_FLOW_NAME];
    uint64_t incarnation;
    int follows; /* 1: it last reported that it follows the configuration in
                    the store */
    SpUpstream upstream;
    LinkConn *conn;
    GHashTable *calls; /* seq to Call */
    uint64_t seq;
    int64_t reconnect_at, backoff_us;
    int64_t seen_at; /* when it was added or last connected */
};

struct Links {
    uv_tcp_t tcp;
    GHashTable *peers; /* address to Peer; peers are never freed */
    GPtrArray *conns;
    uint64_t requested; /* version of the last configuration requested */
    int64_t requested_at;
};

/* link.c */
void connect_peer(Peer *p);
void tick_conn(LinkConn *conn, int64_t now);

/* peers.c */
void set_peer_service(Peer *p, const char *service);
/* on_peer_connected is called when the node at addr has just connected. */
void on_peer_connected(Relay *n, const char *addr);
void add_peers(Relay *n, FrameIn *f);

/* state.c; the handle functions return 0 if the frame is malformed. */
void send_hello(LinkConn *conn);
void send_state(LinkConn *conn);
int handle_hello(LinkConn *conn, FrameIn *f);
int handle_state(LinkConn *conn, FrameIn *f);
int send_config(LinkConn *conn);
int handle_config(LinkConn *conn, FrameIn *f);

/* remote.c */
int handle_call(LinkConn *conn, FrameIn *f);
int handle_answer(LinkConn *conn, FrameIn *f);
int handle_cancel(LinkConn *conn, FrameIn *f);
/* drop_jobs drops the jobs of a lost connection: their answers could not be
   delivered. */
void drop_jobs(LinkConn *conn);
/* fail_calls ends the calls on a lost connection; they may have run. */
void fail_calls(Peer *p);

#endif
