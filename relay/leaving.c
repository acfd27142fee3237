/*
 * Instances that leave, as other nodes remember them.
 *
 * An acknowledged report of leaving binds the processes of the node that come
 * later too. So a node tells the others before it acknowledges one, and each
 * of them tells a node that says hello what it knows of it.
 */
#include <string.h>

#include "relay/link.h"

/* An instance has ended by this time after its report. */
#define KEEP_US (600 * SP_SEC)

/* The last report of leaving of a node's instance. */
typedef struct Leaving {
    char *id;
    int64_t start_ms;
    int64_t since;
} Leaving;

static void
free_leaving(void *p)
{
    Leaving *l = p;

    g_free(l->id);
    g_free(l);
}

GHashTable *
new_leavings(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 free_leaving);
}

static void
send_leaving(LinkConn *conn, const char *node, const Leaving *l)
{
    FrameOut f;

    begin_link_frame(&f, conn, FRAME_LEAVING, 4);
    put_str(&f, node);
    put_str(&f, l->id);
    put_int(&f, l->start_ms);
    put_int(&f, SpHttp_Now() - l->since);
    end_frame(&f);
}

void
announce_leaving(Relay *n)
{
    const Instance *i = &n->inst;
    Leaving own = {i->id, i->start_ms, i->leaving_since};
    guint at;

    for (at = 0; at < n->links->conns->len; at++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, at);
        if (conn->connected) {
            send_leaving(conn, n->settings.name, &own);
        }
    }
    flush_links(n);
}

void
tell_leaving(LinkConn *conn)
{
    const Leaving *l =
        g_hash_table_lookup(conn->n->links->leavings, conn->name);

    if (l) {
        send_leaving(conn, conn->name, l);
    }
}

static gboolean
has_expired(gpointer node, gpointer p, gpointer now)
{
    (void)node;
    return *(const int64_t *)now - ((const Leaving *)p)->since > KEEP_US;
}

static void
keep_leaving(Relay *n, const char *node, const Leaving *l)
{
    GHashTable *leavings = n->links->leavings;
    Leaving *copy = g_memdup2(l, sizeof *l);
    int64_t now = SpHttp_Now();

    copy->id = g_strdup(l->id);
    g_hash_table_foreach_remove(leavings, has_expired, &now);
    g_hash_table_replace(leavings, g_strdup(node), copy);
}

int
handle_leaving(LinkConn *conn, FrameIn *f)
{
    Relay *n = conn->n;
    const char *node = get_text(f);
    Leaving l = {.id = (char *)get_text(f)};

    l.start_ms = get_int(f);
    l.since = SpHttp_Now() - get_int(f);
    if (f->bad) {
        return 0;
    }
    if (strcmp(node, n->settings.name) == 0) {
        learn_leaving(n, l.id, l.start_ms, l.since);
    }
    else {
        keep_leaving(n, node, &l);
    }
    return 1;
}
