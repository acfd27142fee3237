/* Quotas of workspaces: admission, and reports to the coordinator. */
#include <string.h>

#include "relay/quotas.h"

/* A node is chosen before the present coordinator if it has been linked for
   this long: its ledger has the sums of the others by then. */
#define SETTLE_US (3 * SP_SEC)
/* A coordinator whose link is lost is kept for this long: links that were
   reset are opened again within it, and a change of coordinator costs more. */
#define KEEP_US (700 * SP_MS)
/* A coordinator that does not answer is avoided for this long. */
#define AVOID_US (3 * SP_SEC)
/* Workspaces with metrics of their own. */
#define METRIC_WORKSPACES 16

void
open_quotas(Relay *n)
{
    n->quotas = g_new0(Quotas, 1);
    n->quotas->quota = SpQuota_New(SpRand(&n->rand));
    n->quotas->coordinator = SpName_New("");
    n->quotas->avoid = SpName_New("");
    n->quotas->limits = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              NULL, free_logged_limit);
}

void
configure_quotas(Relay *n)
{
    int had = has_quotas(n);

    SpQuota_Configure(n->quotas->quota, n->routes->workspaces);
    if (n->quotas->ledger) {
        SpLedger_Configure(n->quotas->ledger, n->routes->workspaces);
    }
    if (had != has_quotas(n)) {
        n->links->refresh = 1;
    }
}

int
has_quotas(const Relay *n)
{
    return SpQuota_HasLimits(n->quotas->quota);
}

int
admit_to_quota(Relay *n, const SpWorkspace *w, int64_t *retry_us)
{
    return SpQuota_Admit(n->quotas->quota, SpHttp_Now(), w, retry_us);
}

void
return_to_quota(Relay *n, const SpWorkspace *w)
{
    SpQuota_Return(n->quotas->quota, w);
}

/*
 * Choice of the coordinator.
 */

int
is_own_coordinator(const Relay *n)
{
    return strcmp(n->quotas->coordinator, n->settings.name) == 0;
}

/* A node that can't reach the contacts of its zone is not one itself, unless
   others report to it. */
static int
may_coordinate_itself(const Relay *n)
{
    const SpLedger *l = n->quotas->ledger;

    return is_contact(n, 0) ||
           (l && SpLedger_Members(l) > (guint)is_own_coordinator(n));
}

static int
is_avoided(const Quotas *q, const char *name, int64_t now)
{
    return now < q->avoid_until && strcmp(name, q->avoid) == 0;
}

static int
is_usable(const Relay *n, const char *name, int64_t now)
{
    const Quotas *q = n->quotas;
    const Peer *p;
    int64_t up_at;

    if (is_avoided(q, name, now)) {
        return 0;
    }
    if (strcmp(name, n->settings.name) == 0) {
        up_at = MAX(n->started, n->woke_at);
        p = NULL;
    }
    else {
        p = find_peer_of(n, name);
        if (!p || !p->conn || !p->conn->name[0] || is_suspect(p->conn, now)) {
            return 0;
        }
        up_at = p->conn->up_at;
    }
    if (q->coordinator[0] && strcmp(name, q->coordinator) != 0 &&
        now - up_at <= SETTLE_US) {
        return 0;
    }
    return p || may_coordinate_itself(n);
}

/* A coordinator that does not answer although its link is up may stand still,
   or know no quotas yet. */
static void
check_answers(Quotas *q, int64_t now)
{
    if (q->coordinator[0] && SpQuota_IsAlone(q->quota, now) &&
        now - q->coordinator_at > SP_QUOTA_ALONE_US) {
        SpName_Set(&q->avoid, q->coordinator);
        q->avoid_until = now + AVOID_US;
    }
}

static void
send_usage(LinkConn *conn, uint64_t number, int leaves, const GArray *usage)
{
    FrameOut f;
    guint i;

    begin_link_frame(&f, conn, FRAME_USAGE, 3);
    put_uint(&f, number);
    put_uint(&f, (uint64_t)leaves);
    put_array(&f, (size_t)usage->len * USAGE_FIELDS);
    for (i = 0; i < usage->len; i++) {
        const SpUsage *u = &g_array_index(usage, SpUsage, i);
        put_uint(&f, u->key);
        put_int(&f, u->offered);
        put_int(&f, u->admitted);
        put_real(&f, u->demand);
    }
    end_frame(&f);
}

/* A coordinator that can be reached is told that this node reports to another
   one, and holds nothing for it. */
static void
leave_coordinator(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(SpUsage));
    const Peer *p = find_peer_of(n, q->coordinator);
    int told = 1;

    if (is_own_coordinator(n)) {
        SpLedger_RemoveMember(use_ledger(n, now), n->settings.name);
    }
    else if (p && p->conn && p->conn->name[0] && !is_suspect(p->conn, now)) {
        send_usage(p->conn, 0, 1, none);
    }
    else {
        told = 0;
    }
    SpQuota_ChangeCoordinator(q->quota, !told);
    g_array_unref(none);
}

static void
choose_coordinator(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;
    const char *name = "";
    GPtrArray *list;
    guint i;

    check_answers(q, now);
    if (q->coordinator[0] && !is_avoided(q, q->coordinator, now) &&
        now - q->word_at < KEEP_US && !is_usable(n, q->coordinator, now)) {
        return;
    }
    list = list_zone(n, n->settings.zone);
    for (i = 0; i < list->len && !name[0]; i++) {
        const SpNodeInfo *m = g_ptr_array_index(list, i);
        name = is_usable(n, m->name, now) ? m->name : "";
    }
    g_ptr_array_unref(list);
    if (strcmp(name, q->coordinator) == 0) {
        return;
    }
    SpLog(SP_LOG_INFO, "quota-coordinator", "node=%.128s was=%.128s",
          name[0] ? name : "-", q->coordinator[0] ? q->coordinator : "-");
    leave_coordinator(n, now);
    SpName_Set(&q->coordinator, name);
    q->coordinator_at = now;
}

