/*
 * Clients number their attempts: "b1", "b1.1", "b1.2". Some are sent before
 * the first has been answered, as PROTOCOL.md has it; one client's key is taken
 * away meanwhile. Which tenant does the target see, and what runs?
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

#define CONFIG_APPLY_S 2.5
#define CLIENTS 5
#define WORK_S 1.0
#define LONG_WORK_S 4.3

static Target shop = {.node = 1, .service = "shop", .zone = "z1",
                      .id = "i-shop", .slots = 59, .beat_s = 1.5};
static int wrong_tenant, with_dropped_key;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* The first letter of an id is that of its tenant's name. */
static void
run(Target *t, int fd, Message *m)
{
    char id[128] = "", tenant[128] = "", key[128] = "";
    int wrong;

    message_header(m, "Siskinpond-Attempt-Id", id, sizeof id);
    message_header(m, "Siskinpond-Tenant", tenant, sizeof tenant);
    message_header(m, "Authorization", key, sizeof key);
    wrong = tenant[0] != id[0] || key[0];
    world_log("target runs %s for tenant %s%s", id, tenant[0] ? tenant : "-",
              wrong ? ": not the tenant of its key" : "");
    pthread_mutex_lock(&lock);
    wrong_tenant += wrong;
    pthread_mutex_unlock(&lock);
    world_sleep(strstr(m->target, "long") ? LONG_WORK_S
                : strchr(id, '.')         ? 0.05
                                          : WORK_S);
    target_answer(t, fd, m, 200, "done");
}

static void
publish(const char *version, const char *keys_of_c)
{
    char text[2048];

    snprintf(text, sizeof text,
             "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
             "\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","
             "\"service\",\"max_attempts\",\"public\"],\"rows\":[[\"r-shop\","
             "\"shop.example\",\"/shop/\",\"safe\",5,0.5,1,\"shop\",2,false]]},"
             "\"services\":{\"columns\":[\"name\",\"health_path\","
             "\"max_connections\"],\"rows\":[[\"shop\",\"/health\",200],"
             "[\"other\",\"/health\",200]]},"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
             "\"idle_timeout_s\":15},\"tenants\":{\"columns\":[\"name\","
             "\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\"rows\":["
             "[\"b-market\",[\"key-b\"],1,0,0],"
             "[\"c-market\",[%s],1,0,0]]}}",
             version, keys_of_c);
    store_put("keyed.op", "config", text);
    world_log("operator: version %s is acknowledged", version);
}

static int
send_request(int fd, const char *id, const char *path, const char *key)
{
    return http_sendf(fd,
                      "GET /shop/%s HTTP/1.1\r\nHost: shop.example\r\n"
                      "Siskinpond-Attempt-Id: %s\r\n"
                      "Siskinpond-Deadline-Ms: 5000\r\n"
                      "Authorization: Bearer %s\r\n\r\n",
                      path, id, key);
}

static int
read_answer(int fd, const char *id)
{
    char got[128] = "";
    Message m;
    int status = message_read(fd, &m, 1, 8) ? m.status : 0;

    if (status) {
        message_header(&m, "Siskinpond-Attempt-Id", got, sizeof got);
        message_free(&m);
    }
    world_log("client: %s is answered %d", id, status);
    return status;
}

/* Three requests on a connection, sent ahead or, without the disruption, each
   after the answer to the one before. */
static void *
be_client(void *p)
{
    int i, n = (int)(intptr_t)p, fd = http_connect(world_ip(1),
                                                   WORLD_PORT_OUTBOUND);
    char id[3][32];

    for (i = 0; i < 3; i++) {
        snprintf(id[i], sizeof id[i], i ? "b%d.%d" : "b%d", n, i);
        send_request(fd, id[i], "x", "key-b");
        if (world_trouble) {
            world_sleep(0.15);
        }
        else {
            read_answer(fd, id[i]);
        }
    }
    for (i = 0; i < 3 && world_trouble; i++) {
        read_answer(fd, id[i]);
    }
    return NULL;
}

/* The key of this client is taken away while its first request runs. */
static void
be_revoked_client(void)
{
    int fd = http_connect(world_ip(1), WORLD_PORT_OUTBOUND);
    double sent = world_now();
    int first = 0, status;

    send_request(fd, "c1", "long", "key-c");
    world_sleep(0.5);
    publish("00000002", "");
    if (!world_trouble) {
        first = read_answer(fd, "c1");
    }
    world_wait_until(sent + 0.5 + CONFIG_APPLY_S + 0.5);
    world_log("client: c1.1 is sent with the key that was dropped");
    send_request(fd, "c1.1", "x", "key-c");
    if (world_trouble) {
        first = read_answer(fd, "c1");
    }
    status = read_answer(fd, "c1.1");
    with_dropped_key += status == 200;
    if (first != 200) {
        world_end(CASE_UNUSABLE);
    }
}

int
main(int argc, char **argv)
{
    static const NodeOpts nodes[] = {{"side-1", "z1", "shop", 1},
                                     {"side-2", "z1", "other", 1}};
    pthread_t t[CLIENTS];
    int i;

    if (argc < 2) {
        return CASE_UNUSABLE;
    }
    world_begin(argv[1]);
    store_start();
    publish("00000001", "\"key-c\"");
    shop.run = run;
    target_start(&shop);
    for (i = 0; i < 2; i++) {
        relay_start(i + 1, &nodes[i]);
    }
    if (!relay_wait_ready(1, 10) || !relay_wait_ready(2, 10)) {
        world_end(CASE_UNUSABLE);
    }
    world_sleep(4);
    for (i = 0; i < CLIENTS; i++) {
        pthread_create(&t[i], NULL, be_client, (void *)(intptr_t)(i + 1));
    }
    for (i = 0; i < CLIENTS; i++) {
        pthread_join(t[i], NULL);
    }
    be_revoked_client();
    world_log("%d requests ran for another tenant than that of their key, or "
              "for none; %d ran with a key that had been dropped for more than "
              "%.1f s",
              wrong_tenant, with_dropped_key, CONFIG_APPLY_S);
    world_end(wrong_tenant || with_dropped_key ? CASE_BROKEN : CASE_HELD);
}
