/*
 * spcrowd: a crowd of clients that nobody controls, for tests.
 *
 *   spcrowd -l ADDR -k KIND -n CLIENTS -s SECONDS [-t OPENS] [-p PATH]
 *       [-b BYTES] [-r BYTES] [-q REQUESTS] [-w BYTES]
 *
 * It keeps CLIENTS connections open for SECONDS; one that the server closes is
 * opened again, OPENS times in all (4 for each client). At the end it prints
 * how many were opened and closed and the statuses that were read. Kinds:
 *
 *   read        REQUESTS for PATH sent ahead; of the answers -r bytes are read
 *               in each tenth of a second; with -b their heads are that long
 *   head        a header line without end
 *   heads       header lines without end
 *   head-stop   a head of BYTES without its end, then nothing
 *   blank       empty lines without end
 *   body        a body of BYTES, whole
 *   body-stop   a body of BYTES, -w bytes in a hundredth of a second, that
 *               stops a byte short of its end
 *   chunk-stop  the same, in chunks
 *   idle        nothing
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <getopt.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

#define MAX_CLIENTS 1000
#define STEP_MS 10
#define READ_STEPS 10
#define RCVBUF_BYTES 4096
#define BLOCK_BYTES 16384

typedef struct Options {
    const char *addr, *kind, *path;
    int clients, seconds, opens, requests;
    size_t bytes, read_bytes, piece;
} Options;

typedef struct Client {
    int fd; /* -1: closed */
    char *start;
    size_t start_len, start_sent;
    size_t sent; /* of what follows the start */
    int seen;    /* 1: the status was counted */
} Client;

static Options opts;
static struct sockaddr_in server;
static Client clients[MAX_CLIENTS];
static int opened, closed, by_status[600];
static char block[BLOCK_BYTES];

static int
is_kind(const char *kind)
{
    return strcmp(opts.kind, kind) == 0;
}

static int
stops_short(void)
{
    return is_kind("body-stop") || is_kind("chunk-stop");
}

static int
is_endless(void)
{
    return is_kind("head") || is_kind("heads") || is_kind("blank");
}

static void
append_request(GString *s, const char *method, const char *more)
{
    static int number;

    g_string_append_printf(
        s,
        "%s %s HTTP/1.1\r\nHost: h.example\r\nSiskinpond-Attempt-Id: "
        "crowd-%d-%d\r\nSiskinpond-Deadline-Ms: 10000\r\n%s",
        method, opts.path, (int)getpid(), ++number, more);
}

static void
pad(GString *s, size_t len)
{
    while (s->len < len) {
        g_string_append_c(s, 'a');
    }
}

/* What a client sends first, until the part that repeats. */
static GString *
make_start(void)
{
    GString *s = g_string_new(NULL);
    char more[64] = "Transfer-Encoding: chunked\r\n\r\n";
    int i;

    if (is_kind("read")) {
        for (i = 0; i < opts.requests; i++) {
            append_request(s, "GET", "X: ");
            pad(s, (size_t)(i + 1) * opts.bytes);
            g_string_append(s, "\r\n\r\n");
        }
    }
    else if (is_kind("head") || is_kind("head-stop")) {
        append_request(s, "GET", "X: ");
        pad(s, opts.bytes);
    }
    else if (is_kind("heads")) {
        append_request(s, "GET", "");
    }
    else if (is_kind("chunk-stop")) {
        append_request(s, "POST", more);
        g_string_append_printf(s, "%zx\r\n", opts.bytes);
    }
    else if (is_kind("body") || is_kind("body-stop")) {
        g_snprintf(more, sizeof more, "Content-Length: %zu\r\n\r\n",
                   opts.bytes);
        append_request(s, "POST", more);
    }
    return s;
}

static void
fill_block(void)
{
    const char *repeated = is_kind("blank")   ? "\r\n"
                           : is_kind("heads") ? "X: y\r\n"
                                              : "b";
    size_t i, n = strlen(repeated);

    for (i = 0; i < sizeof block; i++) {
        block[i] = repeated[i % n];
    }
}

/* Bytes of the repeated part that may be sent now. */
static size_t
left_to_send(const Client *c)
{
    size_t total = opts.bytes - (stops_short() ? 1 : 0);

    if (is_endless()) {
        return sizeof block;
    }
    if (!is_kind("body") && !stops_short()) {
        return 0;
    }
    return MIN(total - c->sent, sizeof block);
}

static void
close_client(Client *c)
{
    close(c->fd);
    c->fd = -1;
    closed++;
}

