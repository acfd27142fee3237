/* Requests to other nodes: choice of target, sending, retries. */
#include <string.h>

#include "core/state.h"

#define MAX_RETRY_TOKENS 10.0
#define MAX_HANDOFFS 2
/* The time-out passed to a target is shorter by this than the sender's. */
#define HOP_MARGIN_US (2 * SP_MS)
/* With less time than this left, no retry is sent. */
#define MIN_RETRY_TIME_US (5 * SP_MS)
/* A key is bound only to a target whose clock was received within the time to
   live of keys divided by this; the key is valid for the rest of that time. */
#define KEY_FRESH_DIV 2

SpPicker *
SpCore_GetPicker(SpCore *c, const char *service)
{
    SpPicker *p = g_hash_table_lookup(c->pickers, service);
    SpPickerOpts o = {"", 0, 5000, 0};
    int i = c->doc ? SpDoc_FindService(c->doc, service) : -1;

    if (p) {
        return p;
    }
    g_strlcpy(o.zone, c->o.zone, sizeof o.zone);
    o.seed = SpRand(&c->rand);
    if (i >= 0) {
        o.ramp_ms = c->doc->services[i].ramp_ms;
        o.uniform = c->doc->policy != SP_POLICY_FULL;
    }
    p = SpPicker_New(&o);
    g_hash_table_insert(c->pickers, g_strdup(service), p);
    return p;
}

SpHandle
SpCore_BindKey(SpCore *c, int64_t now, SpPicker *p, const char *const *avoid,
               int navoid, SpBoundKey *k)
{
    int64_t fresh =
        c->doc ? c->doc->limits.key_ttl_ms * SP_MS / KEY_FRESH_DIV : 1;
    SpHandle h = SpPicker_Choose(p, now, avoid, navoid, fresh);
    const SpTarget *t = SpPicker_Get(p, h);

    if (!t) {
        return 0;
    }
    g_strlcpy(k->home, t->name, sizeof k->home);
    k->inc = t->inc;
    k->clock_ms = t->clock_ms;
    if (strcmp(t->name, c->o.name) == 0) {
        k->clock_ms = SpMembers_Clock(c->members, now);
    }
    k->nonce = SpRand(&c->rand);
    return h;
}

/* Chooses a home for a request without a key and binds a key to it. */
static SpHandle
bind_key(SpCore *c, int64_t now, SpReq *r, SpPicker *p,
         const char *const *avoid, int navoid)
{
    SpHandle h = SpCore_BindKey(c, now, p, avoid, navoid, &r->key);
    const SpTarget *t;

    if (!h) {
        t = SpPicker_Get(p, SpPicker_Choose(p, now, avoid, navoid, 0));
        if (t) {
            /* its answer will carry its clock, for later requests */
            SpMembers_Ping(c->members, now, t->name);
        }
        return 0;
    }
    r->keyed = 1;
    SpBoundKey_Print(&r->key, r->key_text, sizeof r->key_text);
    return h;
}

static SpHandle
choose_target(SpCore *c, int64_t now, SpReq *r, SpPicker *p)
{
    const char *avoid[SP_MAX_TRIED + 1];
    const SpTarget *t;
    SpHandle h;
    int i, n = 0;

    for (i = 0; i < r->ntried; i++) {
        avoid[n++] = r->tried[i];
    }
    if (r->call.source == SP_FROM_CALLER) {
        avoid[n++] = c->o.name;
    }
    if (!r->keyed && r->own_key) {
        return bind_key(c, now, r, p, avoid, n);
    }
    if (!r->keyed) {
        return SpPicker_Choose(p, now, avoid, n, 0);
    }
    h = SpPicker_Find(p, r->key.home);
    t = SpPicker_Get(p, h);
    return t && t->inc == r->key.inc ? h : 0;
}

static void
note_tried(SpReq *r, const char *name)
{
    if (r->ntried < SP_MAX_TRIED) {
        g_strlcpy(r->tried[r->ntried++], name, SP_NAME_BYTES);
    }
}

static int
is_throttled(SpCore *c, int64_t now, const SpReq *r, SpPicker *p)
{
    return r->sends == 0 && c->doc && c->doc->policy == SP_POLICY_FULL &&
           !(r->keyed && !r->own_key) && SpPicker_Throttle(p, now, r->class);
}

void
SpReq_Send(SpCore *c, int64_t now, SpReq *r)
{
    SpPicker *p = SpCore_GetPicker(c, r->service);
    const SpTarget *t;
    SpSend s;

    if (is_throttled(c, now, r, p)) {
        SpReq_Refuse(c, now, r, SP_THROTTLED);
        return;
    }
    r->target = choose_target(c, now, r, p);
    t = SpPicker_Get(p, r->target);
    if (!t) {
        SpReq_Refuse(c, now, r,
                     r->keyed && !r->own_key ? SP_HOME_GONE : SP_NO_TARGET);
        return;
    }
    if (r->sends == 0 && c->doc) {
        c->retry_tokens =
            MIN(MAX_RETRY_TOKENS, c->retry_tokens + c->doc->retries.ratio);
    }
    note_tried(r, t->name);
    SpReq_FillSend(c, r, now, &s);
    r->state = SP_REQ_SENT;
    r->sends++;
    /* Pass on all retries but one, which is kept in case no answer returns the
       unused ones. A single retry is passed on, since the hop next to a
       failure can use it best. */
    r->budget_sent = r->budget >= 2 ? r->budget - 1 : r->budget;
    r->budget -= r->budget_sent;
    s.budget = r->budget_sent;
    s.timeout_us = MAX(1, s.timeout_us - HOP_MARGIN_US);
    s.mesh = t->mesh;
    c->counters.sends++;
    SpPicker_CallSent(p, r->target);
    c->o.ops->send(c->o.ctx, &s);
}

