/*
 * Where a request would go now, and why, without sending it: for operators, on
 * the metrics address.
 *
 *   GET /where?host=HOST&path=PATH[&workspace=NAME]
 *
 * The answer has a line of key=value pairs for the route, for each service of
 * its split, and for each instance of these services that is linked. It tells
 * what this node knows; a node of another zone may decide otherwise.
 */
#include <string.h>

#include "relay/relay.h"

/* The texts are owned. */
typedef struct Question {
    char *host;
    char *path;
    char *workspace; /* NULL: none */
} Question;

static int
starts_with(const char *s, const char *name)
{
    return strncmp(s, name, strlen(name)) == 0;
}

/* Decodes the value of an argument of the query; returns NULL if it is missing
   or cannot be decoded. */
static char *
read_arg(const char *target, const char *name)
{
    const char *at = strchr(target, '?'), *end;

    while (at && !starts_with(at + 1, name)) {
        at = strchr(at + 1, '&');
    }
    if (!at) {
        return NULL;
    }
    at += 1 + strlen(name);
    end = at + strcspn(at, "&");
    return g_uri_unescape_segment(at, end, NULL);
}

static int
read_question(const char *target, Question *q)
{
    q->host = read_arg(target, "host=");
    q->path = read_arg(target, "path=");
    q->workspace = read_arg(target, "workspace=");
    return q->host && q->path &&
           (q->workspace || !strstr(target, "workspace="));
}

static void
clear_question(Question *q)
{
    g_free(q->host);
    g_free(q->path);
    g_free(q->workspace);
}

static void
put_route(GString *s, const Relay *n, const SpPathRoute *r, int rank)
{
    SpShares shares = SpPaths_Shares(n->paths, SpHttp_Now(), r->name);

    g_string_append_printf(
        s,
        "route=%s config=%" PRIu64 " idempotent=%d public=%d rank=%d "
        "attempts=%d timeout_ms=%" PRId64 " admitted_share=%.3f\n",
        r->name, n->routes->version, r->idempotent, r->is_public, rank,
        r->attempts, r->timeout_us / SP_MS, shares.of[SpRank_Index(rank)]);
}

static const char *
accept_name(SpAcceptState accepts)
{
    static const char *const names[] = {"nothing", "last-resort", "all"};

    return names[accepts];
}

static void
put_instance(GString *s, const SpUpstreamView *v, int64_t now)
{
    const SpUpstream *u = v->upstream;

    g_string_append_printf(
        s,
        "instance=%s same_zone=%d accepts=%s cost_ms=%.1f used=%.2f "
        "limit=%.0f busy=%d in_flight=%d run_ms=%.1f fails=%d "
        "avoided_ms=%" PRId64 " selectable=%d\n",
        u->name, u->same_zone, accept_name(u->accepts), v->cost_us / SP_MS,
        v->used, u->limit, u->busy, u->in_flight, u->run_us / SP_MS, u->fails,
        v->avoided ? (u->avoid_until - now) / SP_MS : 0, v->selectable);
}

static void
put_service(GString *s, Relay *n, const SpPathRoute *r,
            const SpSplitTarget *part)
{
    const Service *v = service_of(n, part->service);
    int64_t now = SpHttp_Now();
    double bytes = SpPaths_Size(n->paths, r->name);
    SpBalancerOpts o = {.now = now,
                        .cross_zone_us =
                            SpBalancer_CrossZoneCost(bytes, r->aim_us)};
    SpUpstreamView *views = g_new0(SpUpstreamView, v->upstreams->len + 1);
    guint i;

    g_string_append_printf(
        s, "service=%s weight=%g cross_zone_ms=%.1f accepted=%.2f\n",
        part->service, part->weight, (double)o.cross_zone_us / SP_MS,
        v->retries.accepted);
    update_self(n, now);
    SpBalancer_Explain((SpUpstream *const *)v->upstreams->pdata,
                       v->upstreams->len, &o, views);
    for (i = 0; i < v->upstreams->len; i++) {
        put_instance(s, &views[i], now);
    }
    g_free(views);
}

/* Returns 0 and writes the reason if no route or no such workspace is there.
 */
static int
find(const Relay *n, const Question *q, const SpPathRoute **r, int *rank,
     GString *s)
{
    const SpWorkspaces *ws = n->routes ? n->routes->workspaces : NULL;
    const SpWorkspace *w = NULL;

    *r = n->routes ? SpRoutes_Find(n->routes, q->host, q->path) : NULL;
    if (!*r) {
        g_string_append(s, n->routes ? "no route matches\n"
                                     : "no configuration yet\n");
        return 0;
    }
    if (q->workspace && q->workspace[0]) {
        w = ws ? SpWorkspaces_Find(ws, q->workspace) : NULL;
        if (!w) {
            g_string_append(s, "no workspace has this name\n");
            return 0;
        }
    }
    *rank = SpRankMap_Rank(&n->routes->ranks, w, (*r)->rank);
    return 1;
}

int
is_where_request(const SpMsg *m)
{
    return starts_with(m->target, "/where?");
}

void
answer_where(Relay *n, SpHttpReq *req)
{
    GString *s = g_string_sized_new(4096);
    const SpPathRoute *r;
    int status = 200, i, rank;
    Question q;

    if (!read_question(SpHttpReq_Msg(req)->target, &q)) {
        status = 400;
        g_string_append(s, "host and path are needed\n");
    }
    else if (!find(n, &q, &r, &rank, s)) {
        status = 404;
    }
    else {
        put_route(s, n, r, rank);
        for (i = 0; i < r->nparts; i++) {
            put_service(s, n, r, &r->parts[i]);
        }
    }
    SpHttpReq_Respond(req, status, "Content-Type: text/plain\r\n", s->str,
                      s->len);
    clear_question(&q);
    g_string_free(s, TRUE);
}
