/* Life of a node's decisions: instance, members, configuration, time. */
#include <stdarg.h>
#include <string.h>

#include "core/state.h"

#define PERIOD_US (1 * SP_SEC)
#define LINE_EVENTS 2048
#define REFUSALS 16384
#define SUMMARY_US (1 * SP_SEC)
/* An instance that is silent this long is taken to be gone. */
#define INSTANCE_LEASE_US (4 * SP_SEC)
/* A leaving gate still takes calls that crossed its notice. */
#define LEAVE_GRACE_US (1 * SP_SEC)
#define SENDER_US (60 * SP_SEC)
/* Reads of the log by all members together come to this many a second. */
#define READS_PER_SEC 100
#define READ_LEAST_US (1 * SP_SEC)
#define READ_LOST_US (5 * SP_SEC)
#define ASK_US (300 * SP_MS)
/* The version in force is repeated on the log this often at least. */
#define KEEP_US (300 * SP_SEC)
#define ANNOUNCE_US (120 * SP_SEC)
/* A tick that comes this late tells that the process stood still. */
#define STALL_US (200 * SP_MS)
/* Peers told at once of a new version. */
#define PUSH_PEERS 3

/* First byte of a message between nodes. */
enum { MSG_MEMBERS = 'M', MSG_ASK = 'A', MSG_CONFIG = 'C' };

int64_t
SpCore_Wall(const SpCore *c, int64_t now)
{
    return now + c->o.wall_offset;
}

