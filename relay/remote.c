/* Calls between relays and their answers. */
#include <string.h>

#include "relay/link.h"

/* A link with more unsent bytes than this accepts no further call. */
#define MAX_QUEUE_BYTES ((size_t)16 << 20)

void
drop_jobs(Wire *w)
{
    GHashTableIter it;
    gpointer j;

    g_hash_table_iter_init(&it, w->jobs);
    while (g_hash_table_iter_next(&it, NULL, &j)) {
        g_hash_table_iter_steal(&it);
        drop_job(j);
    }
}

void
lose_calls(Peer *p)
{
    static const Result lost = {
        .kind = SP_BROKEN, .outcome = SP_UNKNOWN, .reached = 1};
    GList *list = g_hash_table_get_values(p->calls), *k;

    g_hash_table_remove_all(p->calls);
    for (k = list; k; k = k->next) {
        end_send(k->data, &lost);
    }
    g_list_free(list);
}

static void
answer_job(Job *j, const Result *r)
{
    Wire *w = j->owner;
    int64_t now = SpHttp_Now();
    Load l = own_load(j->n, now);
    SpShares path = path_shares(j->n, now, j->route);
    FrameOut f;

    g_hash_table_remove(w->jobs, &j->seq);
    begin_frame(&f, w->out, FRAME_ANSWER, 12);
    put_uint(&f, j->seq);
    put_uint(&f, r->kind);
    put_uint(&f, r->outcome);
    put_uint(&f, (uint64_t)r->reached);
    put_uint(&f, (uint64_t)r->below);
    put_uint(&f, SpShares_Pack(&path));
    put_uint(&f, (uint64_t)r->status);
    put_bin(&f, r->lines, r->lines_len);
    put_bin(&f, r->body, r->body_len);
    put_uint(&f, (uint64_t)l.busy);
    put_real(&f, l.limit);
    put_uint(&f, (uint64_t)l.run_us);
    end_frame(&f);
}

int
take_call(Wire *w, FrameIn *f)
{
    JobOpts o = {.done = answer_job, .owner = w, .copy_body = 1};
    char id[SP_ID_ROOM], service[SP_FLOW_NAME], route[SP_FLOW_NAME];
    const char *head;
    size_t head_len;
    uint64_t *key;
    Job *j;

    o.seq = get_uint(f);
    get_str(f, id, sizeof id);
    get_str(f, service, sizeof service);
    get_str(f, route, sizeof route);
    o.share = get_real(f);
    o.rank = (int)get_uint(f);
    o.begun = (int)get_uint(f);
    o.again = (int)get_uint(f);
    o.idempotent = (int)get_uint(f);
    o.left_us = get_int(f) - stall_of(w->n);
    head = get_bin(f, &head_len);
    o.body = get_bin(f, &o.body_len);
    if (f->bad) {
        return 0;
    }
    o.id = id;
    o.service = service;
    o.route = route;
    o.head = g_string_new_len(head, (gssize)head_len);
    key = g_new(uint64_t, 1);
    *key = o.seq;
    j = start_job(w->n, &o);
    if (j) {
        g_hash_table_insert(w->jobs, key, j);
    }
    else {
        g_free(key);
    }
    return 1;
}

int
take_cancel(Wire *w, FrameIn *f)
{
    uint64_t seq = get_uint(f);
    Job *j = g_hash_table_lookup(w->jobs, &seq);

    if (j) {
        g_hash_table_remove(w->jobs, &seq);
        drop_job(j);
    }
    return !f->bad;
}

int
take_answer(Wire *w, FrameIn *f)
{
    Result r;
    Call *c;
    uint64_t seq = get_uint(f);

    memset(&r, 0, sizeof r);
    r.kind = (SpKind)get_uint(f);
    r.outcome = (SpOutcome)get_uint(f);
    r.reached = (int)get_uint(f);
    r.below = (int)get_uint(f);
    r.path = SpShares_Unpack((uint32_t)get_uint(f));
    r.status = (int)get_uint(f);
    r.lines = get_bin(f, &r.lines_len);
    r.body = get_bin(f, &r.body_len);
    if (f->bad || !w->peer || r.kind >= SP_NKINDS) {
        return 0;
    }
    w->peer->up.busy = (int)get_uint(f);
    w->peer->up.limit = get_real(f);
    w->peer->up.run_us = (double)get_uint(f);
    w->peer->up.mine_told = w->peer->up.mine;
    c = g_hash_table_lookup(w->peer->calls, &seq);
    if (c) {
        g_hash_table_remove(w->peer->calls, &seq);
        end_send(c, &r);
    }
    return !f->bad;
}

uint64_t
send_link(Peer *p, Call *c, const JobOpts *o)
{
    Wire *w = p->wire;
    uint64_t *key;
    FrameOut f;

    if (!w || !w->up ||
        uv_stream_get_write_queue_size((uv_stream_t *)&w->tcp) >
            MAX_QUEUE_BYTES) {
        return 0;
    }
    key = g_new(uint64_t, 1);
    *key = ++p->seq;
    g_hash_table_insert(p->calls, key, c);
    begin_frame(&f, w->out, FRAME_CALL, 12);
    put_uint(&f, *key);
    put_str(&f, o->id);
    put_str(&f, o->service);
    put_str(&f, o->route);
    put_real(&f, o->share);
    put_uint(&f, (uint64_t)o->rank);
    put_uint(&f, (uint64_t)o->begun);
    put_uint(&f, (uint64_t)o->again);
    put_uint(&f, (uint64_t)o->idempotent);
    put_int(&f, o->left_us);
    put_bin(&f, o->head->str, o->head->len);
    put_bin(&f, o->body, o->body_len);
    end_frame(&f);
    return *key;
}

void
cancel_link(Peer *p, uint64_t seq)
{
    FrameOut f;

    if (!g_hash_table_remove(p->calls, &seq) || !p->wire) {
        return;
    }
    begin_frame(&f, p->wire->out, FRAME_CANCEL, 1);
    put_uint(&f, seq);
    end_frame(&f);
}
