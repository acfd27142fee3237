/* State shared between nodes: members, configuration, streams of the log. */
#include <string.h>

#include "core/state.h"

/* Target rate of log reads by all members together. A single node reads at
   most about once per MIN_READ_INTERVAL_US. */
#define READS_PER_SEC 100
#define MIN_READ_INTERVAL_US (1 * SP_SEC)
/* A read without a result is repeated after this. */
#define READ_TIMEOUT_US (5 * SP_SEC)
/* Minimum interval between requests to peers for their version. */
#define CONFIG_REQUEST_INTERVAL_US (300 * SP_MS)
/* Interval between keep records of the version in force; SpCore_ScheduleKeep
   adds a random delay. */
#define KEEP_INTERVAL_US (300 * SP_SEC)
#define ANNOUNCE_INTERVAL_US (120 * SP_SEC)
/* Number of peers notified at once of a new version. */
#define NOTIFIED_PEERS 3

/* First byte of a message between nodes. */
enum { MSG_MEMBERS = 'M', MSG_CONFIG_REQUEST = 'A', MSG_CONFIG = 'C' };

/*
 * Members and peers.
 */

static void
send_peer(SpCore *c, const char *addr, char type, const void *p, size_t n)
{
    char *buf = g_malloc(n + 1);

    buf[0] = type;
    memcpy(buf + 1, p, n);
    c->counters.peer_out++;
    c->counters.peer_out_bytes += n + 1;
    c->o.ops->peer(c->o.ctx, addr, buf, n + 1);
    g_free(buf);
}

static void
on_send(void *ctx, const char *peer, const void *p, size_t n)
{
    send_peer(ctx, peer, MSG_MEMBERS, p, n);
}

static void
on_changed(void *ctx, const SpMember *m, SpMemberState old)
{
    SpCore *c = ctx;

    SpPicker_UpdateMember(SpCore_GetPicker(c, m->service), c->event_at, m);
    SpCore_Event(c, c->event_at, "member",
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
    msgpack_pack_uint64(
        pk, SpEventLog_Stamp(c->event_log, SpCore_WallMs(c, c->event_at)));
}

static void
on_unpack(void *ctx, const SpMember *from, const msgpack_object *o)
{
    SpCore *c = ctx;
    const SpVersion *v = SpVersions_Current(c->versions);
    const char *self = SpMembers_Self(c->members)->peer;
    uint64_t number = v ? (uint64_t)v->number : 0;
    int64_t now = c->event_at;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2 ||
        o->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        o->via.array.ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        c->counters.peer_malformed++;
        return;
    }
    SpEventLog_MergeStamp(c->event_log, SpCore_WallMs(c, now),
                          o->via.array.ptr[1].via.u64);
    if (from && o->via.array.ptr[0].via.u64 > number &&
        now >= c->next_config_request) {
        c->next_config_request = now + CONFIG_REQUEST_INTERVAL_US;
        send_peer(c, from->peer, MSG_CONFIG_REQUEST, self, strlen(self));
    }
}

const SpMembersOps SpCore_MembersOps = {on_send, on_changed, on_pack,
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
    SpCore_ConfigureGate(c);
    SpKeys_Configure(c->keys, c->doc->limits.keys, c->doc->limits.key_ttl_ms);
    g_hash_table_iter_init(&it, c->pickers);
    while (g_hash_table_iter_next(&it, &k, &p)) {
        int i = SpDoc_FindService(c->doc, k);
        SpPicker_Configure(p, i >= 0 ? c->doc->services[i].ramp_ms : 5000,
                           c->doc->policy != SP_POLICY_FULL);
    }
}

static void
notify_new_version(SpCore *c, int64_t now)
{
    guint n = SpMembers_Count(c->members), i;

    for (i = 0; i < NOTIFIED_PEERS && n > 1; i++) {
        const SpMember *m =
            SpMembers_At(c->members, 1 + (guint)(SpRand(&c->rand) % (n - 1)));
        SpMembers_Ping(c->members, now, m->name);
    }
}

static void
version_changed(SpCore *c, int64_t now, const char *how)
{
    const SpVersion *v = SpVersions_Current(c->versions);
    char by[64], why[96];

    apply_doc(c);
    SpCore_UpdateSelf(c, now);
    SpCore_Event(
        c, now, "config",
        "version=%d offset=%" PRId64 " hash=%s by=%s reason=%s how=%s",
        v->number, v->offset, v->hash, SpLog_Quote(by, sizeof by, v->by),
        SpLog_Quote(why, sizeof why, v->reason), how);
    notify_new_version(c, now);
}

void
SpCore_PeerMessage(SpCore *c, int64_t now, const void *p, size_t n)
{
    const char *s = p;
    char addr[SP_ADDR_BYTES] = "";
    char *keep;

    c->event_at = MAX(c->event_at, now);
    c->counters.peer_in++;
    c->counters.peer_in_bytes += n;
    if (n > 1 && s[0] == MSG_MEMBERS) {
        c->counters.peer_malformed +=
            !SpMembers_Receive(c->members, now, s + 1, n - 1);
    }
    else if (n > 1 && n <= sizeof addr && s[0] == MSG_CONFIG_REQUEST) {
        memcpy(addr, s + 1, n - 1);
        if (SpParse_Addr(addr, NULL, 0, NULL) && c->doc) {
            keep = SpVersions_MakeKeep(c->versions);
            send_peer(c, addr, MSG_CONFIG, keep, strlen(keep));
            g_free(keep);
        }
    }
    else if (n > 1 && s[0] == MSG_CONFIG) {
        if (SpVersions_ApplyPeerRecord(c->versions, SpCore_WallMs(c, now),
                                       s + 1, n - 1)) {
            c->version_pending = 0;
            version_changed(c, now, "peer");
        }
    }
    else {
        c->counters.peer_malformed++;
    }
}

