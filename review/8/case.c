/*
 * A relay is killed and started again while the target beside it goes on with
 * its runs. What are the calls answered that these runs still make?
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

#define RUNS 30
#define CONTACT_S 3.0
#define RESTART_S 0.5
/* When the runs make their calls, after their start. */
#define CALL_S 2.0
#define LATE_CALL_S 4.4
#define ALLOWED_OUT_OF_TOUCH 10
#define ALLOWED_IN_TOUCH 5

static Target desk = {.node = 2, .service = "desk", .zone = "z1",
                      .id = "i-desk", .slots = 82, .beat_s = 1.5};
static Target till = {.node = 3, .service = "till", .zone = "z1",
                      .id = "i-till", .slots = 120, .beat_s = 1.5};
static Target front = {.node = 1, .service = "front", .zone = "z1",
                       .id = "i-front", .slots = 59, .beat_s = 1.5};
static int denied, denied_in_touch, calls, requests;
static double restarted_at;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A call of a run, by the node beside its target; it bears no key. */
static int
call(const char *parent, int number)
{
    char request[512];
    int status;

    snprintf(request, sizeof request,
             "GET /till/x HTTP/1.1\r\nHost: shop.example\r\n"
             "Siskinpond-Attempt-Id: %s.%d\r\nSiskinpond-Deadline-Ms: 500\r\n"
             "Connection: close\r\n\r\n",
             parent, number);
    status = http_call(world_ip(2), WORLD_PORT_OUTBOUND, request, NULL, 1);
    world_log("target of desk: its call %s.%d is answered %d", parent, number,
              status);
    pthread_mutex_lock(&lock);
    calls++;
    requests++;
    if (status == 401) {
        denied++;
        denied_in_touch +=
            !restarted_at || world_now() > restarted_at + CONTACT_S;
    }
    pthread_mutex_unlock(&lock);
    return status;
}

/* This target doesn't drop a run when its connection closes. */
static void
run_desk(Target *t, int fd, Message *m)
{
    char id[128] = "";
    double began = world_now();
    int ok;

    message_header(m, "Siskinpond-Attempt-Id", id, sizeof id);
    if (!strstr(m->target, "long")) {
        target_answer(t, fd, m, 200, "done");
        return;
    }
    world_log("target of desk runs %s", id);
    world_wait_until(began + CALL_S);
    ok = call(id, 1) == 200;
    world_wait_until(began + LATE_CALL_S);
    ok = call(id, 2) == 200 && ok;
    target_answer(t, fd, m, ok ? 200 : 500, "done");
}

static void
publish(const char *version)
{
    char text[2048];

    snprintf(text, sizeof text,
             "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
             "\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","
             "\"service\",\"max_attempts\",\"public\"],\"rows\":["
             "[\"r-desk\",\"shop.example\",\"/desk/\",\"unsafe\",5,3,1,"
             "\"desk\",2,false],"
             "[\"r-till\",\"shop.example\",\"/till/\",\"safe\",0.7,0.3,1,"
             "\"till\",2,false]]},"
             "\"services\":{\"columns\":[\"name\",\"health_path\","
             "\"max_connections\"],\"rows\":[[\"front\",\"/health\",560],"
             "[\"desk\",\"/health\",592],[\"till\",\"/health\",898]]},"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
             "\"idle_timeout_s\":15},\"tenants\":{\"columns\":[\"name\","
             "\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\"rows\":["
             "[\"b-market\",[\"key-b\"],1,0,0]]}}",
             version);
    store_put("keyed.op", "config", text);
    world_log("operator: version %s is acknowledged", version);
}

static int
ask(const char *id, const char *path, double wait_s)
{
    char request[512];
    int status;

    snprintf(request, sizeof request,
             "POST /desk/%s HTTP/1.1\r\nHost: shop.example\r\n"
             "Siskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 5000\r\n"
             "Authorization: Bearer key-b\r\nContent-Length: 0\r\n"
             "Connection: close\r\n\r\n",
             path, id);
    status = http_call(world_ip(1), WORLD_PORT_OUTBOUND, request, NULL, wait_s);
    world_log("client: %s is answered %d", id, status);
    pthread_mutex_lock(&lock);
    requests++;
    pthread_mutex_unlock(&lock);
    return status;
}

static void *
be_client(void *p)
{
    char id[32];

    snprintf(id, sizeof id, "r%d", (int)(intptr_t)p);
    ask(id, "long", 6);
    return NULL;
}

int
main(int argc, char **argv)
{
    static const NodeOpts nodes[] = {{"side-1", "z1", "front", 1},
                                     {"side-2", "z1", "desk", 1},
                                     {"side-3", "z1", "till", 1}};
    pthread_t t[RUNS];
    int i, broken;

    if (argc < 2) {
        return CASE_UNUSABLE;
    }
    world_begin(argv[1]);
    store_start();
    publish("00000001");
    desk.run = run_desk;
    target_start(&front);
    target_start(&desk);
    target_start(&till);
    for (i = 0; i < 3; i++) {
        relay_start(i + 1, &nodes[i]);
    }
    for (i = 0; i < 3; i++) {
        if (!relay_wait_ready(i + 1, 10)) {
            world_end(CASE_UNUSABLE);
        }
    }
    world_sleep(4);
    if (ask("warm", "x", 6) != 200) {
        world_end(CASE_UNUSABLE);
    }
    for (i = 0; i < RUNS; i++) {
        pthread_create(&t[i], NULL, be_client, (void *)(intptr_t)(i + 1));
    }
    world_sleep(0.5);
    if (world_trouble) {
        relay_kill(2, SIGKILL);
        world_sleep(RESTART_S);
        relay_restart(2);
        restarted_at = world_now();
    }
    for (i = 0; i < RUNS; i++) {
        pthread_join(t[i], NULL);
    }
    world_sleep(6);
    broken = denied - denied_in_touch > ALLOWED_OUT_OF_TOUCH ||
             denied_in_touch > ALLOWED_IN_TOUCH + requests / 500;
    world_log("%d of %d calls were answered 401, %d of them by the relay in "
              "touch; %d requests in all",
              denied, calls, denied_in_touch, requests);
    world_end(broken ? CASE_BROKEN : CASE_HELD);
}
