/* Quotas at the coordinator: reports of its members, and the sums that the
   ledgers exchange. */
#include <math.h>
#include <string.h>

#include "relay/quotas.h"

/* Interval of the sums of all workspaces, to ledgers in use and to others. */
#define FULL_US (1 * SP_SEC)
#define STANDBY_US (2 * SP_SEC)
/* A ledger from which sums came this long ago is in use. */
#define IN_USE_US (3 * SP_SEC)
#define ZONES_US (1 * SP_SEC)
#define SUM_FIELDS 6
/* A fraction is logged again when it has changed by this factor, this long
   after the last time. */
#define LOG_RATIO 2.0
#define LOG_US (1 * SP_SEC)

/* What FRAME_SUMS has. */
typedef enum {
    SUMS_SOME, /* of workspaces near their limit */
    SUMS_FULL, /* what it does not mention has not changed */
    SUMS_LAST  /* the sender has no members any more */
} SumsKind;

typedef struct LoggedLimit {
    uint64_t key;
    double admit;
    int64_t at, seen_at;
    const char *workspace; /* name, owned */
} LoggedLimit;

void
free_logged_limit(void *p)
{
    LoggedLimit *l = p;

    SpName_Free(l->workspace);
    g_free(l);
}

SpLedger *
use_ledger(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;

    if (!q->ledger) {
        q->ledger = SpLedger_New(n->settings.zone, now);
        SpLedger_Configure(q->ledger, n->routes->workspaces);
        q->zones_at = 0;
    }
    return q->ledger;
}

/*
 * Members.
 */

static void
send_words(LinkConn *conn, uint64_t number)
{
    GArray *words = g_array_new(FALSE, FALSE, sizeof(SpQuotaWord));
    FrameOut f;
    guint i;

    SpLedger_Words(conn->n->quotas->ledger, conn->name, words);
    begin_link_frame(&f, conn, FRAME_WORDS, 2);
    put_uint(&f, number);
    put_array(&f, (size_t)words->len * WORD_FIELDS);
    for (i = 0; i < words->len; i++) {
        const SpQuotaWord *w = &g_array_index(words, SpQuotaWord, i);
        put_uint(&f, w->key);
        put_uint(&f, (uint64_t)(w->admit * SHARE_SCALE));
        put_uint(&f, (uint64_t)(w->share * SHARE_SCALE));
        put_uint(&f, (uint64_t)(w->wait_us / SP_MS));
    }
    end_frame(&f);
    g_array_unref(words);
}

static void
enter_usage(LinkConn *conn, const GArray *usage, uint64_t number, int leaves)
{
    Relay *n = conn->n;
    int64_t now = SpHttp_Now();
    SpLedger *l = use_ledger(n, now);

    conn->usage_at = now;
    SpLedger_AddUsage(l, now, conn->name,
                      (const SpUsage *)(const void *)usage->data, usage->len);
    send_words(conn, number);
    if (leaves) {
        SpLedger_RemoveMember(l, conn->name);
        conn->usage_at = 0;
    }
}

/* A report is not answered without a configuration: the sender turns to
   another node. */
int
handle_usage(LinkConn *conn, FrameIn *f)
{
    uint64_t number = get_uint(f);
    int leaves = get_uint(f) != 0;
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    FrameIn in = {.args = list, .n = count};
    GArray *usage = g_array_new(FALSE, FALSE, sizeof(SpUsage));

    for (i = 0; i < count / USAGE_FIELDS; i++) {
        SpUsage u = {.key = get_uint(&in)};
        u.offered = get_int(&in);
        u.admitted = get_int(&in);
        u.demand = get_real(&in);
        g_array_append_val(usage, u);
    }
    if (!f->bad && !in.bad && conn->name[0] && has_quotas(conn->n)) {
        enter_usage(conn, usage, number, leaves);
    }
    g_array_unref(usage);
    return !f->bad && !in.bad;
}

/* Tells all members what has changed much. */
static void
push_words(Relay *n, int64_t now)
{
    guint i;

    for (i = 0; i < n->links->conns->len; i++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, i);
        if (conn->connected && conn->usage_at &&
            now - conn->usage_at < SP_QUOTA_ALONE_US) {
            send_words(conn, 0);
        }
    }
}

