/* Nodes with quotas and ledgers under a virtual clock. */
#include <math.h>
#include <string.h>

#include "test/quotasim_priv.h"

static SpWorkspaces *
make_conf(const Sim *s)
{
    SpWorkspaces *ws = SpWorkspaces_New();
    char name[32];
    guint i;

    for (i = 0; i < s->o.workspaces; i++) {
        SpWorkspace w = {.name = name, .rank = SP_RANK_OF_ROUTE};
        g_snprintf(name, sizeof name, "w%u", i);
        w.rate = w.burst = s->rate[i];
        SpWorkspaces_Add(ws, &w);
    }
    return ws;
}

static void
configure(Sim *s, Node *n)
{
    SpQuota_Configure(n->quota, s->conf);
    SpLedger_Configure(n->ledger, s->conf);
    n->conf = s->conf;
}

/* All sums are sent again on a new link. */
static void
renew_links(Sim *s, const Node *n)
{
    guint i, self = (guint)(n - s->nodes);

    for (i = 0; self < CONTACTS * s->o.zones && i < s->o.nodes; i++) {
        s->nodes[i].full_at[self] = 0;
    }
}

static void
start_node(Sim *s, Node *n)
{
    SpLedgerZone zones[SP_LEDGER_ZONES];
    char names[SP_LEDGER_ZONES][16];
    guint z;

    n->quota = SpQuota_New(SpRand(&s->rand));
    n->ledger = SpLedger_New(n->zone_name, s->now);
    n->epoch = SpRand(&s->rand);
    n->started = s->now;
    n->sums_at = 0;
    memset(n->full_at, 0, sizeof n->full_at);
    renew_links(s, n);
    n->coordinator = -1;
    SpQuota_SetNodes(n->quota, s->o.nodes);
    for (z = 0; z < s->o.zones; z++) {
        g_snprintf(names[z], sizeof names[z], "z%u", z);
        zones[z].name = names[z];
        zones[z].nodes = (s->o.nodes + s->o.zones - 1 - z) / s->o.zones;
    }
    SpLedger_SetZones(n->ledger, zones, s->o.zones);
    configure(s, n);
}

static void
stop_node(Node *n)
{
    SpQuota_Free(n->quota);
    SpLedger_Free(n->ledger);
}

static void
free_conf(void *ws)
{
    SpWorkspaces_Free(ws);
}

Sim *
Sim_New(const SimOpts *o)
{
    Sim *s = g_new0(Sim, 1);
    double sum = 0;
    guint i;

    g_assert(o->zones > 0 && o->nodes > 0);
    s->o = *o;
    s->rand = o->seed;
    s->now = 1000 * SP_SEC;
    s->nodes = g_new0(Node, o->nodes);
    s->bins = g_malloc0(sizeof(double[BINS]) * o->workspaces);
    for (i = 0; i < o->workspaces; i++) {
        sum += pow(i + 1, -o->skew);
    }
    for (i = 0; i < o->workspaces; i++) {
        s->usual[i] = o->per_s * pow(i + 1, -o->skew) / sum;
        s->rate[i] = MAX(s->usual[i] * o->headroom, 1);
        s->use[i] = 1;
        s->bucket[i] = s->rate[i];
    }
    for (i = 0; i < o->zones; i++) {
        s->zone_part[i] = 1.0 / o->zones;
    }
    s->conf = make_conf(s);
    s->confs = g_ptr_array_new_with_free_func(free_conf);
    g_ptr_array_add(s->confs, s->conf);
    for (i = 0; i < o->nodes; i++) {
        Node *n = &s->nodes[i];
        n->zone = i % o->zones;
        g_snprintf(n->name, sizeof n->name, "n%05u", i);
        g_snprintf(n->zone_name, sizeof n->zone_name, "z%u", n->zone);
        start_node(s, n);
    }
    Sim_Clear(s);
    return s;
}

static void
free_msg(Msg *m)
{
    g_array_unref(m->items);
    if (m->members) {
        g_array_unref(m->members);
    }
    g_free(m);
}

void
Sim_Free(Sim *s)
{
    Msg *m;
    guint i;

    while ((m = g_queue_pop_head(&s->msgs)) != NULL) {
        free_msg(m);
    }
    for (i = 0; i < s->o.nodes; i++) {
        stop_node(&s->nodes[i]);
    }
    g_ptr_array_unref(s->confs);
    g_free(s->nodes);
    g_free(s->bins);
    g_free(s);
}

/*
 * Messages.
 */

static int
in_touch(const Sim *s, const Node *a, const Node *b)
{
    if (a == b) {
        return !a->dead;
    }
    return !a->dead && !b->dead && !a->cut && !b->cut &&
           (a->zone == b->zone || (!s->cut[a->zone] && !s->cut[b->zone]));
}

static Msg *
post(Sim *s, MsgType type, guint from, guint to, GArray *items)
{
    Msg *m = g_new0(Msg, 1);

    m->type = type;
    m->from = from;
    m->to = to;
    m->at = s->now + (from == to ? 0 : s->o.delay_us);
    m->epoch = s->nodes[from].epoch;
    m->items = items;
    g_queue_push_tail(&s->msgs, m);
    s->messages += from != to;
    if (from != to) {
        s->nodes[from].sent_bytes += FRAME_BYTES + ENTRY_BYTES * items->len;
    }
    return m;
}

