/* Construction of the core, timers and read access. */
#include <stdarg.h>
#include <string.h>

#include "core/state.h"

#define GOSSIP_PERIOD_US (1 * SP_SEC)
#define EVENT_LOG_CAPACITY 2048
#define REFUSALS_CAPACITY 16384
#define SUMMARY_INTERVAL_US (1 * SP_SEC)
/* A tick that comes this late shows that the process was stopped. */
#define STALL_US (200 * SP_MS)

int64_t
SpCore_WallUs(const SpCore *c, int64_t now)
{
    return now + c->o.wall_offset;
}

int64_t
SpCore_WallMs(const SpCore *c, int64_t now)
{
    return SpCore_WallUs(c, now) / 1000;
}

SpReq *
SpCore_Req(const SpCore *c, SpHandle h)
{
    return SpTable_Get(c->reqs, h);
}

void
SpCore_Event(SpCore *c, int64_t now, const char *kind, const char *fmt, ...)
{
    char text[SP_EVENT_BYTES];
    va_list ap;

    va_start(ap, fmt);
    g_vsnprintf(text, sizeof text, fmt, ap);
    va_end(ap);
    c->o.ops->event(
        c->o.ctx,
        SpEventLog_Add(c->event_log, SpCore_WallMs(c, now), kind, "%s", text));
}

void
SpAnswer_Init(SpAnswer *a, SpKind k)
{
    const SpKindInfo *i = SpKind_Info(k);

    memset(a, 0, sizeof *a);
    a->kind = k;
    a->status = i->status;
    a->outcome = i->outcome;
    a->retry_ms = i->retry_ms;
    a->level = -1;
    a->load = -1;
    a->clock_ms = -1;
}

void
SpAnswer_SetSender(const SpCore *c, int64_t now, SpAnswer *a)
{
    g_strlcpy(a->from, c->o.name, sizeof a->from);
    a->from_inc = SpMembers_Self(c->members)->inc;
    a->clock_ms = SpMembers_Clock(c->members, now);
    a->load = SpGate_Load(c->gate);
    a->leaving = SpCore_IsLeaving(c);
}

/*
 * Time.
 */

static void
time_out(SpCore *c, int64_t now, SpReq *r)
{
    SpAnswer a;

    SpAnswer_Init(&a, r->state == SP_REQ_QUEUED ? SP_LATE : SP_TIMEOUT);
    if ((r->state == SP_REQ_RUNNING && SpReq_OutlivesCaller(c, r)) ||
        (r->state == SP_REQ_SENT && SpReq_OutlivesCaller(c, r) && !r->keyed)) {
        /* answer the caller, but keep the request: its outcome is needed */
        if (!r->detached) {
            SpAnswer_SetSender(c, now, &a);
            a.budget = r->budget;
            c->counters.ended[a.kind]++;
            c->counters.refused[r->class]++;
            r->detached = 1;
            c->o.ops->answer(c->o.ctx, r->call.user, &a);
        }
        return;
    }
    if (r->state == SP_REQ_RUNNING) {
        SpReq_CancelRun(c, now, r);
    }
    else if (r->state == SP_REQ_SENT) {
        SpReq_AbandonSend(c, r);
        c->o.ops->cancel(c->o.ctx, r->call.user);
    }
    else if (r->state == SP_REQ_PARKED) {
        SpAnswer_Init(&a, SP_KEY_BUSY);
    }
    SpReq_End(c, now, r, &a);
}

static void
check_deadlines(SpCore *c, int64_t now)
{
    uint32_t pos = 0;
    SpHandle h;
    SpReq *r;

    while ((r = SpTable_Next(c->reqs, &pos, &h)) != NULL) {
        if (now >= r->deadline && !r->detached) {
            time_out(c, now, r);
        }
    }
}

/* Once per second, reports all refusals since the last report as one event. */
static void
summarize_refusals(SpCore *c, int64_t now)
{
    GString *s;
    int k;

    if (now - c->summary_at < SUMMARY_INTERVAL_US) {
        return;
    }
    c->summary_at = now;
    s = g_string_new(NULL);
    for (k = SP_OK + 1; k < SP_NKINDS; k++) {
        uint64_t n = c->counters.ended[k] - c->summary_ended[k];
        c->summary_ended[k] = c->counters.ended[k];
        if (n) {
            g_string_append_printf(s, " %s=%" PRIu64,
                                   SpKind_Info((SpKind)k)->name, n);
        }
    }
    if (s->len) {
        SpCore_Event(c, now, "refused", "level=%d%s", SpGate_Level(c->gate),
                     s->str);
    }
    g_string_free(s, TRUE);
}

/* Keeps the clock of the local target current, so that keys can be bound to
   this node as well. */
static void
update_own_clock(SpCore *c, int64_t now)
{
    SpPicker *p = SpCore_GetPicker(c, c->o.service);

    SpPicker_UpdateClock(p, now, SpPicker_Find(p, c->o.name),
                         SpMembers_Clock(c->members, now));
}

static void
check_overload(SpCore *c, int64_t now)
{
    int hot = SpGate_Level(c->gate) < SpCore_MaxLevel(c);

    if (hot != c->overloaded) {
        c->overloaded = hot;
        SpCore_Event(c, now, hot ? "overload" : "overload-end",
                     "level=%d limit=%.0f running=%d queued=%d",
                     SpGate_Level(c->gate), SpGate_Limit(c->gate),
                     SpGate_Running(c->gate), SpGate_Queued(c->gate));
    }
}

