/* Lifetimes of the instances of spmesh, and their reports. */
#include <string.h>

#include "standin/meshinst.h"

#define REPORT_US (500 * SP_MS)
#define BACKLOG 512

static void
begin_lifetime(Instance *i)
{
    char addr[32];
    GError *err = NULL;

    i->born_ms = g_get_real_time() / 1000;
    i->seq = i->leaving = 0;
    g_snprintf(i->id, sizeof i->id, "i-%s-%" PRId64, i->n->name, i->born_ms);
    g_snprintf(addr, sizeof addr, "%s:8301", i->n->ip);
    i->listener = g_new0(uv_tcp_t, 1);
    i->listening = SpHttp_ListenTcp(i->n->m->loop, i->listener, addr, BACKLOG,
                                    on_instance_conn, &err);
    i->listener->data = i;
    i->report_at = 0;
    if (!i->listening) {
        fprintf(stderr, "spmesh: %s\n", err->message);
        g_error_free(err);
    }
}

Instance *
new_instance(Node *n)
{
    Instance *i = g_new0(Instance, 1);

    i->n = n;
    i->conns = g_ptr_array_new();
    i->runs = g_ptr_array_new();
    begin_lifetime(i);
    return i;
}

void
restart_instance(Instance *i)
{
    while (i->conns->len) {
        close_conn(g_ptr_array_index(i->conns, 0), 1);
    }
    i->listener->data = i;
    uv_close((uv_handle_t *)i->listener, (uv_close_cb)g_free);
    i->frozen = 0;
    begin_lifetime(i);
}

void
freeze_instance(Instance *i, int frozen)
{
    guint k;

    i->frozen = frozen;
    for (k = 0; k < i->conns->len; k++) {
        IConn *c = g_ptr_array_index(i->conns, k);
        if (frozen) {
            uv_read_stop((uv_stream_t *)&c->tcp);
        }
        else {
            read_on(c);
        }
    }
}

void
leave_instance(Instance *i)
{
    i->leaving = 1;
    i->report_at = 0;
}

static void
send_report(Instance *i)
{
    char body[512], head[768];
    SpPoolRequest o = {.done = ignore_answer, .data = i, .own_connection = 1};

    g_snprintf(body, sizeof body,
               "{\"address\":\"%s:8301\",\"born\":%" PRId64
               ",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":"
               "\"%s\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%d,"
               "\"warmup_left_s\":0}}",
               i->n->ip, i->born_ms, i->n->service->name, i->n->zone,
               i->n->service->slots, i->leaving ? "draining" : "ready",
               ++i->seq);
    g_snprintf(head, sizeof head,
               "POST /Instances.Heartbeat/%s HTTP/1.1\r\nHost: control\r\n"
               "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
               i->id, strlen(body));
    o.head = head;
    o.head_len = strlen(head);
    o.body = body;
    o.body_len = strlen(body);
    SpPool_Send(i->n->control, &o);
}

void
tick_instances(Mesh *m, int64_t now)
{
    guint k;

    for (k = 0; k < m->nodes->len; k++) {
        Instance *i = ((Node *)g_ptr_array_index(m->nodes, k))->inst;
        if (i->frozen) {
            continue;
        }
        end_due_runs(i, now);
        if (now >= i->report_at) {
            i->report_at = now + REPORT_US;
            send_report(i);
        }
    }
}
