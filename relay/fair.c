/* Fair shares between workspaces: what arrives at the nodes of this zone, and
   the admission of a request by it. */
#include <string.h>

#include "relay/call.h"
#include "relay/link.h"

/* Interval of the reports. */
#define REPORT_US (1 * SP_SEC)
/* Most nodes that get a report. */
#define MAX_RECEIVERS 32

double
workspace_part(const Relay *n, const char *name)
{
    const SpWorkspace *w = NULL;

    if (*name && n->routes && n->routes->workspaces) {
        w = SpWorkspaces_Find(n->routes->workspaces, name);
    }
    return w ? SpFairShare_Part(n->fair, w->rate) : 1;
}

double
fair_share(const Call *c, const SpShares *path)
{
    SpFairRequest r = {.rank = c->rank, .workspace_rank = SP_RANK_OF_ROUTE};

    if (!c->routes->workspaces) {
        return path->of[SpRank_Index(c->rank)];
    }
    if (c->workspace) {
        r.workspace = c->workspace->name;
        r.workspace_rank = c->workspace->rank;
    }
    return SpFairShare_Admit(c->n->fair, c->arrived, &r, path);
}

/* Reads the quotas of a new configuration. */
static void
configure(Relay *n)
{
    const SpWorkspaces *ws = n->routes->workspaces;
    guint i, count = ws ? SpWorkspaces_Count(ws) : 0;
    SpFairQuota *list = g_new0(SpFairQuota, count + 1);

    n->fair_version = n->routes->version;
    for (i = 0; i < count; i++) {
        const SpWorkspace *w = SpWorkspaces_At(ws, i);
        list[i] = (SpFairQuota){w->name, w->rate};
    }
    SpFairShare_Configure(n->fair, list, count);
    g_free(list);
}

static guint
nodes_of_zone(const Relay *n)
{
    SpDirectoryIter it = {0};
    const SpNodeInfo *m;
    guint count = 1;

    while ((m = SpDirectory_Next(n->directory, &it)) != NULL) {
        count += !m->gone && strcmp(m->zone, n->settings.zone) == 0 &&
                 strcmp(m->name, n->settings.name) != 0;
    }
    return count;
}

static void
send_arrivals(LinkConn *conn, const SpFairReport *r)
{
    FrameOut f;
    int i;

    begin_link_frame(&f, conn, FRAME_ARRIVALS, 2);
    put_uint(&f, r->total);
    put_array(&f, 2 * (size_t)r->n);
    for (i = 0; i < r->n; i++) {
        put_uint(&f, r->keys[i]);
        put_uint(&f, r->counts[i]);
    }
    end_frame(&f);
}

/* The links that others opened, of which there is one for each node. */
static void
report_arrivals(Relay *n, int64_t now)
{
    const GPtrArray *conns = n->links->conns;
    guint i, sent = 0, at = (guint)(SpRand(&n->rand) % MAX(conns->len, 1));
    SpFairReport r;

    SpFairShare_TakeReport(n->fair, now, &r);
    for (i = 0; i < conns->len && sent < MAX_RECEIVERS; i++) {
        LinkConn *conn = g_ptr_array_index(conns, (at + i) % conns->len);
        if (conn->connected && !conn->peer && conn->same_zone) {
            send_arrivals(conn, &r);
            sent++;
        }
    }
}

int
handle_arrivals(LinkConn *conn, FrameIn *f)
{
    SpFairReport r = {.total = (uint32_t)get_uint(f)};
    uint32_t i, count;
    const msgpack_object *list = get_array(f, &count);
    FrameIn items = {.args = list, .n = count};

    if (f->bad) {
        return 0;
    }
    for (i = 0; i < count / 2 && i < SP_FAIR_REPORT; i++) {
        r.keys[i] = (uint32_t)get_uint(&items);
        r.counts[i] = (uint32_t)get_uint(&items);
    }
    r.n = (int)i;
    if (!items.bad) {
        SpFairShare_AddReport(conn->n->fair, SpHttp_Now(), &r);
    }
    return !items.bad;
}

void
tick_fair(Relay *n, int64_t now)
{
    if (!n->routes) {
        return;
    }
    if (n->routes->version != n->fair_version) {
        configure(n);
    }
    if (!n->routes->workspaces || now - n->fair_at < REPORT_US) {
        return;
    }
    n->fair_at = now;
    SpFairShare_SetNodes(n->fair, nodes_of_zone(n));
    report_arrivals(n, now);
}
