/* State of the local instance: announcements, draining, leaving. */
#include "core/state.h"

/* An instance that has not announced itself for this long counts as lost. */
#define INSTANCE_LEASE_US (4 * SP_SEC)
/* After leaving is announced, calls already under way are still accepted for
   this long. */
#define LEAVE_GRACE_US (1 * SP_SEC)
/* Nodes that sent a call within this time are notified when this node starts
   or stops leaving. */
#define SENDER_TTL_US (60 * SP_SEC)

int
SpCore_IsLeaving(const SpCore *c)
{
    return c->leaving_at != 0;
}

int
SpCore_AcceptsCalls(const SpCore *c, int64_t now)
{
    if (c->inst_announced_at < 0) {
        return 0;
    }
    return !c->leaving_at || now < c->leaving_at + LEAVE_GRACE_US;
}

static int
current_slots(const SpCore *c)
{
    int i = c->doc ? SpDoc_FindService(c->doc, c->o.service) : -1;

    if (c->o.slots) {
        return c->o.slots;
    }
    if (c->inst_slots) {
        return c->inst_slots;
    }
    return i >= 0 ? c->doc->services[i].slots : 1;
}

void
SpCore_ConfigureGate(SpCore *c)
{
    SpGateOpts o = {SP_POLICY_FULL, current_slots(c), 100, 100, 20 * SP_MS, 1};
    int i = c->doc ? SpDoc_FindService(c->doc, c->o.service) : -1;

    if (c->doc) {
        o.policy = c->doc->policy;
        o.hop_limit = c->doc->hop.limit;
        o.target_us = c->doc->limits.queue_ms * SP_MS;
        o.nclasses = c->doc->nclasses;
    }
    if (i >= 0) {
        o.queue = c->doc->services[i].queue;
    }
    SpGate_Configure(c->gate, &o);
}

void
SpCore_UpdateSelf(SpCore *c, int64_t now)
{
    SpMemberState st = SP_MEMBER_UP;

    if (c->leaving_at) {
        st = SP_MEMBER_LEAVING;
    }
    else if (c->inst_announced_at < 0) {
        st = SP_MEMBER_IDLE;
    }
    SpMembers_SetSelf(c->members, now, st, current_slots(c));
}

/* Notifies the nodes that recently sent calls of the change of state. */
static void
notify_senders(SpCore *c, int64_t now)
{
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, c->senders);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (now - *(int64_t *)v < SENDER_TTL_US) {
            SpMembers_Ping(c->members, now, k);
        }
        else {
            g_hash_table_iter_remove(&it);
        }
    }
}

static void
set_leaving(SpCore *c, int64_t now, int on, const char *why)
{
    if (on == (c->leaving_at != 0)) {
        return;
    }
    c->leaving_at = on ? now : 0;
    SpCore_Event(c, now, on ? "leaving" : "returning", "why=%s requests=%zu",
                 why, SpTable_Count(c->reqs));
    SpCore_UpdateSelf(c, now);
    notify_senders(c, now);
}

void
SpCore_InstanceAnnounced(SpCore *c, int64_t now, SpInstState st, int slots)
{
    int was = c->inst_announced_at >= 0;

    c->inst = st;
    c->inst_announced_at = now;
    if (slots > 0 && slots != c->inst_slots) {
        c->inst_slots = slots;
        SpCore_ConfigureGate(c);
    }
    if (!was) {
        SpCore_Event(c, now, "instance-up", "slots=%d", current_slots(c));
    }
    if (!c->stopping && !c->drained) {
        set_leaving(c, now, st == SP_INST_LEAVING, "instance");
    }
    SpCore_UpdateSelf(c, now);
}

void
SpCore_Drain(SpCore *c, int64_t now, int on)
{
    c->drained = on;
    if (!c->stopping) {
        set_leaving(c, now, on || c->inst == SP_INST_LEAVING, "operator");
    }
}

void
SpCore_Leave(SpCore *c, int64_t now)
{
    c->stopping = 1;
    set_leaving(c, now, 1, "stop");
}

int
SpCore_Idle(const SpCore *c)
{
    return SpTable_Count(c->reqs) == 0;
}

void
SpCore_CheckInstance(SpCore *c, int64_t now)
{
    if (c->inst_announced_at >= 0 &&
        now - c->inst_announced_at > INSTANCE_LEASE_US) {
        c->inst_announced_at = -1;
        SpCore_Event(c, now, "instance-lost", "why=silent");
        SpCore_UpdateSelf(c, now);
    }
}
