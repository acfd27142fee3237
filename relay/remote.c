/* Calls between relays and their answers. */
#include <string.h>

#include "relay/call.h"
#include "relay/link.h"
#include "relay/reply.h"

/* A link with more unsent bytes than this accepts no further call. */
#define MAX_UNSENT_BYTES ((size_t)16 << 20)

void
drop_jobs(LinkConn *conn)
{
    GHashTableIter it;
    gpointer j;

    g_hash_table_iter_init(&it, conn->jobs);
    while (g_hash_table_iter_next(&it, NULL, &j)) {
        g_hash_table_iter_remove(&it);
        drop_job(j);
    }
}

/* A run that is not idempotent may go on at its instance, whose node has
   perhaps ended. */
static void
keep_lost_call(Peer *p, const Call *c)
{
    RunInfo info = {.route = c->route->name,
                    .workspace = c->workspace_name ? c->workspace_name : "",
                    .share = c->share,
                    .calls_left = c->calls_left,
                    .rank = c->rank,
                    .is_retry = c->is_retry || c->reached > 0,
                    .is_served = 1,
                    .deadline = c->deadline};

    if (!c->route->idempotent) {
        add_past_run(p->lost, c->id, &info);
    }
}

void
fail_calls(Peer *p)
{
    static const Result lost = {
        .kind = SP_BROKEN, .outcome = SP_UNKNOWN, .reached = 1};
    GList *list = g_hash_table_get_values(p->calls), *k;

    g_hash_table_remove_all(p->calls);
    for (k = list; k; k = k->next) {
        keep_lost_call(p, k->data);
        end_attempt(k->data, &lost);
    }
    g_list_free(list);
}

static void
send_answer(Job *j, const Result *r)
{
    LinkConn *conn = j->owner;
    int64_t now = SpHttp_Now();
    Load l = local_load(j->n, now);
    SpShares path = path_shares(j->n, now, j->route);
    Result lost = {.kind = SP_BROKEN, .outcome = SP_UNKNOWN, .reached = 1};
    FrameOut f;

    g_hash_table_remove(conn->jobs, &j->seq);
    if (r->body_len && !has_room_to_send(conn, r->body_len)) {
        SpLog(SP_LOG_WARN, "answer-dropped",
              "id=%.128s route=%.128s bytes=%zu", j->id, j->route,
              r->body_len);
        r = &lost;
    }
    begin_link_frame(&f, conn, FRAME_ANSWER, 13);
    put_uint(&f, j->seq);
    put_uint(&f, r->kind);
    put_uint(&f, r->outcome);
    put_uint(&f, (uint64_t)r->reached);
    put_uint(&f, (uint64_t)r->nested_failed);
    put_uint(&f, SpShares_Pack(&path));
    put_real(&f, r->calls);
    put_uint(&f, (uint64_t)r->status);
    put_bin(&f, r->lines, r->lines_len);
    put_bin(&f, r->body, r->body_len);
    put_uint(&f, (uint64_t)l.busy);
    put_real(&f, l.limit);
    put_uint(&f, (uint64_t)l.run_us);
    end_frame(&f);
}

int
handle_call(LinkConn *conn, FrameIn *f)
{
    JobOpts o = {.done = send_answer, .owner = conn, .copy_body = 1};
    const char *head;
    size_t head_len;
    uint64_t *key;
    Job *j;

    mark_used(conn, SpHttp_Now());
    o.seq = get_uint(f);
    o.id = get_text(f);
    o.service = get_text(f);
    o.route = get_text(f);
    o.workspace = get_text(f);
    o.share = get_real(f);
    o.rank = (int)get_uint(f);
    o.nested = (int)get_uint(f);
    o.is_retry = (int)get_uint(f);
    o.idempotent = (int)get_uint(f);
    o.calls_left = get_real(f);
    o.left_us = get_int(f) - stall_us(conn->n);
    head = get_bin(f, &head_len);
    o.body = get_bin(f, &o.body_len);
    if (f->bad) {
        return 0;
    }
    o.head = g_string_new_len(head, (gssize)head_len);
    key = g_new(uint64_t, 1);
    *key = o.seq;
    j = start_job(conn->n, &o);
    if (j) {
        g_hash_table_insert(conn->jobs, key, j);
    }
    else {
        g_free(key);
    }
    return 1;
}

