/*
 * members: which nodes exist, learnt by gossip.
 *
 * Each node pings, every period, the next of all members in turn and a random
 * one of its zone, and passes on recent changes with every message. A node
 * that does not answer is asked for through others, then suspected, then down.
 * An entry is ordered by incarnation, then sequence number, then state; only
 * its owner raises the sequence number. Peers with different digests exchange
 * their whole tables.
 */
#ifndef SP_MEMBERS_H
#define SP_MEMBERS_H

#include <msgpack.h>

#include "base/base.h"
#include "conf/conf.h"

typedef enum {
    SP_UP,      /* takes work */
    SP_IDLE,    /* runs, but its instance takes no work yet */
    SP_SUSPECT, /* did not answer */
    SP_LEFT,    /* is leaving: finishes what it has */
    SP_DOWN
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
    int64_t clock_ms; /* last heard of its own clock; -1 never */
    int64_t clock_at; /* local time of that */
    int64_t since;    /* local time at which it was seen up */
    int64_t changed;  /* local time of the last change of state */
    int spread;       /* messages that are still to carry this entry */
} SpMember;

/* What the module asks of its owner. */
typedef struct SpMembersOps {
    void (*send)(void *ctx, const char *peer, const void *p, size_t n);
    /* old is the state before; SP_DOWN for a new entry */
    void (*changed)(void *ctx, const SpMember *m, SpMemberState old);
    /* pack adds the owner's own words to each message's head */
    void (*pack)(void *ctx, msgpack_packer *pk);
    /* unpack is given them back with the sender's entry, if it is known */
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
/* SpMembers_Tick pings and times out; call it some ten times a period. */
void SpMembers_Tick(SpMembers *ms, int64_t now);
/* SpMembers_Receive takes one message; returns 0 if it is malformed. */
int SpMembers_Receive(SpMembers *ms, int64_t now, const void *p, size_t n);
/* SpMembers_SetSelf announces a state of this node. */
void SpMembers_SetSelf(SpMembers *ms, int64_t now, SpMemberState st,
                       int slots);
/* SpMembers_Contact asks a peer that is known by address alone. */
void SpMembers_Contact(SpMembers *ms, int64_t now, const char *peer);
/* SpMembers_Notify sends a ping to a member at once. */
void SpMembers_Notify(SpMembers *ms, int64_t now, const char *name);
/* SpMembers_Heard notes the clock of a member, as an answer carries it. */
void SpMembers_Heard(SpMembers *ms, int64_t now, const char *name,
                     uint64_t inc, int64_t clock_ms);

const SpMember *SpMembers_Self(const SpMembers *ms);
const SpMember *SpMembers_Find(const SpMembers *ms, const char *name);
guint SpMembers_Count(const SpMembers *ms); /* with self */
const SpMember *SpMembers_At(const SpMembers *ms, guint i);
/* SpMembers_Digest is equal at nodes with equal views. */
uint64_t SpMembers_Digest(const SpMembers *ms);
const char *SpMemberState_Name(SpMemberState s);
/* SpMembers_Clock is this node's own clock in ms since it began. */
int64_t SpMembers_Clock(const SpMembers *ms, int64_t now);

#endif