/*
 * Other ledgers.
 */

static void
send_sums(LinkConn *conn, const GArray *sums, const GArray *members,
          SumsKind kind)
{
    FrameOut f;
    guint i;

    begin_link_frame(&f, conn, FRAME_SUMS, 4);
    put_uint(&f, conn->n->incarnation);
    put_uint(&f, kind);
    put_array(&f, (size_t)sums->len * SUM_FIELDS);
    for (i = 0; i < sums->len; i++) {
        const SpQuotaSum *s = &g_array_index(sums, SpQuotaSum, i);
        put_uint(&f, s->key);
        put_real(&f, s->admitted);
        put_real(&f, s->demand);
        put_real(&f, s->offered);
        put_uint(&f, (uint64_t)(s->held * SHARE_SCALE));
        put_real(&f, s->level);
    }
    put_array(&f, members->len);
    for (i = 0; i < members->len; i++) {
        put_uint(&f, g_array_index(members, uint64_t, i));
    }
    end_frame(&f);
}

/* Sends what has changed since the last time on this link. */
static void
send_full(LinkConn *conn, int64_t now, const GArray *members)
{
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));

    SpLedger_Sums(conn->n->quotas->ledger, conn->sums_at, 1, sums);
    send_sums(conn, sums, members, SUMS_FULL);
    conn->sums_at = now;
    g_array_unref(sums);
}

/* Sums near the limits go to the ledgers in use at each step, all sums to all
   contacts less often. In between these hear that the ledger is alive. */
static void
exchange_sums(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;
    int alive = now - q->alive_at >= SP_LEDGER_SUMS_US;
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
    GArray *none = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
    GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter it;
    gpointer v;

    SpLedger_Sums(q->ledger, q->sums_at, 0, sums);
    SpLedger_MemberKeys(q->ledger, members);
    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Peer *p = v;
        LinkConn *conn = p->conn;
        int in_use = p->contact == 1 || now - p->sums_at < IN_USE_US;
        if (!p->contact || !conn || !conn->name[0]) {
            continue;
        }
        if (now - conn->sums_at >= (in_use ? FULL_US : STANDBY_US)) {
            send_full(conn, now, conn->same_zone ? members : none);
        }
        else if (alive || (in_use && sums->len)) {
            send_sums(conn, in_use ? sums : none, none, SUMS_SOME);
        }
    }
    g_array_unref(sums);
    g_array_unref(none);
    g_array_unref(members);
    q->sums_at = now;
    q->alive_at = alive ? now : q->alive_at;
}

/* The members have turned to another ledger. */
static void
send_last(Relay *n)
{
    GArray *none = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, n->links->peers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Peer *p = v;
        if (p->contact && p->conn && p->conn->name[0]) {
            send_sums(p->conn, none, none, SUMS_LAST);
        }
    }
    g_array_unref(none);
}

static int
read_sums(FrameIn *f, GArray *sums)
{
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    FrameIn in = {.args = list, .n = count};

    for (i = 0; i < count / SUM_FIELDS; i++) {
        SpQuotaSum s = {.key = get_uint(&in)};
        s.admitted = get_real(&in);
        s.demand = get_real(&in);
        s.offered = get_real(&in);
        s.held = (double)get_uint(&in) / SHARE_SCALE;
        s.level = get_real(&in);
        g_array_append_val(sums, s);
    }
    return !f->bad && !in.bad;
}

static int
read_keys(FrameIn *f, GArray *keys)
{
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    FrameIn in = {.args = list, .n = count};

    for (i = 0; i < count; i++) {
        uint64_t key = get_uint(&in);
        g_array_append_val(keys, key);
    }
    return !f->bad && !in.bad;
}