int
handle_cancel(LinkConn *conn, FrameIn *f)
{
    uint64_t seq = get_uint(f);
    Job *j = g_hash_table_lookup(conn->jobs, &seq);

    if (j) {
        g_hash_table_remove(conn->jobs, &seq);
        drop_job(j);
    }
    return !f->bad;
}

/* Calls that have not been sent to the instance by then are refused, so that
   the sender can tell its callers that they have not run. */
int
handle_stopping(LinkConn *conn, FrameIn *f)
{
    int64_t deadline = SpHttp_Now() + get_int(f);
    GHashTableIter it;
    gpointer j;

    if (f->bad) {
        return 0;
    }
    g_hash_table_iter_init(&it, conn->jobs);
    while (g_hash_table_iter_next(&it, NULL, &j)) {
        lower_deadline(j, deadline);
    }
    return 1;
}

void
announce_end(Relay *n, int64_t deadline)
{
    guint i;

    for (i = 0; i < n->links->conns->len; i++) {
        LinkConn *conn = g_ptr_array_index(n->links->conns, i);
        FrameOut f;

        if (!conn->peer || !conn->connected) {
            continue;
        }
        begin_link_frame(&f, conn, FRAME_STOPPING, 1);
        put_int(&f, deadline - SpHttp_Now());
        end_frame(&f);
    }
}

int
handle_answer(LinkConn *conn, FrameIn *f)
{
    Result r;
    Call *c;
    uint64_t seq = get_uint(f);

    if (!read_reply(f, &r) || !conn->peer) {
        return 0;
    }
    conn->peer->upstream.busy = (int)get_uint(f);
    conn->peer->upstream.limit = get_real(f);
    conn->peer->upstream.run_us = (double)get_uint(f);
    conn->peer->upstream.in_flight_reported = conn->peer->upstream.in_flight;
    c = g_hash_table_lookup(conn->peer->calls, &seq);
    if (c) {
        g_hash_table_remove(conn->peer->calls, &seq);
        end_attempt(c, &r);
    }
    return !f->bad;
}

uint64_t
send_remote_call(Peer *p, Call *c, const JobOpts *o)
{
    LinkConn *conn = p->conn;
    uint64_t *key;
    FrameOut f;

    if (!conn || !conn->connected ||
        uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) >
            MAX_UNSENT_BYTES ||
        (o->body_len && !has_room_to_send(conn, o->body_len))) {
        return 0;
    }
    key = g_new(uint64_t, 1);
    *key = ++p->seq;
    g_hash_table_insert(p->calls, key, c);
    mark_used(conn, SpHttp_Now());
    begin_link_frame(&f, conn, FRAME_CALL, 14);
    put_uint(&f, *key);
    put_str(&f, o->id);
    put_str(&f, o->service);
    put_str(&f, o->route);
    put_str(&f, o->workspace);
    put_real(&f, o->share);
    put_uint(&f, (uint64_t)o->rank);
    put_uint(&f, (uint64_t)o->nested);
    put_uint(&f, (uint64_t)o->is_retry);
    put_uint(&f, (uint64_t)o->idempotent);
    put_real(&f, o->calls_left);
    put_int(&f, o->left_us);
    put_bin(&f, o->head->str, o->head->len);
    put_bin(&f, o->body, o->body_len);
    end_frame(&f);
    return *key;
}

void
cancel_remote_call(Peer *p, uint64_t seq)
{
    FrameOut f;

    if (!g_hash_table_remove(p->calls, &seq) || !p->conn) {
        return;
    }
    begin_link_frame(&f, p->conn, FRAME_CANCEL, 1);
    put_uint(&f, seq);
    end_frame(&f);
}
