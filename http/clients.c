/* The clients of a server: their time limits, and which of them are closed
   when memory or descriptors are needed. */
#include <poll.h>

#include "http/conn.h"

/* Time for the client to close a connection after it has taken the last
   response. */
#define LINGER_US (1 * SP_SEC)
/* Time for the first or next request of a connection to arrive before
   SpHttpServer_CloseIdle takes the connection as idle. */
#define CLOSE_IDLE_US (200 * SP_MS)
/* Time for which no client to close is looked for after there was none. */
#define NONE_US (10 * SP_MS)

/* Closes the connection once its last response has been sent. */
static void
close_idle(Conn *c)
{
    c->closing = 1;
    send_responses(c);
}

/* Returns 1 while the client has not yet taken what was sent to it. */
static int
is_sending(Conn *c, int64_t now)
{
    size_t unsent = SpOut_Left(&c->out);

    if (unsent != c->unsent) {
        c->unsent = unsent;
        c->sent_at = now;
    }
    return unsent > 0;
}

/* Returns 1 if the client has closed, also while bytes before the close have
   not been read. */
static int
has_client_left(const Conn *c)
{
    uv_os_fd_t fd;
    struct pollfd p = {.events = POLLRDHUP};

    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0) {
        return 1;
    }
    p.fd = fd;
    return poll(&p, 1, 0) > 0;
}

/* Looks at a connection that is not being read because too many of its
   requests are pending. */
static void
check_paused(Conn *c)
{
    if (has_client_left(c)) {
        drop_conn(c);
        return;
    }
    resume_reading(c);
}

static void
check_timeouts(Conn *c, const SpHttpLimits *limits, int64_t now)
{
    if (is_sending(c, now)) {
        if (now - c->sent_at > limits->idle_us) {
            drop_conn(c);
        }
        return;
    }
    if (c->write_shut) {
        if (now - c->sent_at > LINGER_US) {
            drop_conn(c);
        }
        return;
    }
    if (!g_queue_is_empty(&c->reqs)) {
        return;
    }
    if (c->in_message &&
        now - c->since >
            (c->r.head_done ? limits->idle_us : limits->header_us)) {
        reject(c, 408, "");
        send_responses(c);
    }
    else if (!c->in_message &&
             now - MAX(c->since, c->sent_at) > limits->idle_us) {
        close_idle(c);
    }
}

void
SpHttpServer_Tick(SpHttpServer *s, int64_t now)
{
    guint i;

    for (i = s->conns->len; i > 0; i--) {
        Conn *c = g_ptr_array_index(s->conns, i - 1);
        if (c->read_paused) {
            check_paused(c);
        }
        if (!c->dropped) {
            check_timeouts(c, &s->limits, now);
        }
    }
}

void
SpHttpServer_Drain(SpHttpServer *s)
{
    s->draining = 1;
}

/* Returns 1 if nothing was sent for CLOSE_IDLE_US after the connection was
   opened or its last response was taken. */
static int
is_idle(const Conn *c, int64_t now)
{
    return !c->reqs.length && !c->in_message && !c->write_shut &&
           now - MAX(c->since, c->sent_at) > CLOSE_IDLE_US &&
           !SpHttp_IsReadable((const uv_handle_t *)&c->tcp);
}

void
SpHttpServer_CloseIdle(SpHttpServer *s)
{
    int64_t now = SpHttp_Now();
    guint i;

    for (i = s->conns->len; i > 0; i--) {
        Conn *c = g_ptr_array_index(s->conns, i - 1);
        if (is_idle(c, now)) {
            close_idle(c);
        }
    }
}

/*
 * Clients that are closed for others.
 */

static size_t
body_held(const Conn *c)
{
    const SpMsg *m = c->r.msg;

    return m && m->body ? m->body_len : 0;
}

static size_t
held_for(const Conn *c, SpHeldKind k)
{
    size_t head = c->r.msg ? c->r.msg->head_held : 0;

    switch (k) {
    case SP_HELD_BODIES:
        return body_held(c);
    case SP_HELD_ANSWERS:
        return c->out.held + c->ready;
    case SP_HELD_NKINDS:
        return head + body_held(c) + c->out.held + c->ready;
    default:
        return 0;
    }
}

