/* A target: liveness reports, and a server for its requests. */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define TARGETS 64

static Target *targets[TARGETS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

int
target_report(Target *t, const char *call, const char *state)
{
    char body[512], *request;
    int status;
    int64_t seq;

    pthread_mutex_lock(&lock);
    seq = ++t->seq;
    pthread_mutex_unlock(&lock);
    snprintf(body, sizeof body,
             "{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{\"service\":"
             "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
             "\"status\":{\"state\":\"%s\",\"seq\":%lld,"
             "\"warmup_left_s\":0}}",
             world_ip(t->node), WORLD_PORT_APP, (long long)t->born_ms,
             t->service, t->zone, t->slots, state, (long long)seq);
    if (asprintf(&request,
                 "POST /Instances.%s/%s HTTP/1.1\r\nHost: x\r\n"
                 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
                 "Connection: close\r\n\r\n%s",
                 call, t->id, strlen(body), body) < 0) {
        return 0;
    }
    status = http_call(world_ip(t->node), WORLD_PORT_CONTROL, request, NULL, 1);
    free(request);
    if (status / 100 == 2) {
        t->acked_at = world_now();
    }
    return status;
}

static void *
send_reports(void *p)
{
    Target *t = p;

    while (t->up) {
        if (t->beats) {
            target_report(t, "Heartbeat", t->state);
        }
        world_sleep(t->beat_s);
    }
    return NULL;
}

void
target_answer(Target *t, int fd, const Message *m, int status,
              const char *body)
{
    char id[300] = "";

    message_header(m, "Siskinpond-Attempt-Id", id, sizeof id);
    http_sendf(fd,
               "HTTP/1.1 %d Status\r\nSiskinpond-Attempt-Id: %s\r\n"
               "Siskinpond-Response-Signature: %s.%s\r\n"
               "Content-Length: %zu\r\n\r\n%s",
               status, id, t->id, id, strlen(body), body);
}

static void
on_request(int fd, Message *m, Target *t)
{
    char expected[128];

    if (strcmp(m->target, "/health") == 0) {
        http_sendf(fd,
                   "HTTP/1.1 %d Status\r\nSiskinpond-Instance-Id: %s\r\n"
                   "Content-Length: 0\r\n\r\n",
                   strcmp(t->state, "ready") == 0 ? 200 : 503, t->id);
        return;
    }
    if (message_header(m, "Siskinpond-Expected-Instance", expected,
                       sizeof expected) &&
        strcmp(expected, t->id) != 0) {
        http_sendf(fd,
                   "HTTP/1.1 421 Misdirected Request\r\n"
                   "Siskinpond-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                   t->id);
        return;
    }
    if (t->run) {
        t->run(t, fd, m);
    }
    else {
        target_answer(t, fd, m, 200, "done");
    }
}

/* http_serve has no argument for its handler: one function a target. */
#define SERVER(i)                                                             \
    static void serve_##i(int fd, Message *m)                                 \
    {                                                                         \
        on_request(fd, m, targets[i]);                                        \
    }
SERVER(0)
SERVER(1)
SERVER(2)
SERVER(3)
SERVER(4)
SERVER(5)
SERVER(6)
SERVER(7)
SERVER(8)
SERVER(9)
SERVER(10)
SERVER(11)
static const Handler servers[] = {serve_0, serve_1, serve_2,  serve_3,
                                  serve_4, serve_5, serve_6,  serve_7,
                                  serve_8, serve_9, serve_10, serve_11};

void
target_start(Target *t)
{
    static int n;
    pthread_t th;

    if (!t->born_ms) {
        t->born_ms = wall_ms();
    }
    t->up = t->beats = 1;
    if (!t->state) {
        t->state = "ready";
    }
    targets[n] = t;
    http_serve(world_ip(t->node), WORLD_PORT_APP, servers[n]);
    n++;
    pthread_create(&th, NULL, send_reports, t);
    pthread_detach(th);
}
