/*
 * A target says that it leaves and gets its ack. The relay that gave the ack is
 * killed and started again; the next report of the target is late, and says the
 * same. Which requests still reach the target?
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

#define DRAIN_S 2.0
#define CONTACT_S 3.0
#define KILL_S 0.2    /* after the ack */
#define RESTART_S 0.4 /* after the kill */
/* The report that was due a heartbeat after the ack arrives late. */
#define BEAT_S 1.5
#define LATE_S 1.8
#define SERVES_S 6.0 /* the target serves for this long after the ack */

static Target lots = {.node = 2, .service = "lots", .zone = "z1",
                      .id = "i-lots", .slots = 29, .beat_s = BEAT_S};
static Target front = {.node = 1, .service = "front", .zone = "z1",
                       .id = "i-front", .slots = 29, .beat_s = BEAT_S};
static double bound;  /* from when on a request is too late; 0: not yet */
static double judged; /* from when on both relays are in touch */
static int late, reached;
static volatile int over;

static void
run(Target *t, int fd, Message *m)
{
    char id[128] = "";
    double now = world_now();
    int is_late = judged > 0 && now > bound && now > judged;

    message_header(m, "Siskinpond-Attempt-Id", id, sizeof id);
    reached++;
    late += is_late;
    if (bound > 0) {
        world_log("target: %s reaches it%s", id,
                  is_late ? ", too late" : "");
    }
    target_answer(t, fd, m, 200, "done");
}

static void
publish(const char *version)
{
    char text[2048];

    snprintf(text, sizeof text,
             "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
             "\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","
             "\"service\",\"max_attempts\"],\"rows\":[[\"r-lots\","
             "\"shop.example\",\"/lots/\",\"unsafe\",2,0.5,1,\"lots\",2]]},"
             "\"services\":{\"columns\":[\"name\",\"health_path\","
             "\"max_connections\"],\"rows\":[[\"front\",\"/health\",274],"
             "[\"lots\",\"/health\",274]]},"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
             "\"idle_timeout_s\":15}}",
             version);
    store_put("keyed.op", "config", text);
    world_log("operator: version %s is acknowledged", version);
}

static int
ask(int number)
{
    char request[512];

    snprintf(request, sizeof request,
             "POST /lots/x HTTP/1.1\r\nHost: shop.example\r\n"
             "Siskinpond-Attempt-Id: q%d\r\nSiskinpond-Deadline-Ms: 600\r\n"
             "Content-Length: 0\r\nConnection: close\r\n\r\n",
             number);
    return http_call(world_ip(1), WORLD_PORT_OUTBOUND, request, NULL, 1);
}

static void *
be_client(void *p)
{
    int i, status, last = 0;

    (void)p;
    for (i = 0; !over; i++) {
        status = ask(i);
        if (status != last) {
            world_log("client: from q%d on the answer is %d", i, status);
            last = status;
        }
        world_sleep(0.05);
    }
    return NULL;
}

static int
say(const char *state)
{
    int status = target_report(&lots, "Heartbeat", state);

    world_log("target: its report \"%s\" is answered %d", state, status);
    return status == 200;
}

int
main(int argc, char **argv)
{
    static const NodeOpts nodes[] = {{"side-1", "z1", "front", 1},
                                     {"side-2", "z1", "lots", 1}};
    pthread_t t;
    double acked;
    int i;

    if (argc < 2) {
        return CASE_UNUSABLE;
    }
    world_begin(argv[1]);
    store_start();
    publish("00000001");
    lots.run = run;
    target_start(&front);
    target_start(&lots);
    for (i = 0; i < 2; i++) {
        relay_start(i + 1, &nodes[i]);
    }
    if (!relay_wait_ready(1, 10) || !relay_wait_ready(2, 10)) {
        world_end(CASE_UNUSABLE);
    }
    world_sleep(4);
    pthread_create(&t, NULL, be_client, NULL);
    world_sleep(1);
    if (!reached) {
        world_end(CASE_UNUSABLE);
    }
    lots.beats = 0; /* its reports are sent below */
    lots.state = "draining";
    if (!say("draining")) {
        world_end(CASE_UNUSABLE);
    }
    acked = world_now();
    bound = acked + DRAIN_S;
    judged = acked;
    if (world_trouble) {
        judged = acked + KILL_S + RESTART_S + CONTACT_S + 0.1;
        world_wait_until(acked + KILL_S);
        relay_kill(2, SIGKILL);
        world_sleep(RESTART_S);
        relay_restart(2);
    }
    world_wait_until(acked + BEAT_S + LATE_S);
    say("draining");
    world_wait_until(acked + 2 * BEAT_S + LATE_S);
    say("draining");
    world_wait_until(acked + SERVES_S);
    over = 1;
    pthread_join(t, NULL);
    world_log("%d requests reached the target later than %.1f s after the ack, "
              "with both relays in touch",
              late, DRAIN_S);
    world_end(late ? CASE_BROKEN : CASE_HELD);
}