static void
open_client(Client *c)
{
    int small = RCVBUF_BYTES, fd = socket(AF_INET, SOCK_STREAM, 0);
    GString *s;

    if (fd < 0) {
        return;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    (void)connect(fd, (struct sockaddr *)&server, sizeof server);
    s = make_start();
    g_free(c->start);
    c->start_len = s->len;
    c->start = g_string_free(s, FALSE);
    c->fd = fd;
    c->start_sent = c->sent = 0;
    c->seen = 0;
    opened++;
}

/* Returns 0 if the connection is broken. */
static int
send_some(Client *c, const char *p, size_t n, size_t *sent)
{
    ssize_t k = n ? send(c->fd, p, n, MSG_NOSIGNAL) : 0;

    if (k < 0 && errno != EAGAIN && errno != ENOTCONN) {
        return 0;
    }
    *sent += k > 0 ? (size_t)k : 0;
    return 1;
}

/* Sends what the client may send in this step; returns 0 if it is broken. */
static int
send_step(Client *c)
{
    size_t end = c->sent + opts.piece, before;

    if (!send_some(c, c->start + c->start_sent, c->start_len - c->start_sent,
                   &c->start_sent)) {
        return 0;
    }
    if (c->start_sent < c->start_len) {
        return 1;
    }
    do {
        before = c->sent;
        if (!send_some(c, block + c->sent % (is_kind("heads") ? 6 : 2),
                       MIN(left_to_send(c), sizeof block - 6), &c->sent)) {
            return 0;
        }
    } while (c->sent > before && c->sent < end);
    return 1;
}

static void
count_status(Client *c, const char *p, size_t n)
{
    int status = n > 12 ? atoi(p + 9) : 0;

    if (!c->seen && status > 0 && status < 600) {
        by_status[status]++;
    }
    c->seen = 1;
}

/* Returns 0 if the server has closed the connection. */
static int
read_step(Client *c, size_t max)
{
    char buf[65536];
    size_t got = 0;
    ssize_t n;

    while (got < max) {
        n = recv(c->fd, buf, MIN(max - got, sizeof buf), 0);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN)) {
            return 0;
        }
        if (n < 0) {
            return 1;
        }
        count_status(c, buf, (size_t)n);
        got += (size_t)n;
    }
    return 1;
}

static void
step(Client *c, int number)
{
    size_t max = is_kind("read") ? opts.read_bytes : 65536;
    struct pollfd p = {.fd = c->fd};

    if (c->fd < 0) {
        if (opened < opts.opens) {
            open_client(c);
        }
        return;
    }
    if (poll(&p, 1, 0) > 0 && p.revents & (POLLERR | POLLHUP) &&
        !is_kind("read")) {
        (void)read_step(c, max);
        close_client(c);
        return;
    }
    if (!send_step(c) || (number % READ_STEPS == 0 && !read_step(c, max))) {
        close_client(c);
    }
}

static void
run(void)
{
    struct timespec t = {0, (long)STEP_MS * 1000000};
    int steps = opts.seconds * 1000 / STEP_MS, i, k;

    for (i = 0; i < steps; i++) {
        for (k = 0; k < opts.clients; k++) {
            step(&clients[k], i);
        }
        nanosleep(&t, NULL);
    }
}

static void
print_counts(void)
{
    int i;

    printf("%s: opened=%d closed=%d", opts.kind, opened, closed);
    for (i = 0; i < 600; i++) {
        if (by_status[i]) {
            printf(" %d:%d", i, by_status[i]);
        }
    }
    printf("\n");
}

static int
read_options(int argc, char **argv)
{
    char ip[64];
    int c, port;

    opts = (Options){.path = "/up/x",
                     .clients = 1,
                     .seconds = 1,
                     .requests = 1,
                     .piece = (size_t)1 << 30};
    while ((c = getopt(argc, argv, "l:k:n:s:t:p:b:r:q:w:")) != -1) {
        long v = optarg ? strtol(optarg, NULL, 10) : 0;
        switch (c) {
        case 'l':
            opts.addr = optarg;
            break;
        case 'k':
            opts.kind = optarg;
            break;
        case 'p':
            opts.path = optarg;
            break;
        case 'n':
            opts.clients = (int)v;
            break;
        case 's':
            opts.seconds = (int)v;
            break;
        case 't':
            opts.opens = (int)v;
            break;
        case 'q':
            opts.requests = (int)v;
            break;
        case 'b':
            opts.bytes = (size_t)v;
            break;
        case 'r':
            opts.read_bytes = (size_t)v;
            break;
        case 'w':
            opts.piece = (size_t)v;
            break;
        default:
            return 0;
        }
    }
    if (!opts.addr || !opts.kind || opts.clients > MAX_CLIENTS ||
        !SpParse_Addr(opts.addr, ip, sizeof ip, &port)) {
        return 0;
    }
    opts.opens = opts.opens ? opts.opens : 4 * opts.clients;
    server.sin_family = AF_INET;
    server.sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &server.sin_addr) == 1;
}

int
main(int argc, char **argv)
{
    int i;

    if (!read_options(argc, argv)) {
        fprintf(stderr, "usage: spcrowd -l ADDR -k KIND -n CLIENTS -s SECONDS"
                        " [-t OPENS] [-p PATH] [-b BYTES] [-r BYTES]"
                        " [-q REQUESTS] [-w BYTES]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    for (i = 0; i < opts.clients; i++) {
        clients[i].fd = -1;
    }
    fill_block();
    run();
    print_counts();
    return 0;
}
