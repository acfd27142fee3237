/* Requests to the local instance: key, gate, run, answer. */
#include <string.h>

#include "core/state.h"

/* An entry node passes a call on only to an instance whose load is below this
   share of its own. */
#define HANDOFF_LOAD_SHARE 0.8

/* Under policy "none" a deadline ends the wait for the answer, but not the
   run, which gets this time instead. */
#define NO_POLICY_TIMEOUT_US (60 * SP_SEC)

int
SpReq_OutlivesCaller(const SpCore *c, const SpReq *r)
{
    return r->keyed || (c->doc && c->doc->policy == SP_POLICY_NONE);
}

void
SpReq_FillSend(SpCore *c, SpReq *r, int64_t now, SpSend *s)
{
    memset(s, 0, sizeof *s);
    r->number++;
    r->started = now;
    s->request = r->self;
    s->number = r->number;
    s->method = r->call.method;
    s->path = r->call.path;
    s->key = r->keyed ? r->key_text : NULL;
    s->trace[0] = r->call.trace[0];
    s->trace[1] = r->call.trace[1];
    s->span = r->span;
    s->timeout_us = r->deadline - now;
    if (c->doc && c->doc->policy == SP_POLICY_NONE) {
        s->timeout_us = NO_POLICY_TIMEOUT_US;
    }
    s->class = r->class;
    s->slice = r->slice;
    s->body = r->call.body;
    s->body_len = r->call.body_len;
    s->user = r->call.user;
}

void
SpReq_Run(SpCore *c, int64_t now, SpReq *r)
{
    SpSend s;

    r->state = SP_REQ_RUNNING;
    r->entry = 0;
    g_hash_table_insert(c->by_span, &r->span, &r->self);
    SpReq_FillSend(c, r, now, &s);
    c->counters.runs++;
    c->o.ops->run(c->o.ctx, &s);
}

void
SpReq_CancelRun(SpCore *c, int64_t now, SpReq *r)
{
    c->o.ops->cancel(c->o.ctx, r->call.user);
    SpGate_Done(c->gate, now, SpReq_Rank(r), now - r->started, 0, 0);
    r->state = SP_REQ_NEW;
}

/* Refuses a request for which the gate has already counted a run. */
static void
skip_run(SpCore *c, int64_t now, SpReq *r, SpKind k)
{
    SpGate_Done(c->gate, now, SpReq_Rank(r), 0, 0, 1);
    SpReq_Refuse(c, now, r, k);
}

void
SpCore_DispatchQueue(SpCore *c, int64_t now)
{
    SpHandle h;
    SpReq *r;
    int late;

    while ((h = SpGate_NextShed(c->gate, now)) != 0) {
        r = SpCore_Req(c, h);
        if (r) {
            r->entry = 0;
            SpReq_Refuse(c, now, r, SP_SHED);
        }
    }
    while ((h = SpGate_Next(c->gate, now, &late)) != 0) {
        r = SpCore_Req(c, h);
        if (!r) {
            continue;
        }
        r->entry = 0;
        if (late) {
            SpReq_Refuse(c, now, r, SP_LATE);
        }
        else if (c->inst_announced_at < 0) {
            skip_run(c, now, r, SP_UNREACHABLE);
        }
        else {
            SpReq_Run(c, now, r);
        }
    }
}

static void
park(SpCore *c, int64_t now, SpReq *r)
{
    SpHandle *h = g_hash_table_lookup(c->by_key, r->key_text);
    SpReq *first = h ? SpCore_Req(c, *h) : NULL;

    if (!first || first == r) {
        SpReq_Refuse(c, now, r, SP_KEY_BUSY);
        return;
    }
    r->state = SP_REQ_PARKED;
    r->next_parked = first->parked;
    first->parked = r->self;
}

static void
refuse_certified(SpCore *c, int64_t now, SpReq *r, SpKind k)
{
    SpAnswer a;

    SpAnswer_Init(&a, k);
    a.certified = 1;
    SpReq_End(c, now, r, &a);
}

static void
replay(SpCore *c, int64_t now, SpReq *r, const SpAnswer *kept)
{
    SpAnswer a = *kept;

    a.certified = 1;
    a.level = -1;
    c->counters.replays++;
    SpReq_End(c, now, r, &a);
}

/* Returns 1 if the request may go on to the gate. */
static int
begin_key(SpCore *c, int64_t now, SpReq *r)
{
    const SpAnswer *kept = NULL;

    switch (SpKeys_Begin(c->keys, SpMembers_Clock(c->members, now), &r->key,
                         r->digest, &kept)) {
    case SP_KEY_NEW:
        g_hash_table_insert(c->by_key, r->key_text, &r->self);
        return 1;
    case SP_KEY_RUNNING:
        park(c, now, r);
        break;
    case SP_KEY_ANSWERED:
        replay(c, now, r, kept);
        break;
    case SP_KEY_REFUSED:
        refuse_certified(c, now, r, SP_KEY_DEAD);
        break;
    case SP_KEY_ANSWER_LOST:
        SpReq_Refuse(c, now, r, SP_BROKEN);
        break;
    case SP_KEY_OTHER_REQUEST:
        refuse_certified(c, now, r, SP_KEY_MISMATCH);
        break;
    case SP_KEY_OUTDATED:
        SpReq_Refuse(c, now, r, SP_KEY_EXPIRED);
        break;
    case SP_KEY_TABLE_FULL:
    default:
        refuse_certified(c, now, r, SP_KEY_FULL);
        break;
    }
    return 0;
}