/* What the client is doing, and since when. */
static void
fill_step(const Conn *c, SpHolder *h)
{
    if (c->out.unsent) {
        h->step = SP_HOLDER_TAKING;
        h->began = c->out.began;
        h->moved_at = c->out.moved_at;
        h->moved = c->out.moved;
        return;
    }
    h->began = h->moved_at = MAX(c->since, c->sent_at);
    if (c->in_message && !c->read_paused) {
        h->step = SP_HOLDER_SENDING;
        h->began = c->began;
        h->moved_at = c->read_at;
        h->moved = c->read_bytes;
    }
    else if (c->reqs.length || c->in_message) {
        h->step = SP_HOLDER_WAITING;
    }
    else {
        h->step = c->served ? SP_HOLDER_IDLE : SP_HOLDER_SILENT;
    }
}

/* Chooses the client that goes; late_us is for how long it has been late. */
static Conn *
choose(const SpHttpServer *s, SpNeed need, SpHeldKind k, int64_t *late_us)
{
    SpEviction e;
    guint i;

    SpEviction_Begin(&e, need, SpHttp_Now());
    for (i = 0; i < s->conns->len; i++) {
        Conn *c = g_ptr_array_index(s->conns, i);
        SpHolder h = {.user = c, .bytes = held_for(c, k)};
        if (c == s->reading || c->broken) {
            continue;
        }
        fill_step(c, &h);
        SpEviction_Consider(&e, &h);
        if (e.chosen == c) {
            *late_us = SpHolder_Late(&h, e.now);
        }
    }
    return e.chosen;
}

static void
log_closed(const Conn *c, const char *why, int64_t late_us)
{
    SpLog(SP_LOG_INFO, "client-closed",
          "why=%s body=%zu answer=%zu requests=%u late_ms=%" PRId64
          " open_ms=%" PRId64,
          why, body_held(c), c->out.held + c->ready, c->reqs.length,
          late_us / SP_MS, (SpHttp_Now() - c->opened_at) / SP_MS);
}

/* Gives back what is held for a client now; its requests end later. */
static void
give_up(Conn *c)
{
    GList *k;

    mark_broken(c);
    SpMsg_Free(c->r.msg);
    c->r.msg = NULL;
    c->in_message = 0;
    SpOut_Clear(&c->out);
    for (k = c->reqs.head; k; k = k->next) {
        drop_out(k->data);
    }
}

/* Closes the client that goes for this need; returns 0 if there is none. All
   clients are looked at, so not again for a moment after none was found. */
static int
close_one(SpHttpServer *s, SpNeed need, SpHeldKind k)
{
    int64_t *none_at = &s->none_at[need][k], now = SpHttp_Now(), late_us = 0;
    Conn *c;

    if (now - *none_at < NONE_US) {
        return 0;
    }
    c = choose(s, need, k, &late_us);
    if (!c) {
        *none_at = now;
        return 0;
    }
    if (need == SP_NEED_MEMORY) {
        s->counts.closed_memory++;
        log_closed(c, "memory", late_us);
        give_up(c);
        return 1;
    }
    s->counts.closed_descriptors++;
    log_closed(c, "descriptors", late_us);
    drop_conn(c);
    return 1;
}

int
SpHttpServer_MakeRoom(void *s, SpHeldKind k)
{
    return close_one(s, SP_NEED_MEMORY, k);
}

int
SpHttpServer_FreeDescriptor(SpHttpServer *s)
{
    return close_one(s, SP_NEED_DESCRIPTOR, SP_HELD_NKINDS);
}

int
SpHttpServer_Connections(const SpHttpServer *s)
{
    return (int)s->conns->len;
}

int
SpHttpServer_MaxConnections(const SpHttpServer *s)
{
    return s->o.connections;
}

SpHttpCounts
SpHttpServer_Counts(const SpHttpServer *s)
{
    return s->counts;
}
