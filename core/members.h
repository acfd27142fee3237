/*
 * members: SWIM-style gossip membership and failure detection.
 *
 * In each protocol period a node pings the next member in round-robin order
 * and a random member of its own zone. Every message piggybacks recent
 * membership changes. A member that does not answer a ping is probed through
 * other members, then marked suspect, then down.
 *
 * Of two entries for one member the later wins, compared by incarnation, then
 * sequence number, then state. Only the member itself raises its sequence
 * number. Peers whose digests differ exchange their full tables.
 */
#ifndef SP_MEMBERS_H
#define SP_MEMBERS_H

#include <msgpack.h>

#include "base/base.h"
#include "conf/conf.h"

typedef enum {
    SP_MEMBER_UP,      /* accepts requests */
    SP_MEMBER_IDLE,    /* running, but has no instance that accepts requests */
    SP_MEMBER_SUSPECT, /* did not answer a ping */
    SP_MEMBER_LEAVING, /* leaving: finishes the requests it has */
    SP_MEMBER_DOWN
} SpMemberState;

typedef struct SpMember {
    char name[SP_NAME_BYTES];
    char zone[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    char mesh[SP_ADDR_BYTES];
    char peer[SP_ADDR_BYTES];
    uint64_t inc; /* incarnation of the process */
    uint32_t seq;
    SpMemberState state;
    int slots;
    int64_t clock_ms;   /* last known value of its clock; -1 if unknown */
    int64_t clock_at;   /* local time at which clock_ms was current */
    int64_t up_since;   /* local time since which it has been up */
    int64_t changed_at; /* local time of the last change of state */
    int sends_left;     /* messages that have yet to carry this entry */
} SpMember;

/* Callbacks to the owner of the table. */
typedef struct SpMembersOps {
    void (*send)(void *ctx, const char *peer, const void *p, size_t n);
    /* old is the previous state; SP_MEMBER_DOWN for a new entry */
    void (*changed)(void *ctx, const SpMember *m, SpMemberState old);
    /* pack appends one object of the owner to the header of a message */
    void (*pack)(void *ctx, msgpack_packer *pk);
    /* unpack receives that object; from is NULL if the sender is unknown */
    void (*unpack)(void *ctx, const SpMember *from, const msgpack_object *o);
} SpMembersOps;

typedef struct SpMembersOpts {
    SpMember self;
    char contacts[SP_MAX_CONTACTS][SP_ADDR_BYTES];
    int ncontacts;
    int64_t period_us;
    uint64_t seed;
    const SpMembersOps *ops;
    void *ctx;
} SpMembersOpts;

typedef struct SpMembers SpMembers;

SpMembers *SpMembers_New(const SpMembersOpts *o, int64_t now);
void SpMembers_Free(SpMembers *ms);
/* SpMembers_Tick sends pings and expires timers; call it about ten times a
   period. */
void SpMembers_Tick(SpMembers *ms, int64_t now);
/* SpMembers_Receive handles one message; returns 0 if it is malformed. */
int SpMembers_Receive(SpMembers *ms, int64_t now, const void *p, size_t n);
/* SpMembers_SetSelf sets and announces the state of this node. */
void SpMembers_SetSelf(SpMembers *ms, int64_t now, SpMemberState st,
                       int slots);
/* SpMembers_Join starts a table exchange with a peer known by address. */
void SpMembers_Join(SpMembers *ms, int64_t now, const char *peer);
/* SpMembers_Ping pings a member now, to carry recent changes to it. */
void SpMembers_Ping(SpMembers *ms, int64_t now, const char *name);
/* SpMembers_UpdateClock records a member's clock that came with a message or
   an answer. */
void SpMembers_UpdateClock(SpMembers *ms, int64_t now, const char *name,
                           uint64_t inc, int64_t clock_ms);

const SpMember *SpMembers_Self(const SpMembers *ms);
const SpMember *SpMembers_Find(const SpMembers *ms, const char *name);
guint SpMembers_Count(const SpMembers *ms); /* including self */
const SpMember *SpMembers_At(const SpMembers *ms, guint i);
/* SpMembers_Digest returns a hash of the entries that are not down; it does
   not depend on their order. */
uint64_t SpMembers_Digest(const SpMembers *ms);
const char *SpMemberState_Name(SpMemberState s);
/* SpMembers_Clock returns this node's clock: milliseconds since
   SpMembers_New. */
int64_t SpMembers_Clock(const SpMembers *ms, int64_t now);

#endif
