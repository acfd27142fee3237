/*
 * memberstate: declarations shared by the files of members; not part of its
 * interface.
 *
 *   members.c     the table of members
 *   membermsg.c   the messages: encoding, decoding
 *   memberping.c  failure detection, and what is done with a message
 */
#ifndef SP_MEMBERSTATE_H
#define SP_MEMBERSTATE_H

#include "core/members.h"

typedef enum {
    SP_MEMBER_MSG_PING = 1,
    SP_MEMBER_MSG_ACK,
    SP_MEMBER_MSG_RELAY,
    SP_MEMBER_MSG_SYNC,
    SP_MEMBER_MSG_TABLE
} SpMemberMsg;

typedef struct SpPendingPing {
    char name[SP_NAME_BYTES];
    uint32_t number; /* sequence number of the ping */
    int64_t sent;
    int relayed;
} SpPendingPing;

/* A ping sent on behalf of another node, which gets the answer forwarded. */
typedef struct SpForwardedPing {
    uint32_t number;        /* of the ping sent */
    uint32_t origin_number; /* of the ping of the other node */
    char peer[SP_ADDR_BYTES];
    int64_t sent;
} SpForwardedPing;

typedef struct SpMemberHeader {
    int type;
    char name[SP_NAME_BYTES];
    char peer[SP_ADDR_BYTES];
    uint64_t inc;
    int64_t clock_ms;
    uint64_t digest;
    uint32_t number;
    char about[SP_NAME_BYTES];
} SpMemberHeader;

struct SpMembers {
    SpMembersOpts o;
    GHashTable *by_name; /* of SpMember, owned by list */
    GPtrArray *list;
    SpMember *self;
    GArray *pending;   /* of SpPendingPing */
    GArray *forwarded; /* of SpForwardedPing */
    uint64_t rand;
    uint32_t number;
    int64_t started_at, next_ping, next_sync, next_rejoin;
    guint next_index;
};

/* members.c */
/* SpMembers_Periods returns the time of n protocol periods. */
int64_t SpMembers_Periods(const SpMembers *ms, double n);
/* SpMembers_InitialSends returns how many messages carry a change. */
int SpMembers_InitialSends(const SpMembers *ms);
void SpMembers_Remove(SpMembers *ms, guint i);
void SpMembers_SetState(SpMembers *ms, int64_t now, SpMember *m,
                        SpMemberState st);
/* SpMembers_Merge enters what a message says of a member, if it is newer. */
void SpMembers_Merge(SpMembers *ms, int64_t now, const SpMember *in);

/* membermsg.c */
void SpMembers_Send(SpMembers *ms, int64_t now, SpMemberMsg type,
                    const char *peer, uint32_t number, const char *about);
/* Both return 0 if the fields are invalid. */
int SpMembers_ReadHeader(const msgpack_object *o, SpMemberHeader *h);
int SpMembers_ReadMember(const msgpack_object *o, SpMember *m, int64_t now);

#endif