int64_t
SpCore_Stall(const SpCore *c, int64_t now)
{
    int64_t gap = now - c->ticked_at;

    return gap > STALL_US ? gap : c->stall;
}

void
SpCore_Tick(SpCore *c, int64_t now)
{
    int64_t gap;

    c->event_at = MAX(c->event_at, now);
    gap = now - c->ticked_at;
    c->stall = gap > STALL_US ? gap : 0;
    c->ticked_at = now;
    SpMembers_Tick(c->members, now);
    SpCore_CheckInstance(c, now);
    check_deadlines(c, now);
    SpGate_Tick(c->gate, now);
    check_overload(c, now);
    summarize_refusals(c, now);
    update_own_clock(c, now);
    SpCore_TickViews(c, now);
    SpCore_DispatchQueue(c, now);
    SpCore_TickLog(c, now);
}

/*
 * Construction.
 */

static SpMembers *
make_members(SpCore *c, int64_t now)
{
    const SpCoreOpts *o = &c->o;
    SpMembersOpts mo;

    memset(&mo, 0, sizeof mo);
    g_strlcpy(mo.self.name, o->name, sizeof mo.self.name);
    g_strlcpy(mo.self.zone, o->zone, sizeof mo.self.zone);
    g_strlcpy(mo.self.service, o->service, sizeof mo.self.service);
    g_strlcpy(mo.self.mesh, o->mesh, sizeof mo.self.mesh);
    g_strlcpy(mo.self.peer, o->peer, sizeof mo.self.peer);
    mo.self.inc = o->inc;
    mo.self.state = SP_MEMBER_IDLE;
    mo.self.slots = o->slots;
    memcpy(mo.contacts, o->contacts, sizeof mo.contacts);
    mo.ncontacts = o->ncontacts;
    mo.period_us = o->period_us ? o->period_us : GOSSIP_PERIOD_US;
    mo.seed = SpRand(&c->rand);
    mo.ops = &SpCore_MembersOps;
    mo.ctx = c;
    return SpMembers_New(&mo, now);
}

static void
free_picker(gpointer p)
{
    SpPicker_Free(p);
}

SpCore *
SpCore_New(const SpCoreOpts *o, int64_t now)
{
    SpGateOpts go = {
        SP_POLICY_FULL, MAX(o->slots, 1), 100, 100, 20 * SP_MS, 1};
    SpCore *c = g_new0(SpCore, 1);

    c->o = *o;
    c->rand = o->seed;
    c->span_seed = SpRand(&c->rand);
    c->event_at = now;
    c->ticked_at = now;
    c->inst_announced_at = -1;
    c->log_ok = 1;
    c->next_read = now;
    c->next_announce = now + 100 * SP_MS;
    c->next_members = now + 200 * SP_MS;
    c->retry_tokens = 1;
    c->reqs = SpTable_New(sizeof(SpReq));
    c->by_span = g_hash_table_new(g_int64_hash, g_int64_equal);
    c->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    c->gate = SpGate_New(&go, now);
    c->keys = SpKeys_New(4096, 86400000);
    c->versions = SpVersions_New();
    c->event_log = SpEventLog_New(EVENT_LOG_CAPACITY);
    c->refusals = SpRefusals_New(REFUSALS_CAPACITY);
    c->pickers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_picker);
    c->route_views =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->service_views =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->senders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->members = make_members(c, now);
    SpCore_ScheduleKeep(c, now);
    return c;
}

void
SpCore_Free(SpCore *c)
{
    if (!c) {
        return;
    }
    g_hash_table_destroy(c->by_span);
    g_hash_table_destroy(c->by_key);
    SpTable_Free(c->reqs);
    SpGate_Free(c->gate);
    SpKeys_Free(c->keys);
    SpMembers_Free(c->members);
    SpVersions_Free(c->versions);
    SpEventLog_Free(c->event_log);
    SpRefusals_Free(c->refusals);
    g_hash_table_destroy(c->pickers);
    g_hash_table_destroy(c->route_views);
    g_hash_table_destroy(c->service_views);
    g_hash_table_destroy(c->senders);
    g_free(c);
}

/*
 * Read access.
 */

const SpCounters *
SpCore_Counters(const SpCore *c)
{
    return &c->counters;
}

const SpMembers *
SpCore_Members(const SpCore *c)
{
    return c->members;
}

const SpVersions *
SpCore_Versions(const SpCore *c)
{
    return c->versions;
}

const SpGate *
SpCore_Gate(const SpCore *c)
{
    return c->gate;
}

const SpKeys *
SpCore_Keys(const SpCore *c)
{
    return c->keys;
}

const SpRefusals *
SpCore_Refusals(const SpCore *c)
{
    return c->refusals;
}

SpEventLog *
SpCore_EventLog(const SpCore *c)
{
    return c->event_log;
}

const SpDoc *
SpCore_Doc(const SpCore *c)
{
    return c->doc;
}

size_t
SpCore_Requests(const SpCore *c)
{
    return SpTable_Count(c->reqs);
}

const SpPicker *
SpCore_Picker(const SpCore *c, const char *service)
{
    return g_hash_table_lookup(c->pickers, service);
}