static int64_t
read_period(const SpCore *c)
{
    int64_t all = SpMembers_Count(c->members) * (SP_SEC / READS_PER_SEC);

    return MAX(MIN_READ_INTERVAL_US, all);
}

static void
read_config(SpCore *c, int64_t now)
{
    c->counters.log_reads++;
    c->next_read = now + READ_TIMEOUT_US;
    c->o.ops->read(c->o.ctx, SP_STREAM_CONFIG, SpVersions_Cursor(c->versions));
}

/* Each node adds a random delay. The first to append a keep record makes the
   others reschedule theirs, so that normally only one writes it. */
void
SpCore_ScheduleKeep(SpCore *c, int64_t now)
{
    int64_t window = MAX(10, SpMembers_Count(c->members)) * SP_SEC;

    c->next_keep = now + KEEP_INTERVAL_US +
                   (int64_t)(SpRand_Unit(&c->rand) * (double)window);
}

static void
append(SpCore *c, const char *stream, const char *p, size_t n)
{
    c->counters.log_appends++;
    c->o.ops->append(c->o.ctx, stream, ++c->tag, p, n);
}

static void
append_keep(SpCore *c, int64_t now)
{
    char *keep;

    if (!c->doc || now < c->next_keep) {
        return;
    }
    SpCore_ScheduleKeep(c, now);
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

/* An announcement gives only an address to contact; whether the node runs is
   learnt by gossip. */
static void
handle_announcement(SpCore *c, int64_t now, const SpRecord *r)
{
    json_t *j = json_loadb(r->p, r->n, 0, NULL);
    SpMember m = {0};

    copy_text(j, "name", m.name, sizeof m.name);
    copy_text(j, "peer", m.peer, sizeof m.peer);
    json_decref(j);
    if (m.name[0] && strcmp(m.name, c->o.name) != 0 &&
        SpParse_Addr(m.peer, NULL, 0, NULL) &&
        !SpMembers_Find(c->members, m.name)) {
        SpMembers_Join(c->members, now, m.peer);
    }
}

void
SpCore_TickLog(SpCore *c, int64_t now)
{
    char *rec;

    if (now >= c->next_read) {
        read_config(c, now);
    }
    append_keep(c, now);
    if (now >= c->next_announce) {
        c->next_announce = now + ANNOUNCE_INTERVAL_US;
        rec = member_record(SpMembers_Self(c->members));
        append(c, SP_STREAM_MEMBERS, rec, strlen(rec));
        g_free(rec);
    }
    if (now >= c->next_members) {
        c->next_members =
            now + (SpMembers_Count(c->members) < 3 ? 2 * SP_SEC : 60 * SP_SEC);
        c->counters.log_reads++;
        c->o.ops->read(c->o.ctx, SP_STREAM_MEMBERS, c->members_offset);
    }
}

void
SpCore_ReadDone(SpCore *c, int64_t now, const char *stream, int ok,
                int64_t oldest, int64_t next, const SpRecord *r, size_t n)
{
    int64_t kept = SpVersions_CheckpointOffset(c->versions);
    int changed = 0;
    size_t i;

    if (!ok) {
        c->counters.log_failures++;
    }
    if (ok != c->log_ok) {
        SpCore_Event(c, now, ok ? "log-up" : "log-down", "stream=%s", stream);
        c->log_ok = ok;
    }
    if (strcmp(stream, SP_STREAM_MEMBERS) == 0) {
        for (i = 0; ok && i < n; i++) {
            handle_announcement(c, now, &r[i]);
            c->members_offset = r[i].offset + 1;
        }
        return;
    }
    c->next_read = now + (int64_t)((double)read_period(c) *
                                   (0.75 + 0.5 * SpRand_Unit(&c->rand)));
    if (!ok) {
        return;
    }
    SpVersions_SetRange(c->versions, oldest, next);
    for (i = 0; i < n; i++) {
        changed |= SpVersions_ApplyRecord(c->versions, SpCore_WallMs(c, now),
                                          r[i].offset, r[i].p, r[i].n);
    }
    c->caught_up = SpVersions_Cursor(c->versions) >= next;
    c->version_pending |= changed;
    /* a reader that lags behind may see versions that were already replaced,
       so none from the log is applied until it has caught up */
    if (c->version_pending && c->caught_up) {
        c->version_pending = 0;
        version_changed(c, now, "log");
    }
    if (SpVersions_CheckpointOffset(c->versions) != kept) {
        SpCore_ScheduleKeep(c, now);
    }
    if (!c->caught_up) {
        c->next_read = now;
    }
}

void
SpCore_AppendDone(SpCore *c, int64_t now, uint64_t tag, int ok)
{
    (void)tag;
    if (!ok) {
        c->counters.log_failures++;
    }
    /* read the stream to learn whether the record was written */
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

SpPublishState
SpCore_PublishState(const SpCore *c, const char *id)
{
    return SpVersions_State(c->versions, id);
}