static void
send_words(Sim *s, guint self, guint to, uint64_t number)
{
    GArray *words = g_array_new(FALSE, FALSE, sizeof(SpQuotaWord));

    SpLedger_Words(s->nodes[self].ledger, s->nodes[to].name, words);
    post(s, MSG_WORDS, self, to, words)->number = number;
}

static void
on_usage(Sim *s, const Msg *m)
{
    SpLedger_AddUsage(s->nodes[m->to].ledger, s->now, s->nodes[m->from].name,
                      (SpUsage *)(void *)m->items->data, m->items->len);
    send_words(s, m->to, m->from, m->number);
}

static void
deliver(Sim *s, const Msg *m)
{
    Node *to = &s->nodes[m->to], *from = &s->nodes[m->from];
    SpLedgerPeer p = {from->name, from->zone_name, m->epoch, m->full, NULL, 0};

    switch (m->type) {
    case MSG_USAGE:
        on_usage(s, m);
        break;
    case MSG_WORDS:
        if (to->coordinator == (int)m->from) {
            SpQuota_TakeWords(to->quota, s->now, m->number,
                              (SpQuotaWord *)(void *)m->items->data,
                              m->items->len);
        }
        break;
    case MSG_LAST:
        SpLedger_RemovePeer(to->ledger, from->name);
        break;
    case MSG_LEAVE:
        SpLedger_RemoveMember(to->ledger, from->name);
        break;
    case MSG_SUMS:
        p.members = (uint64_t *)(void *)m->members->data;
        p.nmembers = m->members->len;
        SpLedger_AddSums(to->ledger, s->now, &p,
                         (SpQuotaSum *)(void *)m->items->data, m->items->len);
        break;
    }
}

static void
deliver_due(Sim *s)
{
    GList *k, *next;

    for (k = s->msgs.head; k; k = next) {
        Msg *m = k->data;
        next = k->next;
        if (m->at > s->now) {
            continue;
        }
        if (s->nodes[m->to].frozen &&
            in_touch(s, &s->nodes[m->from], &s->nodes[m->to])) {
            continue; /* it waits in the socket */
        }
        g_queue_unlink(&s->msgs, k);
        if (in_touch(s, &s->nodes[m->from], &s->nodes[m->to]) &&
            s->nodes[m->from].epoch == m->epoch) {
            deliver(s, m);
        }
        free_msg(m);
        g_list_free_1(k);
        next = s->msgs.head == NULL ? NULL : next;
    }
}

/*
 * Nodes.
 */

/* The first node of the zone that has been up for a while and answers; a node
   among the first ones may be its own. */
static int
pick_coordinator(const Sim *s, guint self)
{
    const Node *n = &s->nodes[self];
    guint i, rank = 0;

    if (s->scattered) {
        return (int)(n->zone + s->o.zones * (self / s->o.zones % CONTACTS));
    }
    for (i = 0; i < s->o.nodes; i++) {
        const Node *c = &s->nodes[i];
        if (c->zone != n->zone) {
            continue;
        }
        if (rank++ >= CONTACTS) {
            break;
        }
        if (in_touch(s, n, c) && (!c->frozen || i == self) &&
            (n->coordinator < 0 || n->coordinator == (int)i ||
             s->now - c->started > SETTLE_US)) {
            return (int)i;
        }
    }
    return -1;
}

/* A coordinator that can be reached is told, and holds nothing for the node.
 */
static void
leave_coordinator(Sim *s, guint self)
{
    Node *n = &s->nodes[self];
    int lost = n->coordinator < 0 ||
               !in_touch(s, n, &s->nodes[n->coordinator]) ||
               s->nodes[n->coordinator].frozen;

    SpQuota_ChangeCoordinator(n->quota, lost);
    if (!lost) {
        post(s, MSG_LEAVE, self, (guint)n->coordinator,
             g_array_new(FALSE, FALSE, sizeof(SpUsage)));
    }
}

static void
report(Sim *s, guint self)
{
    Node *n = &s->nodes[self];
    GArray *usage = g_array_new(FALSE, FALSE, sizeof(SpUsage));
    int c = pick_coordinator(s, self);
    uint64_t number;

    if (c != n->coordinator) {
        leave_coordinator(s, self);
        n->coordinator = c;
    }
    number = c >= 0 ? SpQuota_TakeUsage(n->quota, s->now, usage) : 0;
    if (!number) {
        g_array_unref(usage);
        return;
    }
    post(s, MSG_USAGE, self, (guint)c, usage)->number = number;
}

static void
send_sums(Sim *s, guint self, guint to, const GArray *sums, int full)
{
    Msg *m = post(s, MSG_SUMS, self, to, g_array_copy((GArray *)sums));

    m->full = full;
    m->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    SpLedger_MemberKeys(s->nodes[self].ledger, m->members);
}

