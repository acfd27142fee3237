/*
 * link: definitions shared by the files for the links between relays.
 *
 * Each relay opens connections to a subset of the other relays
 * (flow/directory.h) and sends its calls on them; the answers and the state of
 * the peer arrive on the same connection. When a connection is lost, the
 * outcome of its calls is unknown.
 *
 *   link.c    connections
 *   linkmem.c their memory
 *   peers.c   table of the other relays, and which of them are linked
 *   gossip.c  exchange of the directory of members
 *   contacts.c  the first nodes of each zone
 *   state.c   exchange of state and configuration
 *   quota.c   exchange of reports and sums for quotas
 *   remote.c  calls
 *   departure.c  instances that leave, as other nodes remember them
 *   runs.c    runs that a node that has started again does not know
 */
#ifndef SP_LINK_H
#define SP_LINK_H

#include "relay/frame.h"
#include "relay/relay.h"

/* A link on which a call began less than this ago is active. */
#define SP_ACTIVE_US (5 * SP_SEC)
/* Interval of the state messages on active and on other links. */
#define SP_STATE_US (400 * SP_MS)
#define SP_STATE_IDLE_US (1 * SP_SEC)
/* A link that has received nothing for this long beyond the interval is used
   only if there is no other. */
#define SP_SUSPECT_US (300 * SP_MS)
/* Minimum delay between attempts to connect. */
#define SP_BACKOFF_MIN_US (200 * SP_MS)

/* One TCP connection, opened by either side. */
typedef struct LinkConn {
    uv_tcp_t tcp;
    uv_connect_t connect_req;
    Relay *n;
    Peer *peer; /* NULL if the other side opened the connection */
    GByteArray *in, *out;
    guint in_peak;    /* greatest length of in since it was made */
    size_t reserved;  /* bytes of memory for the message in in */
    size_t counted;   /* unsent bytes in the account */
    int held;         /* 1: it is not read, since memory for bodies is short */
    GHashTable *jobs; /* on the serving side: seq to Job */
    int connected, closing;
    int64_t received_at, state_sent_at;
    int64_t used_at;      /* when the last call began on it */
    int64_t active_since; /* start of the present series of calls */
    uint64_t sent_state;  /* number of the last state sent on it */
    const char *name;     /* of the other side, from its hello; empty before */
    int same_zone;        /* 1: the other side is in this zone */
    int64_t up_at;        /* when the other side said hello */
    int64_t usage_at;     /* when it last reported to the ledger here */
    int64_t sums_at;      /* when all sums were last sent on it */
    uint64_t version;     /* of the other side's configuration */
    int64_t version_at;   /* when it was first reported */
} LinkConn;

struct Peer {
    Relay *n;
    char addr[SP_ADDR_BYTES];
    const char *name; /* owned, like the next two; empty: not known yet */
    const char *zone;
    const char *service;
    uint64_t incarnation;
    int wanted;      /* 1: it is in the subset to be linked */
    int was_wanted;  /* the same before the subset was last chosen */
    int listed;      /* 1: upstream is in the list of its service */
    guint contact;   /* rank among the contacts of its zone, from 1; 0: none */
    int64_t sums_at; /* when its ledger last sent sums */
    int follows; /* 1: it last reported that it follows the configuration in
                    the store */
    SpUpstream upstream;
    LinkConn *conn;
    GHashTable *calls; /* seq to Call */
    PastRuns *lost;    /* runs there whose answers were lost */
    uint64_t seq;
    int64_t reconnect_at, backoff_us;
    int64_t seen_at; /* when it was added, announced or last connected */
};

struct Links {
    uv_tcp_t tcp;
    GHashTable *peers; /* address to Peer; peers are never freed */
    GPtrArray *conns;
    uint64_t requested; /* version of the last configuration requested */
    int64_t requested_at;
    int refresh; /* 1: choose the subset again at the next tick */
    int64_t refreshed_at;
    int64_t gone_dialed_at; /* when a node that was given up was last tried */
    GByteArray *state;      /* the last state sent, without its frame */
    uint64_t state_number;  /* of that state; increases with each change */
    int64_t state_at;
    GPtrArray *rumors;      /* names of members to pass on */
    GHashTable *departures; /* name of a node to what it said (departure.c) */
    int64_t digest_at;      /* when the next digest is sent */
    uint64_t newest;        /* highest version that a node reported */
    FrameCount sent[FRAME_NTYPES];
    uint64_t opened, lost; /* links */
};

/* link.c */
void connect_peer(Peer *p);
void tick_conn(LinkConn *conn, int64_t now);
/* close_unused closes a link without calls. */
void close_unused(LinkConn *conn);
/* begin_link_frame begins a frame that is sent with the next flush. */
void begin_link_frame(FrameOut *f, LinkConn *conn, FrameType type,
                      size_t nargs);