int64_t
SpCore_WallMs(const SpCore *c, int64_t now)
{
    return SpCore_Wall(c, now) / 1000;
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
    c->o.ops->event(c->o.ctx, SpLine_Add(c->line, SpCore_WallMs(c, now), kind,
                                         "%s", text));
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
SpAnswer_Sign(const SpCore *c, int64_t now, SpAnswer *a)
{
    g_strlcpy(a->from, c->o.name, sizeof a->from);
    a->from_inc = SpMembers_Self(c->members)->inc;
    a->clock_ms = SpMembers_Clock(c->members, now);
    a->load = SpGate_Load(c->gate);
    a->leaving = SpCore_IsLeaving(c);
}

/*
 * Own instance.
 */

int
SpCore_IsLeaving(const SpCore *c)
{
    return c->leaving_at != 0;
}

int
SpCore_TakesWork(const SpCore *c, int64_t now)
{
    if (c->inst_at < 0) {
        return 0;
    }
    return !c->leaving_at || now < c->leaving_at + LEAVE_GRACE_US;
}

static int
slots_now(const SpCore *c)
{
    int i = c->doc ? SpDoc_Service(c->doc, c->o.service) : -1;

    if (c->o.slots) {
        return c->o.slots;
    }
    if (c->inst_slots) {
        return c->inst_slots;
    }
    return i >= 0 ? c->doc->services[i].slots : 1;
}

static void
configure_gate(SpCore *c)
{
    SpGateOpts o = {SP_POLICY_FULL, slots_now(c), 100, 100, 20 * SP_MS, 1};
    int i = c->doc ? SpDoc_Service(c->doc, c->o.service) : -1;

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

static void
update_self(SpCore *c, int64_t now)
{
    SpMemberState st = SP_UP;

    if (c->leaving_at) {
        st = SP_LEFT;
    }
    else if (c->inst_at < 0) {
        st = SP_IDLE;
    }
    SpMembers_SetSelf(c->members, now, st, slots_now(c));
}

/* Tell every node that lately sent work. */
static void
notify_senders(SpCore *c, int64_t now)
{
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, c->senders);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (now - *(int64_t *)v < SENDER_US) {
            SpMembers_Notify(c->members, now, k);
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
    update_self(c, now);
    notify_senders(c, now);
}

void
SpCore_Instance(SpCore *c, int64_t now, SpInstState st, int slots)
{
    int was = c->inst_at >= 0;

    c->inst = st;
    c->inst_at = now;
    if (slots > 0 && slots != c->inst_slots) {
        c->inst_slots = slots;
        configure_gate(c);
    }
    if (!was) {
        SpCore_Event(c, now, "instance-up", "slots=%d", slots_now(c));
    }
    if (!c->stopping && !c->drained) {
        set_leaving(c, now, st == SP_INST_LEAVING, "instance");
    }
    update_self(c, now);
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

static void
check_instance(SpCore *c, int64_t now)
{
    if (c->inst_at >= 0 && now - c->inst_at > INSTANCE_LEASE_US) {
        c->inst_at = -1;
        SpCore_Event(c, now, "instance-lost", "why=silent");
        update_self(c, now);
    }
}

/*
 * Members and peers.
 */

static void
on_send(void *ctx, const char *peer, const void *p, size_t n)
{
    SpCore *c = ctx;
    char *buf = g_malloc(n + 1);

    buf[0] = MSG_MEMBERS;
    memcpy(buf + 1, p, n);
    c->n.peer_out++;
    c->n.peer_out_bytes += n + 1;
    c->o.ops->peer(c->o.ctx, peer, buf, n + 1);
    g_free(buf);
}

static void
on_changed(void *ctx, const SpMember *m, SpMemberState old)
{
    SpCore *c = ctx;

    SpPick_Member(SpCore_PickOf(c, m->service), c->told_at, m);
    SpCore_Event(c, c->told_at, "member",
                 "member=%s zone=%s service=%s state=%s was=%s inc=%" PRIx64,
                 m->name, m->zone, m->service, SpMemberState_Name(m->state),
                 SpMemberState_Name(old), m->inc);
}

static void
on_pack(void *ctx, msgpack_packer *pk)
{
    SpCore *c = ctx;
    const SpVersion *v = SpVersions_Current(c->versions);

    msgpack_pack_array(pk, 2);
    msgpack_pack_int(pk, v ? v->number : 0);
    msgpack_pack_uint64(pk, SpLine_Now(c->line, SpCore_WallMs(c, c->told_at)));
}

static void
send_peer(SpCore *c, const char *addr, char type, const char *p, size_t n)
{
    char *buf = g_malloc(n + 1);

    buf[0] = type;
    memcpy(buf + 1, p, n);
    c->n.peer_out++;
    c->n.peer_out_bytes += n + 1;
    c->o.ops->peer(c->o.ctx, addr, buf, n + 1);
    g_free(buf);
}

static void
on_unpack(void *ctx, const SpMember *from, const msgpack_object *o)
{
    SpCore *c = ctx;
    const SpVersion *v = SpVersions_Current(c->versions);
    const char *self = SpMembers_Self(c->members)->peer;
    uint64_t number = v ? (uint64_t)v->number : 0;
    int64_t now = c->told_at;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2 ||
        o->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        o->via.array.ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        c->n.peer_bad++;
        return;
    }
    SpLine_Heard(c->line, SpCore_WallMs(c, now), o->via.array.ptr[1].via.u64);
    if (from && o->via.array.ptr[0].via.u64 > number && now >= c->next_ask) {
        c->next_ask = now + ASK_US;
        send_peer(c, from->peer, MSG_ASK, self, strlen(self));
    }
}

static const SpMembersOps members_ops = {on_send, on_changed, on_pack,
                                         on_unpack};

/*
 * Configuration.
 */

static void
apply_doc(SpCore *c)
{
    GHashTableIter it;
    gpointer k, p;

    c->doc = SpVersions_Current(c->versions)->doc;
    configure_gate(c);
    SpKeys_Configure(c->keys, c->doc->limits.keys, c->doc->limits.key_ttl_ms);
    g_hash_table_iter_init(&it, c->picks);
    while (g_hash_table_iter_next(&it, &k, &p)) {
        int i = SpDoc_Service(c->doc, k);
        SpPick_Configure(p, i >= 0 ? c->doc->services[i].ramp_ms : 5000,
                         c->doc->policy != SP_POLICY_FULL);
    }
}

static void
push_version(SpCore *c, int64_t now)
{
    guint n = SpMembers_Count(c->members), i;

    for (i = 0; i < PUSH_PEERS && n > 1; i++) {
        const SpMember *m =
            SpMembers_At(c->members, 1 + (guint)(SpRand(&c->rand) % (n - 1)));
        SpMembers_Notify(c->members, now, m->name);
    }
}

static void
version_changed(SpCore *c, int64_t now, const char *how)
{
    const SpVersion *v = SpVersions_Current(c->versions);
    char by[64], why[96];

    apply_doc(c);
    update_self(c, now);
    SpCore_Event(
        c, now, "config",
        "version=%d offset=%" PRId64 " hash=%s by=%s reason=%s how=%s",
        v->number, v->offset, v->hash, SpLog_Quote(by, sizeof by, v->by),
        SpLog_Quote(why, sizeof why, v->reason), how);
    push_version(c, now);
}

void
SpCore_Peer(SpCore *c, int64_t now, const void *p, size_t n)
{
    const char *s = p;
    char addr[SP_ADDR_BYTES] = "";
    char *keep;

    c->told_at = MAX(c->told_at, now);
    c->n.peer_in++;
    c->n.peer_in_bytes += n;
    if (n > 1 && s[0] == MSG_MEMBERS) {
        c->n.peer_bad += !SpMembers_Receive(c->members, now, s + 1, n - 1);
    }
    else if (n > 1 && n <= sizeof addr && s[0] == MSG_ASK) {
        memcpy(addr, s + 1, n - 1);
        if (SpParse_Addr(addr, NULL, 0, NULL) && c->doc) {
            keep = SpVersions_MakeKeep(c->versions);
            send_peer(c, addr, MSG_CONFIG, keep, strlen(keep));
            g_free(keep);
        }
    }
    else if (n > 1 && s[0] == MSG_CONFIG) {
        if (SpVersions_Peer(c->versions, SpCore_WallMs(c, now), s + 1,
                            n - 1)) {
            c->unforced = 0;
            version_changed(c, now, "peer");
        }
    }
    else {
        c->n.peer_bad++;
    }
}

static int64_t
read_period(const SpCore *c)
{
    int64_t all = SpMembers_Count(c->members) * (SP_SEC / READS_PER_SEC);

    return MAX(READ_LEAST_US, all);
}

static void
read_config(SpCore *c, int64_t now)
{
    c->n.log_reads++;
    c->next_read = now + READ_LOST_US;
    c->o.ops->read(c->o.ctx, SP_STREAM_CONFIG, SpVersions_Cursor(c->versions));
}

/* Each node waits a random time; the first to append spares the others. */
static void
plan_keep(SpCore *c, int64_t now)
{
    int64_t window = MAX(10, SpMembers_Count(c->members)) * SP_SEC;

    c->next_keep =
        now + KEEP_US + (int64_t)(SpRand_Unit(&c->rand) * (double)window);
}

static void
append(SpCore *c, const char *stream, const char *p, size_t n)
{
    c->n.log_appends++;
    c->o.ops->append(c->o.ctx, stream, ++c->tag, p, n);
}

static void
keep_version(SpCore *c, int64_t now)
{
    char *keep;

    if (!c->doc || now < c->next_keep) {
        return;
    }
    plan_keep(c, now);
    keep = SpVersions_MakeKeep(c->versions);
    append(c, SP_STREAM_CONFIG, keep, strlen(keep));
    g_free(keep);
}

static char *
member_record(const SpMember *m)
{
    char inc[24];
    char *s, *copy;
    json_t *j;

    g_snprintf(inc, sizeof inc, "%" PRIx64, m->inc);
    j = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "name", m->name, "zone",
                  m->zone, "service", m->service, "mesh", m->mesh, "peer",
                  m->peer, "inc", inc);
    s = json_dumps(j, JSON_COMPACT);
    copy = g_strdup(s);
    free(s);
    json_decref(j);
    return copy;
}

static void
copy_text(const json_t *j, const char *name, char *to, size_t n)
{
    const char *s = json_string_value(json_object_get(j, name));

    g_strlcpy(to, s ? s : "", n);
}

/* An announced node is only a contact: gossip tells whether it runs. */
static void
take_announcement(SpCore *c, int64_t now, const SpRecord *r)
{
    json_t *j = json_loadb(r->p, r->n, 0, NULL);
    SpMember m = {0};

    copy_text(j, "name", m.name, sizeof m.name);
    copy_text(j, "peer", m.peer, sizeof m.peer);
    json_decref(j);
    if (m.name[0] && strcmp(m.name, c->o.name) != 0 &&
        SpParse_Addr(m.peer, NULL, 0, NULL) &&
        !SpMembers_Find(c->members, m.name)) {
        SpMembers_Contact(c->members, now, m.peer);
    }
}

static void
tick_log(SpCore *c, int64_t now)
{
    char *rec;

    if (now >= c->next_read) {
        read_config(c, now);
    }
    keep_version(c, now);
    if (now >= c->next_announce) {
        c->next_announce = now + ANNOUNCE_US;
        rec = member_record(SpMembers_Self(c->members));
        append(c, SP_STREAM_MEMBERS, rec, strlen(rec));
        g_free(rec);
    }
    if (now >= c->next_members) {
        c->next_members =
            now + (SpMembers_Count(c->members) < 3 ? 2 * SP_SEC : 60 * SP_SEC);
        c->n.log_reads++;
        c->o.ops->read(c->o.ctx, SP_STREAM_MEMBERS, c->members_from);
    }
}

void
SpCore_Read(SpCore *c, int64_t now, const char *stream, int ok, int64_t oldest,
            int64_t next, const SpRecord *r, size_t n)
{
    int64_t kept = SpVersions_Kept(c->versions);
    int changed = 0;
    size_t i;

    if (!ok) {
        c->n.log_failures++;
    }
    if (ok != c->log_ok) {
        SpCore_Event(c, now, ok ? "log-up" : "log-down", "stream=%s", stream);
        c->log_ok = ok;
    }
    if (strcmp(stream, SP_STREAM_MEMBERS) == 0) {
        for (i = 0; ok && i < n; i++) {
            take_announcement(c, now, &r[i]);
            c->members_from = r[i].offset + 1;
        }
        return;
    }
    c->next_read = now + (int64_t)((double)read_period(c) *
                                   (0.75 + 0.5 * SpRand_Unit(&c->rand)));
    if (!ok) {
        return;
    }
    SpVersions_Range(c->versions, oldest, next);
    for (i = 0; i < n; i++) {
        changed |= SpVersions_Record(c->versions, SpCore_WallMs(c, now),
                                     r[i].offset, r[i].p, r[i].n);
    }
    c->caught_up = SpVersions_Cursor(c->versions) >= next;
    c->unforced |= changed;
    /* a reader that is behind may not force what is already replaced */
    if (c->unforced && c->caught_up) {
        c->unforced = 0;
        version_changed(c, now, "log");
    }
    if (SpVersions_Kept(c->versions) != kept) {
        plan_keep(c, now);
    }
    if (!c->caught_up) {
        c->next_read = now;
    }
}

void
SpCore_Appended(SpCore *c, int64_t now, uint64_t tag, int ok)
{
    (void)tag;
    if (!ok) {
        c->n.log_failures++;
    }
    /* read what became of it */
    c->next_read = MIN(c->next_read, now + 50 * SP_MS);
}

char *
SpCore_Publish(SpCore *c, int64_t now, int replaces, const char *by,
               const char *reason, const char *text)
{
    char *id = g_strdup_printf("%016" PRIx64 "%016" PRIx64, SpRand(&c->rand),
                               SpRand(&c->rand));
    char *rec = SpVersions_MakePublish(id, replaces, by, reason,
                                       SpCore_WallMs(c, now), text);
    char who[64], why[160];

    SpCore_Event(c, now, "publish", "id=%s replaces=%d by=%s reason=%s", id,
                 replaces, SpLog_Quote(who, sizeof who, by),
                 SpLog_Quote(why, sizeof why, reason));
    append(c, SP_STREAM_CONFIG, rec, strlen(rec));
    g_free(rec);
    return id;
}

SpPubState
SpCore_Published(const SpCore *c, const char *id)
{
    return SpVersions_State(c->versions, id);
}

/*
 * Time.
 */

static void
time_out(SpCore *c, int64_t now, SpReq *r)
{
    SpAnswer a;

    SpAnswer_Init(&a, r->state == SP_REQ_QUEUED ? SP_LATE : SP_TIMEOUT);
    if ((r->state == SP_REQ_RUNNING && SpReq_WorksOn(c, r)) ||
        (r->state == SP_REQ_SENT && SpReq_WorksOn(c, r) && !r->keyed)) {
        /* its outcome is still wanted; nobody waits for it */
        if (!r->detached) {
            SpAnswer_Sign(c, now, &a);
            a.budget = r->budget;
            c->n.ended[a.kind]++;
            c->n.refused[r->class]++;
            r->detached = 1;
            c->o.ops->answer(c->o.ctx, r->call.user, &a);
        }
        return;
    }
    if (r->state == SP_REQ_RUNNING) {
        SpReq_CancelRun(c, now, r);
    }
    else if (r->state == SP_REQ_SENT) {
        SpReq_Lose(c, r);
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

/* Once a second, one event for all refusals since the last. */
static void
sum_refusals(SpCore *c, int64_t now)
{
    GString *s;
    int k;

    if (now - c->summed < SUMMARY_US) {
        return;
    }
    c->summed = now;
    s = g_string_new(NULL);
    for (k = SP_OK + 1; k < SP_NKINDS; k++) {
        uint64_t n = c->n.ended[k] - c->summed_ended[k];
        c->summed_ended[k] = c->n.ended[k];
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

/* Keys may be bound to this node as well; its own clock is always known. */
static void
tell_own_clock(SpCore *c, int64_t now)
{
    SpPick *p = SpCore_PickOf(c, c->o.service);

    SpPick_Clock(p, now, SpPick_Find(p, c->o.name),
                 SpMembers_Clock(c->members, now));
}

static void
watch_level(SpCore *c, int64_t now)
{
    int top = (c->doc ? c->doc->nclasses : 1) * SP_SLICES;
    int hot = SpGate_Level(c->gate) < top;

    if (hot != c->hot) {
        c->hot = hot;
        SpCore_Event(c, now, hot ? "overload" : "overload-end",
                     "level=%d limit=%.0f running=%d queued=%d",
                     SpGate_Level(c->gate), SpGate_Limit(c->gate),
                     SpGate_Running(c->gate), SpGate_Queued(c->gate));
    }
}

int64_t
SpCore_Stall(const SpCore *c, int64_t now)
{
    int64_t gap = now - c->ticked;

    return gap > STALL_US ? gap : c->stall;
}

void
SpCore_Tick(SpCore *c, int64_t now)
{
    int64_t gap;

    c->told_at = MAX(c->told_at, now);
    gap = now - c->ticked;
    c->stall = gap > STALL_US ? gap : 0;
    c->ticked = now;
    SpMembers_Tick(c->members, now);
    check_instance(c, now);
    check_deadlines(c, now);
    SpGate_Tick(c->gate, now);
    watch_level(c, now);
    sum_refusals(c, now);
    tell_own_clock(c, now);
    SpCore_TickViews(c, now);
    SpCore_Pump(c, now);
    tick_log(c, now);
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
    mo.self.state = SP_IDLE;
    mo.self.slots = o->slots;
    memcpy(mo.contacts, o->contacts, sizeof mo.contacts);
    mo.ncontacts = o->ncontacts;
    mo.period_us = o->period_us ? o->period_us : PERIOD_US;
    mo.seed = SpRand(&c->rand);
    mo.ops = &members_ops;
    mo.ctx = c;
    return SpMembers_New(&mo, now);
}

static void
free_pick(gpointer p)
{
    SpPick_Free(p);
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
    c->told_at = now;
    c->ticked = now;
    c->inst_at = -1;
    c->log_ok = 1;
    c->next_read = now;
    c->next_announce = now + 100 * SP_MS;
    c->next_members = now + 200 * SP_MS;
    c->next_keep = now + KEEP_US;
    c->retry_tokens = 1;
    c->reqs = SpTable_New(sizeof(SpReq));
    c->by_span = g_hash_table_new(g_int64_hash, g_int64_equal);
    c->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    c->gate = SpGate_New(&go, now);
    c->keys = SpKeys_New(4096, 86400000);
    c->versions = SpVersions_New();
    c->line = SpLine_New(LINE_EVENTS);
    c->refusals = SpRefusals_New(REFUSALS);
    c->picks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_pick);
    c->route_views =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->serv_views =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->senders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->members = make_members(c, now);
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
    SpLine_Free(c->line);
    SpRefusals_Free(c->refusals);
    g_hash_table_destroy(c->picks);
    g_hash_table_destroy(c->route_views);
    g_hash_table_destroy(c->serv_views);
    g_hash_table_destroy(c->senders);
    g_free(c);
}

/*
 * Views.
 */

const SpCounters *
SpCore_Counters(const SpCore *c)
{
    return &c->n;
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

SpLine *
SpCore_Line(const SpCore *c)
{
    return c->line;
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

const SpPick *
SpCore_Pick(const SpCore *c, const char *service)
{
    return g_hash_table_lookup(c->picks, service);
}