/* The retries passed on with the send in flight count as spent. */
void
SpReq_AbandonSend(SpCore *c, SpReq *r)
{
    SpPicker *p = SpCore_GetPicker(c, r->service);

    SpPicker_CallDone(p, r->started, r->target, 0, 1, -1, 0);
    r->budget_sent = 0;
    r->maybe_ran = 1;
}

static int
has_failed(const SpAnswer *a)
{
    return a->kind != SP_OK || a->status >= 500;
}

static int
take_retry_token(SpCore *c)
{
    if (c->retry_tokens < 1) {
        c->counters.retries_denied++;
        return 0;
    }
    c->retry_tokens -= 1;
    return 1;
}

/* Returns 1 if the target certainly neither ran nor queued the request, so
   that another send costs no retry. */
static int
is_handoff(const SpReq *r, const SpAnswer *a)
{
    return (a->kind == SP_LEAVING || a->kind == SP_UNREACHABLE) &&
           r->handoffs < MAX_HANDOFFS;
}

/* Returns 1 if sending the request again cannot make it run twice. */
static int
is_safe_to_resend(const SpReq *r, const SpAnswer *a)
{
    if (r->keyed && !r->own_key) {
        /* only its home may run it, and a refusal by the home is final */
        return a->kind == SP_BROKEN ||
               (a->kind == SP_UNREACHABLE && !a->certified);
    }
    if (r->own_key) {
        return a->kind == SP_BROKEN || a->kind == SP_UNREACHABLE ||
               (a->certified && a->outcome == SP_NOT_RUN);
    }
    return r->idempotent;
}

static int
may_retry(SpCore *c, int64_t now, SpReq *r, const SpAnswer *a)
{
    const SpDoc *d = c->doc;

    if (!has_failed(a) || !d || !is_safe_to_resend(r, a) || r->detached) {
        return 0;
    }
    if (r->deadline - now < MIN_RETRY_TIME_US) {
        return 0;
    }
    if (d->policy != SP_POLICY_FULL) {
        if (r->sends > d->hop.retries) {
            return 0;
        }
        c->counters.retries++;
        return 1;
    }
    if (a->kind != SP_OK && !SpKind_Info(a->kind)->retry) {
        return 0;
    }
    if (is_handoff(r, a)) {
        r->handoffs++;
        c->counters.handoffs++;
        return 1;
    }
    if (a->below || r->budget < 1 || !take_retry_token(c)) {
        return 0;
    }
    r->budget--;
    r->retried++;
    c->counters.retries++;
    return 1;
}

static void
update_from_answer(SpCore *c, int64_t now, SpReq *r, const SpAnswer *a)
{
    SpPicker *p = SpCore_GetPicker(c, r->service);
    /* counted as a failure of the target */
    int failed = a->kind == SP_BROKEN || a->kind == SP_UNREACHABLE ||
                 a->kind == SP_TIMEOUT || a->kind == SP_QUEUE_FULL ||
                 a->status == 500 || a->status == 502;

    if (a->kind == SP_OK && a->below) {
        failed = 0;
    }
    SpPicker_CallDone(p, now, r->target, now - r->started, !failed, a->load,
                      a->leaving);
    if (a->clock_ms >= 0) {
        SpPicker_UpdateClock(p, now, r->target, a->clock_ms);
        SpMembers_UpdateClock(c->members, now, a->from, a->from_inc,
                              a->clock_ms);
    }
    SpLevelView_Update(SpCore_GetLevelView(c->service_views, r->service), now,
                       a->level);
    if (a->level >= 0 && (r->level < 0 || a->level < r->level)) {
        r->level = a->level;
    }
    if (!(a->outcome == SP_NOT_RUN)) {
        r->maybe_ran = 1;
    }
    r->budget += CLAMP(a->budget, 0, r->budget_sent);
    r->budget_sent = 0;
}

void
SpCore_SendDone(SpCore *c, int64_t now, SpHandle h, uint32_t number,
                const SpAnswer *given)
{
    SpReq *r = SpCore_Req(c, h);
    SpAnswer a = *given;

    if (!r || r->state != SP_REQ_SENT || r->number != number) {
        return;
    }
    if (a.kind == SP_BROKEN || a.kind == SP_UNREACHABLE) {
        /* without an answer, the retries passed on count as spent, unless
           nothing was sent */
        a.budget = a.kind == SP_UNREACHABLE && !a.from[0] ? r->budget_sent : 0;
    }
    update_from_answer(c, now, r, &a);
    if (may_retry(c, now, r, &a)) {
        if (r->own_key &&
            (a.certified || (a.kind == SP_UNREACHABLE && !r->maybe_ran))) {
            /* the key never runs or never left this node; bind a new one */
            r->keyed = 0;
            r->maybe_ran = 0;
        }
        SpReq_Send(c, now, r);
        return;
    }
    r->state = SP_REQ_NEW;
    a.below = a.below || has_failed(&a);
    SpReq_End(c, now, r, &a);
}
