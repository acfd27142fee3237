/* Gossip and log of the simulation. */
#include <string.h>

#include "test/world_priv.h"

/*
 * Gossip between nodes.
 */

static void
fire_gossip(World *w, Event *e)
{
    SpCore_PeerMessage(w->nodes[e->node].core, w->now, e->p, e->n);
}

static void
schedule_gossip(World *w, int from, int to, const void *p, size_t n)
{
    Event *e;

    if (!w->nodes[to].core || is_partitioned(w, from, to) ||
        chance(w, w->f.gossip_loss)) {
        return;
    }
    e = schedule(w, latency(w), fire_gossip, to);
    e->p = g_memdup2(p, n);
    e->n = n;
}

void
on_peer(void *ctx, const char *addr, const void *p, size_t n)
{
    Node *me = ctx;
    World *w = me->w;
    int i;

    for (i = 0; i < w->n; i++) {
        if (strcmp(w->nodes[i].peer, addr) == 0) {
            schedule_gossip(w, me->index, i, p, n);
            if (chance(w, w->f.gossip_duplication)) {
                schedule_gossip(w, me->index, i, p, n);
            }
        }
    }
}

/*
 * Log.
 */

static Stream *
get_stream(World *w, const char *name)
{
    Stream *s = g_hash_table_lookup(w->streams, name);

    if (!s) {
        s = g_new0(Stream, 1);
        s->records = g_array_new(FALSE, TRUE, sizeof(Record));
        g_hash_table_insert(w->streams, g_strdup(name), s);
    }
    return s;
}

void
World_SetLogState(World *w, const char *state)
{
    w->log_down = strcmp(state, "down") == 0;
    w->log_drops_replies = strcmp(state, "lose") == 0;
}

void
World_SetLogBlocked(World *w, int i, int on)
{
    w->nodes[i].log_blocked = on;
}

static int
is_log_down(const World *w, int i)
{
    return w->log_down || w->nodes[i].log_blocked;
}

void
trim(Stream *s, guint keep)
{
    while (s->records->len > keep) {
        g_free(g_array_index(s->records, Record, 0).p);
        g_array_remove_index(s->records, 0);
        s->oldest++;
    }
}

void
World_TrimLog(World *w, int keep)
{
    GHashTableIter it;
    gpointer k, v;

    g_hash_table_iter_init(&it, w->streams);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        trim(v, (guint)keep);
    }
}

static void
fire_append_done(World *w, Event *e)
{
    SpCore_AppendDone(w->nodes[e->node].core, w->now, e->tag, e->ok);
}

void
on_append(void *ctx, const char *stream, uint64_t tag, const char *p, size_t n)
{
    Node *me = ctx;
    World *w = me->w;
    Record r = {g_memdup2(p, n), n};
    Event *e;

    if (is_log_down(w, me->index)) {
        g_free(r.p);
    }
    else {
        g_array_append_val(get_stream(w, stream)->records, r);
    }
    e = schedule(w, 2 * latency(w), fire_append_done, me->index);
    e->tag = tag;
    e->ok = !is_log_down(w, me->index) && !w->log_drops_replies;
}

static void
fire_read(World *w, Event *e)
{
    SpCore *c = w->nodes[e->node].core;
    Stream *s = get_stream(w, e->stream);
    SpRecord r[64];
    size_t n = 0;
    guint i;

    if (is_log_down(w, e->node)) {
        SpCore_ReadDone(c, w->now, e->stream, 0, 0, 0, NULL, 0);
        return;
    }
    for (i = 0; i < s->records->len && n < 64; i++) {
        const Record *rec = &g_array_index(s->records, Record, i);
        if (s->oldest + i >= e->offset) {
            r[n++] = (SpRecord){s->oldest + i, rec->p, rec->n};
        }
    }
    SpCore_ReadDone(c, w->now, e->stream, 1, s->oldest,
                    s->oldest + s->records->len, r, n);
}

void
on_read(void *ctx, const char *stream, int64_t from)
{
    Node *me = ctx;
    Event *e = schedule(me->w, 2 * latency(me->w), fire_read, me->index);

    g_strlcpy(e->stream, stream, sizeof e->stream);
    e->offset = from;
}
