/*
 * A version adds a route whose name is longer than the others, and moves
 * another route to a new service. Which version is in force seconds after its
 * ack?
 */
#include <stdio.h>
#include <string.h>

#include "world.h"

#define CONFIG_APPLY_S 2.0
#define WATCH_S 8.0
#define NODES 3
#define SHORT_NAME "r-warehouse-stock-by-category"
#define LONG_NAME                                                             \
    "r-warehouse-stock-by-category-and-region-for-the-evening-inventory-team"

static Target old = {.node = 2, .service = "old", .zone = "z1", .id = "i-old",
                     .slots = 29, .beat_s = 1.5};
static Target new = {.node = 3, .service = "new", .zone = "z1", .id = "i-new",
                     .slots = 29, .beat_s = 1.5};
static Target front = {.node = 1, .service = "front", .zone = "z1",
                       .id = "i-front", .slots = 29, .beat_s = 1.5};

static void
run(Target *t, int fd, Message *m)
{
    char id[128] = "";

    message_header(m, "Siskinpond-Attempt-Id", id, sizeof id);
    world_log("target of %s runs %s", t->service, id);
    target_answer(t, fd, m, 200, t->service);
}

/* added: the name of the second route; NULL: none */
static void
publish(const char *version, const char *service, const char *added)
{
    char text[4096], row[512] = "";

    if (added) {
        snprintf(row, sizeof row,
                 ",[\"%s\",\"shop.example\",\"/stock/\",\"safe\",2,0.5,1,"
                 "\"new\",2]",
                 added);
    }
    snprintf(text, sizeof text,
             "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
             "\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","
             "\"service\",\"max_attempts\"],\"rows\":[[\"r-shop\","
             "\"shop.example\",\"/shop/\",\"safe\",2,0.5,1,\"%s\",2]%s]},"
             "\"services\":{\"columns\":[\"name\",\"health_path\","
             "\"max_connections\"],\"rows\":[[\"front\",\"/health\",200],"
             "[\"old\",\"/health\",200],[\"new\",\"/health\",200]]},"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
             "\"idle_timeout_s\":15}}",
             version, service, row);
    store_put("keyed.op", "config", text);
    world_log("operator: version %s is acknowledged: /shop/ to %s%s%s",
              version, service, added ? ", and a route " : "",
              added ? added : "");
}

/* Returns the status; by: the service that ran the request. */
static int
ask(int node, const char *id, const char *path, char *by, size_t size)
{
    char request[512];
    Message m;

    snprintf(request, sizeof request,
             "GET %s HTTP/1.1\r\nHost: shop.example\r\n"
             "Siskinpond-Attempt-Id: %s\r\nSiskinpond-Deadline-Ms: 2000\r\n"
             "Connection: close\r\n\r\n",
             path, id);
    http_call(world_ip(node), WORLD_PORT_OUTBOUND, request, &m, 3);
    snprintf(by, size, "%s", m.status == 200 ? m.body : "-");
    world_log("client at node %d: %s, %s, is answered %d by %s", node, id,
              path, m.status, by);
    message_free(&m);
    return m.status;
}

int
main(int argc, char **argv)
{
    static const NodeOpts nodes[] = {{"side-1", "z1", "front", 1},
                                     {"side-2", "z1", "old", 1},
                                     {"side-3", "z1", "new", 1}};
    char by[64], id[32];
    int i, number, late = 0;
    double acked;

    if (argc < 2) {
        return CASE_UNUSABLE;
    }
    world_begin(argv[1]);
    store_start();
    publish("00000001", "old", NULL);
    old.run = new.run = run;
    target_start(&front);
    target_start(&old);
    target_start(&new);
    for (i = 0; i < NODES; i++) {
        relay_start(i + 1, &nodes[i]);
    }
    for (i = 0; i < NODES; i++) {
        if (!relay_wait_ready(i + 1, 10)) {
            world_end(CASE_UNUSABLE);
        }
    }
    world_sleep(4);
    if (ask(1, "warm", "/shop/x", by, sizeof by) != 200) {
        world_end(CASE_UNUSABLE);
    }
    publish("00000003", "new", world_trouble ? LONG_NAME : SHORT_NAME);
    acked = world_now();
    world_wait_until(acked + CONFIG_APPLY_S + 0.5);
    for (number = 1; world_now() < acked + WATCH_S; number++) {
        for (i = 1; i <= NODES; i++) {
            snprintf(id, sizeof id, "a%d-%d", i, number);
            late += ask(i, id, "/shop/x", by, sizeof by) == 200 &&
                    strcmp(by, "old") == 0;
            snprintf(id, sizeof id, "s%d-%d", i, number);
            late += ask(i, id, "/stock/x", by, sizeof by) == 404;
        }
        world_sleep(1);
    }
    world_log("%d requests sent over %.1f s after the ack of version 00000003 "
              "were handled as only version 00000001 allows",
              late, CONFIG_APPLY_S);
    world_end(late ? CASE_BROKEN : CASE_HELD);
}