/* mark_used records that a call begins on the link. */
void mark_used(LinkConn *conn, int64_t now);
/* state_interval_us returns the interval of the state messages on the link. */
int64_t state_interval_us(const LinkConn *conn, int64_t now);
/* is_suspect: 1 if the link has been silent for too long. */
int is_suspect(const LinkConn *conn, int64_t now);

/* linkmem.c */
/* A receive buffer that has grown beyond this is freed when it is empty, and a
   message beyond it counts against the memory for messages until it is
   complete. */
#define SP_LINK_KEPT_BYTES ((guint)256 << 10)
/* count_unsent brings the account up to the bytes that wait to be sent. */
void count_unsent(LinkConn *conn);
/* reserve_for_message reserves memory for the whole message that has begun to
   arrive, so that the messages that have it are completed and give it back.
   Returns 0 if there is none now. One that is larger than the limit is
   received alone. */
int reserve_for_message(LinkConn *conn);
void release_reserved(LinkConn *conn);
/* has_room_to_send returns 1 if n more bytes may wait to be sent on the link.
 */
int has_room_to_send(LinkConn *conn, size_t n);

/* peers.c */
void set_peer_name(Peer *p, const char *name);
void set_peer_service(Peer *p, const char *service);
/* find_peer returns NULL if no link to addr was ever wanted. */
Peer *find_peer(const Relay *n, const char *addr);
/* find_peer_of returns the peer of that node, or NULL. */
Peer *find_peer_of(const Relay *n, const char *name);
/* want_peer adds a node to the subset to be linked. */
Peer *want_peer(Relay *n, const SpNodeInfo *m, int64_t now);
/* refresh_links chooses the subset of nodes to be linked. */
void refresh_links(Relay *n, int64_t now);
/* retry_peer connects to the node at addr at the next tick, without the
   backoff: it has just shown that it is running. */
void retry_peer(Relay *n, const char *addr, int64_t now);
/* mark_reachable is called when the node of that name has shown itself. */
void mark_reachable(Relay *n, const char *name);

/* contacts.c */
void want_contacts(Relay *n, int64_t now);
/* list_zone returns the SpNodeInfo of a zone that were not given up, in
   the order of their names. */
GPtrArray *list_zone(const Relay *n, const char *zone);
/* is_contact returns 1 if this node is a contact of its zone; unless
   reachable_only is 1, nodes that can't be reached count before it. */
int is_contact(const Relay *n, int reachable_only);
/* count_zones returns a table of zone name to the number of its nodes that
   were not given up. */
GHashTable *count_zones(const Relay *n);

/* quota.c, sums.c; the handle functions return 0 if the frame is malformed. */
int handle_usage(LinkConn *conn, FrameIn *f);
int handle_words(LinkConn *conn, FrameIn *f);
int handle_sums(LinkConn *conn, FrameIn *f);

/* gossip.c; the handle functions return 0 if the frame is malformed. */
void tick_gossip(Relay *n, int64_t now);
void send_digest(LinkConn *conn);
int handle_digest(LinkConn *conn, FrameIn *f);
int handle_members(LinkConn *conn, FrameIn *f);

/* state.c; the handle functions return 0 if the frame is malformed. */
void send_hello(LinkConn *conn);
void send_state(LinkConn *conn);
int handle_hello(LinkConn *conn, FrameIn *f);
int handle_state(LinkConn *conn, FrameIn *f);
int handle_alive(LinkConn *conn, FrameIn *f);
int send_config(LinkConn *conn);
int handle_config(LinkConn *conn, FrameIn *f);
/* tick_config_requests requests a configuration that another zone reported and
   no node of this zone has passed on. */
void tick_config_requests(Relay *n, int64_t now);

/* fair.c */
int handle_arrivals(LinkConn *conn, FrameIn *f);

/* departure.c */
GHashTable *new_departures(void);
/* tell_departure tells the other side what this node knows of its instance. */
void tell_departure(LinkConn *conn);
int handle_departure(LinkConn *conn, FrameIn *f);

/* runs.c */
/* send_past_runs sends the runs to the node that had them. */
void send_past_runs(LinkConn *conn, const PastRuns *rs);
int handle_runs(LinkConn *conn, FrameIn *f);

/* remote.c */
int handle_call(LinkConn *conn, FrameIn *f);
int handle_answer(LinkConn *conn, FrameIn *f);
int handle_cancel(LinkConn *conn, FrameIn *f);
int handle_stopping(LinkConn *conn, FrameIn *f);
/* drop_jobs drops the jobs of a lost connection: their answers could not be
   delivered. */
void drop_jobs(LinkConn *conn);
/* fail_calls ends the calls on a lost connection; they may have run. */
void fail_calls(Peer *p);

#endif
