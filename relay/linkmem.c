/* Memory of the links: messages that have arrived in part, and messages that
   wait to be sent. */
#include "relay/link.h"

void
count_unsent(LinkConn *conn)
{
    SpBodyMemory *m = &conn->n->frame_memory;
    size_t n = conn->closing ? 0
                             : conn->out->len + uv_stream_get_write_queue_size(
                                                    (uv_stream_t *)&conn->tcp);

    if (n != conn->counted) {
        SpBodyMemory_Release(m, conn->counted);
        SpHeld_Add(m->all, m->kind, n);
        m->used += n;
        conn->counted = n;
    }
}

int
has_room_to_send(LinkConn *conn, size_t n)
{
    SpBodyMemory *m = &conn->n->frame_memory;

    count_unsent(conn);
    if (n <= SP_SMALL_BYTES) {
        return 1;
    }
    if (!SpBodyMemory_Take(m, n)) {
        return 0;
    }
    SpBodyMemory_Release(m, n); /* counted once it is queued */
    return 1;
}

/* The memory for the messages that the link brings: answers or calls. */
static SpBodyMemory *
memory_of(LinkConn *conn)
{
    return conn->peer ? &conn->n->reply_memory : &conn->n->link_memory;
}

void
release_reserved(LinkConn *conn)
{
    SpBodyMemory_Release(memory_of(conn), conn->reserved);
    conn->reserved = 0;
}

int
reserve_for_message(LinkConn *conn)
{
    SpBodyMemory *m = memory_of(conn);
    size_t n = incomplete_frame(conn->in);

    if (conn->reserved == n || n <= SP_LINK_KEPT_BYTES) {
        return 1;
    }
    /* one beyond its part is received alone, and one that could never be taken
       under the whole bound is added unasked */
    if (!SpBodyMemory_Take(m, n)) {
        if (m->used ||
            (n <= m->all->limit / 2 && !SpHeld_Take(m->all, m->kind, n))) {
            return 0;
        }
        if (n > m->all->limit / 2) {
            SpHeld_Add(m->all, m->kind, n);
        }
        m->used = n;
    }
    conn->reserved = n;
    return 1;
}
