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

static void
free_departure(void *p)
{
    Departure *d = p;

    g_free(d->id);
    g_free(d);
}

GHashTable *
new_departures(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 free_departure);
}

static void
send_departure(LinkConn *conn, const char *node, const Departure *d)
{
    FrameOut f;

    begin_link_frame(&f, conn, FRAME_DEPARTURE, 5);
    put_str(&f, node);
    put_str(&f, d->id);
    put_int(&f, d->start_ms);
    put_int(&f, SpHttp_Now() - d->since);
    put_uint(&f, (uint64_t)d->is_over);
    end_frame(&f);
}

void
announce_departure(Relay *n)
{
    guint at;

    for (at = 0; at < n->links->conns->len; at++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, at);
        if (conn->connected) {
            send_departure(conn, n->settings.name, &n->departure);
        }
    }
    flush_links(n);
}

void
tell_departure(LinkConn *conn)
{
    const Departure *d =
        g_hash_table_lookup(conn->n->links->departures, conn->name);

    if (d) {
        send_departure(conn, conn->name, d);
    }
}

static gboolean
has_expired(gpointer node, gpointer p, gpointer now)
{
    (void)node;
    return *(const int64_t *)now - ((const Departure *)p)->since > KEEP_US;
}

static void
keep_departure(Relay *n, const char *node, const Departure *d)
{
    GHashTable *departures = n->links->departures;
    Departure *copy = g_memdup2(d, sizeof *d);
    int64_t now = SpHttp_Now();

    copy->id = g_strdup(d->id);
    g_hash_table_foreach_remove(departures, has_expired, &now);
    g_hash_table_replace(departures, g_strdup(node), copy);
}

int
handle_departure(LinkConn *conn, FrameIn *f)
{
    Relay *n = conn->n;
    const char *node = get_text(f);
    Departure d = {.id = (char *)get_text(f)};

    d.start_ms = get_int(f);
    d.since = SpHttp_Now() - get_int(f);
    d.is_over = get_uint(f) != 0;
    if (f->bad) {
        return 0;
    }
    if (strcmp(node, n->settings.name) == 0) {
        learn_departure(n, &d);
    }
    else {
        keep_departure(n, node, &d);
    }
    return 1;
}