int
handle_sums(LinkConn *conn, FrameIn *f)
{
    Relay *n = conn->n;
    SpLedgerPeer from = {.name = conn->name};
    const SpNodeInfo *m = SpDirectory_Get(n->directory, conn->name);
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
    GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    int64_t now = SpHttp_Now();
    Peer *p = find_peer_of(n, conn->name);
    uint64_t kind;
    int ok;

    from.epoch = get_uint(f);
    kind = get_uint(f);
    from.full = kind == SUMS_FULL;
    ok = read_sums(f, sums) && read_keys(f, members);
    from.members = (const uint64_t *)(const void *)members->data;
    from.nmembers = members->len;
    if (p) {
        p->sums_at = now;
    }
    if (ok && m && has_quotas(n)) {
        from.zone = m->zone;
        SpLedger_AddSums(use_ledger(n, now), now, &from,
                         (const SpQuotaSum *)(const void *)sums->data,
                         sums->len);
        if (kind == SUMS_LAST) {
            SpLedger_RemovePeer(n->quotas->ledger, conn->name);
        }
    }
    g_array_unref(sums);
    g_array_unref(members);
    return ok;
}

/*
 * Steps.
 */

static void
set_zones(Relay *n, int64_t now)
{
    GHashTable *zones;
    GHashTableIter it;
    gpointer name, count;
    GArray *list;

    if (now - n->quotas->zones_at < ZONES_US) {
        return;
    }
    n->quotas->zones_at = now;
    zones = count_zones(n);
    list = g_array_new(FALSE, FALSE, sizeof(SpLedgerZone));
    g_hash_table_iter_init(&it, zones);
    while (g_hash_table_iter_next(&it, &name, &count)) {
        SpLedgerZone z = {name, GPOINTER_TO_UINT(count)};
        g_array_append_val(list, z);
    }
    SpLedger_SetZones(n->quotas->ledger,
                      (const SpLedgerZone *)(const void *)list->data,
                      list->len);
    g_array_unref(list);
    g_hash_table_destroy(zones);
}

static void
log_limit(Quotas *q, const SpLedgerLimit *limit, int64_t now)
{
    LoggedLimit *l = g_hash_table_lookup(q->limits, &limit->key);
    char name[SP_LOGGED_NAME];

    if (!l) {
        l = g_new0(LoggedLimit, 1);
        l->key = limit->key;
        l->workspace = SpName_New(limit->workspace);
        g_hash_table_insert(q->limits, &l->key, l);
    }
    l->seen_at = now;
    if (l->at && (now - l->at < LOG_US ||
                  fabs(log(limit->admit / l->admit)) < log(LOG_RATIO))) {
        return;
    }
    l->at = now;
    l->admit = limit->admit;
    SpLog(SP_LOG_INFO, "quota-limit",
          "workspace=%s fraction=%.3f offered=%.1f rate=%.1f level=%.1f "
          "held=%.3f",
          SpLog_Quote(name, sizeof name, limit->workspace), limit->admit,
          limit->offered, limit->rate, limit->level, limit->held);
}

/* Logs the workspaces whose fractions begin, change or end. */
static void
log_limits(Relay *n, int64_t now)
{
    GArray *limits = g_array_new(FALSE, FALSE, sizeof(SpLedgerLimit));
    GHashTableIter it;
    gpointer v;
    guint i;

    SpLedger_Limits(n->quotas->ledger, limits);
    for (i = 0; i < limits->len; i++) {
        log_limit(n->quotas, &g_array_index(limits, SpLedgerLimit, i), now);
    }
    g_array_unref(limits);
    g_hash_table_iter_init(&it, n->quotas->limits);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const LoggedLimit *l = v;
        char name[SP_LOGGED_NAME];
        if (now - l->seen_at > LOG_US) {
            SpLog(SP_LOG_INFO, "quota-limit-end", "workspace=%s",
                  SpLog_Quote(name, sizeof name, l->workspace));
            g_hash_table_iter_remove(&it);
        }
    }
}

void
step_ledger(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;

    if (!q->ledger && !is_contact(n, 1)) {
        return;
    }
    use_ledger(n, now);
    set_zones(n, now);
    SpLedger_Update(q->ledger, now);
    if (SpLedger_Members(q->ledger) == 0) {
        if (q->is_used) {
            send_last(n);
        }
        q->is_used = 0;
        return;
    }
    q->is_used = 1;
    exchange_sums(n, now);
    if (SpLedger_TakeUrgent(q->ledger)) {
        push_words(n, now);
    }
    log_limits(n, now);
}