static void
send_last(Sim *s, guint self, guint to)
{
    if (s->nodes[self].is_used) {
        post(s, MSG_LAST, self, to,
             g_array_new(FALSE, FALSE, sizeof(SpQuotaSum)));
    }
}

/* As relay/sums.c does. */
static void
exchange(Sim *s, guint self)
{
    Node *n = &s->nodes[self];
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
    GArray *none = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
    int alive = s->now - n->alive_at >= SP_LEDGER_SUMS_US;
    guint i;

    SpLedger_Sums(n->ledger, n->sums_at, 0, sums);
    for (i = 0; i < CONTACTS * s->o.zones; i++) {
        int in_use =
            i / s->o.zones == 0 || SpLedger_Members(s->nodes[i].ledger) > 0;
        if (i == self || s->nodes[i].dead) {
            continue;
        }
        if (!SpLedger_Members(n->ledger)) {
            send_last(s, self, i);
            continue;
        }
        if (s->now - n->full_at[i] >= (in_use ? FULL_US : STANDBY_US)) {
            GArray *all = g_array_new(FALSE, FALSE, sizeof(SpQuotaSum));
            SpLedger_Sums(n->ledger, n->full_at[i], 1, all);
            send_sums(s, self, i, all, 1);
            g_array_unref(all);
            n->full_at[i] = s->now;
        }
        else if (alive || (in_use && sums->len)) {
            send_sums(s, self, i, in_use ? sums : none, 0);
        }
    }
    g_array_unref(sums);
    g_array_unref(none);
    n->is_used = SpLedger_Members(n->ledger) > 0;
    n->sums_at = s->now;
    n->alive_at = alive ? s->now : n->alive_at;
}

/* Tells the members at once what has changed much. */
static void
push_words(Sim *s, guint self)
{
    guint i;

    if (!SpLedger_TakeUrgent(s->nodes[self].ledger)) {
        return;
    }
    for (i = 0; i < s->o.nodes; i++) {
        if (s->nodes[i].coordinator == (int)self) {
            send_words(s, self, i, 0);
        }
    }
}

static void
step_node(Sim *s, guint i)
{
    Node *n = &s->nodes[i];

    if (n->dead || n->frozen) {
        return;
    }
    if (n->conf != s->conf && !n->cut && !s->cut[n->zone]) {
        configure(s, n);
    }
    if (s->now - n->stepped_at >= SP_LEDGER_STEP_US) {
        n->stepped_at = s->now;
        SpLedger_Update(n->ledger, s->now);
        exchange(s, i);
        push_words(s, i);
    }
    report(s, i);
}

void
step_sim(Sim *s)
{
    guint i;

    deliver_due(s);
    for (i = 0; i < s->o.nodes; i++) {
        step_node(s, i);
    }
}

/*
 * Changes.
 */

void
Sim_SetUse(Sim *s, guint w, double times)
{
    s->use[w] = times;
}

void
Sim_SetQuota(Sim *s, guint w, double times)
{
    s->rate[w] *= times;
    s->conf = make_conf(s); /* nodes may still use the old one */
    g_ptr_array_add(s->confs, s->conf);
}

void
Sim_Shift(Sim *s, guint from, guint to, double part)
{
    s->zone_part[to] += s->zone_part[from] * part;
    s->zone_part[from] *= 1 - part;
}

void
Sim_SetCallers(Sim *s, guint w, guint nodes)
{
    s->callers[w] = nodes;
}

void
Sim_CutZone(Sim *s, guint zone, int cut)
{
    guint i;

    s->cut[zone] = cut;
    for (i = 0; i < s->o.nodes; i++) {
        renew_links(s, &s->nodes[i]);
    }
}

void
Sim_CutNode(Sim *s, guint node, int cut)
{
    s->nodes[node].cut = cut;
    renew_links(s, &s->nodes[node]);
}

void
Sim_Freeze(Sim *s, guint node, int frozen)
{
    s->nodes[node].frozen = frozen;
    s->nodes[node].started = s->now; /* its links are opened again */
}

void
Sim_Scatter(Sim *s, int scattered)
{
    s->scattered = scattered;
}

void
Sim_Kill(Sim *s, guint node)
{
    s->nodes[node].dead = 1;
}

void
Sim_Restart(Sim *s, guint node)
{
    Node *n = &s->nodes[node];

    stop_node(n);
    n->dead = n->frozen = 0;
    start_node(s, n);
}

double
Sim_Rate(const Sim *s, guint w)
{
    return s->rate[w];
}

uint64_t
Sim_Messages(const Sim *s)
{
    return s->messages;
}

uint64_t
Sim_Bytes(const Sim *s)
{
    uint64_t sum = 0;
    guint i;

    for (i = 0; i < s->o.nodes; i++) {
        sum += s->nodes[i].sent_bytes;
    }
    return sum;
}

uint64_t
Sim_MostBytes(const Sim *s)
{
    uint64_t most = 0;
    guint i;

    for (i = 0; i < s->o.nodes; i++) {
        most = MAX(most, s->nodes[i].sent_bytes);
    }
    return most;
}