/*
 * Reports and words.
 */

static void
report_to_itself(Relay *n, int64_t now, uint64_t number, const GArray *usage)
{
    SpLedger *l = use_ledger(n, now);
    GArray *words = g_array_new(FALSE, FALSE, sizeof(SpQuotaWord));

    SpLedger_AddUsage(l, now, n->settings.name,
                      (const SpUsage *)(const void *)usage->data, usage->len);
    SpLedger_Words(l, n->settings.name, words);
    SpQuota_TakeWords(n->quotas->quota, now, number,
                      (const SpQuotaWord *)(const void *)words->data,
                      words->len);
    g_array_unref(words);
}

static void
report(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;
    GArray *usage;
    const Peer *p;
    uint64_t number;

    if (!q->coordinator[0]) {
        return;
    }
    p = is_own_coordinator(n) ? NULL : find_peer_of(n, q->coordinator);
    if (!is_own_coordinator(n) && (!p || !p->conn || !p->conn->connected)) {
        return;
    }
    usage = g_array_new(FALSE, FALSE, sizeof(SpUsage));
    number = SpQuota_TakeUsage(q->quota, now, usage);
    if (number && p) {
        send_usage(p->conn, number, !SpStop_AdmitsNew(&n->stop, now), usage);
    }
    else if (number) {
        report_to_itself(n, now, number, usage);
    }
    g_array_unref(usage);
}

int
handle_words(LinkConn *conn, FrameIn *f)
{
    Quotas *q = conn->n->quotas;
    uint64_t number = get_uint(f);
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    FrameIn in = {.args = list, .n = count};
    GArray *words = g_array_new(FALSE, FALSE, sizeof(SpQuotaWord));

    for (i = 0; i < count / WORD_FIELDS; i++) {
        SpQuotaWord w = {.key = get_uint(&in)};
        w.admit = (double)get_uint(&in) / SHARE_SCALE;
        w.share = (double)get_uint(&in) / SHARE_SCALE;
        w.wait_us = (int64_t)get_uint(&in) * SP_MS;
        g_array_append_val(words, w);
    }
    if (!f->bad && !in.bad && conn->peer &&
        strcmp(conn->peer->name, q->coordinator) == 0) {
        q->word_at = SpHttp_Now();
        SpQuota_TakeWords(q->quota, SpHttp_Now(), number,
                          (const SpQuotaWord *)(const void *)words->data,
                          words->len);
    }
    g_array_unref(words);
    return !f->bad && !in.bad;
}

void
tick_quotas(Relay *n, int64_t now)
{
    Quotas *q = n->quotas;

    if (!has_quotas(n)) {
        return;
    }
    if (now - q->step_at >= SP_LEDGER_STEP_US) {
        q->step_at = now;
        SpQuota_SetNodes(q->quota, SpDirectory_Count(n->directory));
        choose_coordinator(n, now);
        step_ledger(n, now);
    }
    report(n, now);
}

/*
 * Metrics.
 */

/* The largest quotas come first, so that all nodes name the same ones. */
static int
compare_uses(gconstpointer a, gconstpointer b)
{
    const SpQuotaUse *x = a, *y = b;

    if (x->rate != y->rate) {
        return x->rate < y->rate ? 1 : -1;
    }
    return strcmp(x->workspace, y->workspace);
}

/* Writes a name as the value of a label. */
static void
put_label(GString *s, const char *name)
{
    for (; *name; name++) {
        g_string_append_c(
            s, strchr("\"\\", *name) || (guchar)*name < ' ' ? '_' : *name);
    }
}

static void
print_use(GString *s, const SpQuotaUse *u)
{
    GString *label = g_string_new("workspace=\"");

    put_label(label, u->workspace);
    g_string_append_c(label, '"');
    g_string_append_printf(
        s,
        "sp_workspace_requests_total{%s,outcome=\"admitted\"} %" PRIu64 "\n"
        "sp_workspace_requests_total{%s,outcome=\"refused\"} %" PRIu64 "\n"
        "sp_workspace_requests_per_second{%s} %.3f\n",
        label->str, u->admitted, label->str, u->refused, label->str,
        u->demand);
    if (u->rate > 0) {
        g_string_append_printf(s, "sp_workspace_quota_fraction{%s} %.3f\n",
                               label->str, u->admit);
    }
    g_string_free(label, TRUE);
}

void
print_quotas(const Relay *n, GString *s)
{
    const Quotas *q = n->quotas;
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(SpQuotaUse));
    SpQuotaUse other = {.workspace = "other"};
    guint i;

    SpQuota_Use(q->quota, SpHttp_Now(), uses);
    g_array_sort(uses, compare_uses);
    for (i = 0; i < uses->len; i++) {
        const SpQuotaUse *u = &g_array_index(uses, SpQuotaUse, i);
        if (i < METRIC_WORKSPACES) {
            print_use(s, u);
            continue;
        }
        other.admitted += u->admitted;
        other.refused += u->refused;
        other.demand += u->demand;
    }
    if (uses->len > METRIC_WORKSPACES) {
        print_use(s, &other);
    }
    g_array_unref(uses);
    if (has_quotas(n)) {
        g_string_append_printf(s,
                               "sp_quota_coordinator %d\nsp_quota_alone %d\n"
                               "sp_quota_members %u\n",
                               is_own_coordinator(n),
                               SpQuota_IsAlone(q->quota, SpHttp_Now()),
                               q->ledger ? SpLedger_Members(q->ledger) : 0);
    }
}
