/*
 * spinst: simulates an instance on the users' platform, for tests. It runs a
 * thread for each connection; the end of the path selects the response
 * (answers.c).
 *
 * It sends a heartbeat to the control address every REPORT_MS (or -r MS). On
 * SIGTERM it reports that it is draining, continues to serve for DRAIN_MS,
 * deregisters and exits. With -H status checks are refused, with
 * -N answers repeat the sp-run of their request (spnode). With -k S it
 * closes connections that are idle for S seconds, as its Keep-Alive header
 * says. With -a FILE it sends the raw answers of a file (rawtext.h).
 */
#include <arpa/inet.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "standin/inst.h"

#define REPORT_MS 200
#define DRAIN_MS 1000

Inst inst;

static void *
serve(void *arg)
{
    Conn c = {.fd = GPOINTER_TO_INT(arg)};
    int fd = c.fd, keep_open = 1, muted = inst.muted;
    char *buf = g_malloc0(INST_HEAD_BYTES);
    size_t len = 0;
    Request r;
    struct timeval idle = {.tv_sec = inst.idle_s};

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &idle, sizeof idle);
    while (keep_open && read_head(fd, buf, &len, &r)) {
        if (muted != inst.muted) {
            continue;
        }
        if (c.late) {
            send_text(fd, c.late);
            g_free(c.late);
            c.late = NULL;
        }
        if (ends_with(r.path, "/early") || strstr(r.path, "/early/")) {
            keep_open = respond(&c, &r) && skip_body(fd, buf, &len, r.body);
            continue;
        }
        keep_open = skip_body(fd, buf, &len, r.body) && respond(&c, &r);
    }
    close(fd);
    g_free(c.late);
    g_free(buf);
    return NULL;
}

static int
make_addr(const char *s, struct sockaddr_in *sa)
{
    char ip[64];
    int port;

    memset(sa, 0, sizeof *sa);
    if (!SpParse_Addr(s, ip, sizeof ip, &port)) {
        return 0;
    }
    sa->sin_family = AF_INET;
    sa->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

/* Sends a report to the control address; returns 1 if it was accepted. */
static int
report(const char *method, const char *state)
{
    struct sockaddr_in sa;
    char *body, *s;
    int fd = socket(AF_INET, SOCK_STREAM, 0), ok = 0;

    body = g_strdup_printf(
        "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
        "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
        "\"status\":{\"state\":\"%s\",\"seq\":%d,"
        "\"warmup_left_s\":0}}",
        inst.addr, inst.start_ms, inst.service, inst.zone, inst.slots, state,
        ++inst.seq);
    s = g_strdup_printf("POST /Instances.%s/%s HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                        method, inst.id, strlen(body), body);
    if (make_addr(inst.control, &sa) &&
        connect(fd, (struct sockaddr *)&sa, sizeof sa) == 0) {
        send_text(fd, s);
        ok = read_status(fd) / 100 == 2;
    }
    close(fd);
    g_free(body);
    g_free(s);
    return ok;
}

static void *
report_loop(void *arg)
{
    int slept;

    (void)arg;
    while (!inst.draining) {
        report("Heartbeat", "ready");
        for (slept = 0; slept < inst.report_ms && !inst.draining;
             slept += REPORT_MS) {
            sleep_ms(REPORT_MS);
        }
    }
    report("Heartbeat", "draining");
    sleep_ms(DRAIN_MS);
    report("Deregister", "draining");
    exit(0);
}

static void
on_term(int signum)
{
    (void)signum;
    inst.draining = 1;
}

static void
on_mute(int signum)
{
    (void)signum;
    inst.muted++;
}

static int
listen_on(const char *addr)
{
    struct sockaddr_in sa;
    int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!make_addr(addr, &sa) ||
        bind(fd, (struct sockaddr *)&sa, sizeof sa) != 0 ||
        listen(fd, 256) != 0) {
        fprintf(stderr, "spinst: cannot listen on %s\n", addr);
        exit(1);
    }
    return fd;
}

int
main(int argc, char **argv)
{
    int c, fd, conn;
    pthread_t thread;

    inst.slots = 8;
    inst.report_ms = REPORT_MS;
    while ((c = getopt(argc, argv, "l:i:s:z:c:n:b:r:k:a:HN")) != -1) {
        switch (c) {
        case 'l':
            inst.addr = optarg;
            break;
        case 'i':
            inst.id = optarg;
            break;
        case 's':
            inst.service = optarg;
            break;
        case 'z':
            inst.zone = optarg;
            break;
        case 'c':
            inst.control = optarg;
            break;
        case 'n':
            inst.slots = (int)strtol(optarg, NULL, 10);
            break;
        case 'r':
            inst.report_ms = (int)strtol(optarg, NULL, 10);
            break;
        case 'k':
            inst.idle_s = (int)strtol(optarg, NULL, 10);
            break;
        case 'a':
            inst.raw = optarg;
            break;
        case 'N':
            inst.names_runs = 1;
            break;
        case 'H':
            inst.refuse_checks = 1;
            break;
        case 'b':
            inst.start_ms = strtoll(optarg, NULL, 10);
            break;
        default:
            return 2;
        }
    }
    if (!inst.addr || !inst.id || !inst.service || !inst.zone ||
        !inst.control) {
        fprintf(stderr, "usage: spinst -l ADDR -i ID -s SERVICE -z ZONE"
                        " -c CONTROL [-n SLOTS] [-b START_MS] [-r REPORT_MS]"
                        " [-k IDLE_S] [-a FILE] [-H] [-N]\n");
        return 2;
    }
    if (inst.raw && !load_raw_answers(inst.raw)) {
        fprintf(stderr, "spinst: cannot read %s\n", inst.raw);
        return 2;
    }
    init_answers();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_term);
    signal(SIGUSR1, on_mute);
    fd = listen_on(inst.addr);
    pthread_create(&thread, NULL, report_loop, NULL);
    while ((conn = accept(fd, NULL, NULL)) >= 0 || errno == EINTR) {
        if (conn >= 0) {
            pthread_create(&thread, NULL, serve, GINT_TO_POINTER(conn));
            pthread_detach(thread);
        }
    }
    return 0;
}