static void
submit_to_gate(SpCore *c, int64_t now, SpReq *r)
{
    SpGateRequest ask = {r->self, SpReq_Rank(r),
                         r->call.source == SP_FROM_NODE, r->deadline};
    SpHandle evicted;
    SpReq *e;

    switch (SpGate_Submit(c->gate, now, &ask, &r->entry, &evicted)) {
    case SP_GATE_RUN:
        SpReq_Run(c, now, r);
        break;
    case SP_GATE_QUEUED:
        r->state = SP_REQ_QUEUED;
        break;
    case SP_GATE_SHED:
        SpReq_Refuse(c, now, r, SP_SHED);
        break;
    case SP_GATE_FULL:
    default:
        SpReq_Refuse(c, now, r, SP_QUEUE_FULL);
        break;
    }
    e = SpCore_Req(c, evicted);
    if (e) {
        e->entry = 0;
        SpReq_Refuse(c, now, e, SP_QUEUE_FULL);
    }
}

/* Returns 1 if this entry node should pass a call to its own service on to
   another instance: it accepts no calls itself, or the other is less loaded.
 */
static int
should_hand_off(SpCore *c, int64_t now, const SpReq *r)
{
    const char *self = c->o.name;
    const SpTarget *t;
    SpPicker *p;

    if (r->call.source != SP_FROM_CALLER || !c->doc) {
        return 0;
    }
    if (!SpCore_AcceptsCalls(c, now)) {
        return 1;
    }
    if (r->keyed || SpGate_Load(c->gate) < 100) {
        return 0;
    }
    p = SpCore_GetPicker(c, r->service);
    t = SpPicker_Get(p, SpPicker_Choose(p, now, &self, 1, 0));
    return t && strcmp(t->name, self) != 0 &&
           t->load < SpGate_Load(c->gate) * HANDOFF_LOAD_SHARE;
}

void
SpReq_PlaceLocal(SpCore *c, int64_t now, SpReq *r)
{
    int here = r->keyed && strcmp(r->key.home, c->o.name) == 0;

    if (r->keyed && (!here || r->key.inc != SpMembers_Self(c->members)->inc)) {
        if (here || r->call.source == SP_FROM_NODE) {
            SpReq_Refuse(c, now, r, SP_HOME_GONE);
        }
        else {
            SpReq_Send(c, now, r);
        }
        return;
    }
    if (!r->keyed && should_hand_off(c, now, r)) {
        SpReq_Send(c, now, r);
        return;
    }
    if (r->keyed && !begin_key(c, now, r)) {
        return;
    }
    if (!SpCore_AcceptsCalls(c, now)) {
        SpReq_Refuse(c, now, r,
                     SpCore_IsLeaving(c) ? SP_LEAVING : SP_UNREACHABLE);
        return;
    }
    submit_to_gate(c, now, r);
}

static void
check_answer(SpCore *c, SpReq *r, SpAnswer *a)
{
    if (a->kind == SP_OK && a->status == 503 && a->outcome == SP_NOT_RUN) {
        /* the instance rejected the request */
        SpAnswer_Init(a, SP_QUEUE_FULL);
    }
    a->below = r->downstream_failed && (a->kind != SP_OK || a->status >= 500);
    a->level = SpGate_Level(c->gate);
    a->load = SpGate_Load(c->gate);
}

void
SpCore_RunDone(SpCore *c, int64_t now, SpHandle h, uint32_t number,
               const SpAnswer *given)
{
    SpReq *r = SpCore_Req(c, h);
    SpAnswer a = *given;
    int shed;

    if (!r || r->state != SP_REQ_RUNNING || r->number != number) {
        return;
    }
    check_answer(c, r, &a);
    shed = a.outcome == SP_NOT_RUN;
    SpGate_Done(c->gate, now, SpReq_Rank(r), now - r->started,
                a.kind == SP_OK && a.status < 500, shed);
    if (a.kind == SP_UNREACHABLE && c->inst_announced_at >= 0) {
        /* nothing listens at the instance's address: treat it as lost until
           its next announcement */
        c->inst_announced_at = -1;
        SpCore_Event(c, now, "instance-lost", "why=unreachable");
    }
    r->state = SP_REQ_NEW;
    r->entry = 0;
    if (a.outcome != SP_NOT_RUN) {
        r->maybe_ran = 1;
    }
    SpReq_End(c, now, r, &a);
    SpCore_DispatchQueue(c, now);
}
