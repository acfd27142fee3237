/*
 * spinst: simulates an instance on the users' platform, for tests. It runs a
 * thread for each connection. The end of the path selects the response:
 *
 *   /slow-N    after N ms; 504 at the deadline, if that is sooner
 *   /size-N    with a body of N KB
 *   /late      the response, and the same again 30 ms later
 *   /extra     the response twice, without a pause
 *   /nolength  body without a length, ended by the close of the connection
 *   /cut       as /nolength, but ended by a reset of the connection
 *   /reset     no response; the connection is reset
 *   /hang      no response; the connection is closed after 5 s
 *   /refuse    503, not executed
 *   /refuse-first  503 to the first send of an id, and the same again late;
 *              the next send is executed
 *   /refuse-bare  503, not executed, without the attempt id
 *   /error     500, executed
 *   /other     421
 *   /early     sent before the request body is read
 *   /endless-KIND  bytes without end, see endless_answers; /endless-KIND-slow:
 *              one byte at a time
 *
 * A late response is sent again on its connection when the next request has
 * arrived there, before the response to that request.
 *
 * GET /health returns the instance id, with status 503 while spinst drains.
 * With -H it is refused like /refuse-bare after CHECK_MS, and the refusal is
 * sent again late.
 * spinst sends a heartbeat to the control address every REPORT_MS (or -r MS),
 * and prints a line for each request that it executes. On SIGTERM it reports
 * that it is draining, continues to serve for DRAIN_MS, deregisters and exits.
 */
#include <arpa/inet.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

#define REPORT_MS 200
#define HEAD_BYTES 65536
#define DRAIN_MS 1000
#define CHECK_MS 300

static struct {
    const char *addr, *id, *service, *zone, *control;
    int slots;
    int report_ms;
    long long start_ms;
    volatile sig_atomic_t draining;
    int seq;
    int refuse_checks;
    GHashTable *refused; /* ids of /refuse-first that were refused */
} inst;

/* A connection from the relay. */
typedef struct Conn {
    int fd;
    char *late; /* response to be sent again; NULL: none */
} Conn;

static pthread_mutex_t refused_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t print_lock = PTHREAD_MUTEX_INITIALIZER;

static void
sleep_ms(int ms)
{
    struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

    nanosleep(&t, NULL);
}

static int
ends_with(const char *s, const char *end)
{
    return g_str_has_suffix(s, end);
}

/* Returns 0 if the peer closed the connection. */
static int
send_all(int fd, const char *p, size_t n)
{
    ssize_t sent;

    for (; n > 0; p += sent, n -= (size_t)sent) {
        sent = send(fd, p, n, MSG_NOSIGNAL);
        if (sent <= 0) {
            return 0;
        }
    }
    return 1;
}

static void
send_text(int fd, const char *s)
{
    (void)send_all(fd, s, strlen(s));
}

static void
reset_on_close(int fd)
{
    struct linger l = {1, 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

typedef struct Request {
    char method[16], path[512], id[256], caller[64], expect[64];
    long left_ms;
    size_t body;
} Request;

static void
parse_header(Request *r, const char *line)
{
    const char *v = strchr(line, ':');

    if (!v) {
        return;
    }
    v += 1 + strspn(v + 1, " ");
    if (strncasecmp(line, "content-length:", 15) == 0) {
        r->body = (size_t)strtoul(v, NULL, 10);
    }
    else if (strncasecmp(line, "siskinpond-attempt-id:", 22) == 0) {
        g_strlcpy(r->id, v, sizeof r->id);
    }
    else if (strncasecmp(line, "siskinpond-caller-service:", 26) == 0) {
        g_strlcpy(r->caller, v, sizeof r->caller);
    }
    else if (strncasecmp(line, "siskinpond-expected-instance:", 29) == 0) {
        g_strlcpy(r->expect, v, sizeof r->expect);
    }
    else if (strncasecmp(line, "siskinpond-deadline-ms:", 23) == 0) {
        r->left_ms = strtol(v, NULL, 10);
    }
}

/* Reads the head of a request; bytes received after it stay in buf. Returns 0
   if the connection ended. */
static int
read_head(int fd, char *buf, size_t *len, Request *r)
{
    char *end, **lines;
    ssize_t n;
    size_t i;

    memset(r, 0, sizeof *r);
    while (!(end = strstr(buf, "\r\n\r\n"))) {
        n = recv(fd, buf + *len, HEAD_BYTES - 1 - *len, 0);
        if (n <= 0) {
            return 0;
        }
        *len += (size_t)n;
        buf[*len] = '\0';
    }
    *end = '\0';
    lines = g_strsplit(buf, "\r\n", -1);
    if (sscanf(lines[0], "%15s %511s", r->method, r->path) != 2) {
        r->path[0] = '\0';
    }
    for (i = 1; lines[i]; i++) {
        parse_header(r, lines[i]);
    }
    g_strfreev(lines);
    end += 4;
    *len -= (size_t)(end - buf);
    memmove(buf, end, *len + 1);
    return 1;
}

static int
skip_body(int fd, char *buf, size_t *len, size_t body)
{
    size_t here = MIN(*len, body);
    ssize_t n;

    memmove(buf, buf + here, *len - here + 1);
    *len -= here;
    for (body -= here; body > 0; body -= (size_t)n) {
        n = recv(fd, buf + *len, MIN(body, HEAD_BYTES - 1 - *len), 0);
        if (n <= 0) {
            return 0;
        }
    }
    buf[*len] = '\0';
    return 1;
}

/* Returns the number after a name in the path, or 0. */
static long
path_number(const Request *r, const char *name)
{
    const char *s = strstr(r->path, name);

    return s ? strtol(s + strlen(name), NULL, 10) : 0;
}

static char *
format_response(const Request *r, int status, const char *more, int length)
{
    char *body = g_strdup_printf("%s %s %s\n", inst.id, r->method, r->path);
    long kb = path_number(r, "/size-");
    GString *s = g_string_new(NULL);

    if (kb > 0) {
        g_free(body);
        body = g_strnfill((gsize)kb * 1024, 'b');
    }

    g_string_printf(s,
                    "HTTP/1.1 %d x\r\nSiskinpond-Attempt-Id: %s\r\n"
                    "Siskinpond-Response-Signature: sig.%s\r\n%s",
                    status, r->id, r->id, more);
    if (length) {
        g_string_append_printf(s, "Content-Length: %zu\r\n", strlen(body));
    }
    g_string_append_printf(s, "\r\n%s", body);
    g_free(body);
    return g_string_free(s, FALSE);
}

static void
print_line(const char *s)
{
    pthread_mutex_lock(&print_lock);
    printf("%s\n", s);
    fflush(stdout);
    pthread_mutex_unlock(&print_lock);
}

static void
print_run(const Request *r)
{
    char *s = g_strdup_printf(
        "run id=%s method=%s path=%s caller=%s body=%zu left=%s", r->id,
        r->method, r->path, r->caller, r->body,
        r->left_ms > 0 ? "given" : "missing");

    print_line(s);
    g_free(s);
}

#define REFUSAL                                                               \
    "HTTP/1.1 503 x\r\nSiskinpond-Not-Executed: 1\r\nContent-Length: "        \
    "0\r\n\r\n"

static void
respond_health(Conn *c)
{
    char *s;

    if (inst.refuse_checks) {
        print_line("check");
        sleep_ms(CHECK_MS);
        send_text(c->fd, REFUSAL);
        g_free(c->late);
        c->late = g_strdup(REFUSAL);
        return;
    }
    s = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 0\r\n"
                        "Siskinpond-Instance-Id: %s\r\n\r\n",
                        inst.draining ? "503 x" : "200 OK", inst.id);
    send_text(c->fd, s);
    g_free(s);
}

/* Sends a response that says that the request was not executed; returns its
   text. */
static char *
refuse(int fd, const Request *r, const char *status_lines)
{
    char *s = g_strdup_printf("HTTP/1.1 %sSiskinpond-Attempt-Id: %s\r\n"
                              "Content-Length: 0\r\n\r\n",
                              status_lines, r->id);

    send_text(fd, s);
    return s;
}

/* Returns 1 for the first request with this id. */
static int
is_first_send(const Request *r)
{
    int first;

    pthread_mutex_lock(&refused_lock);
    first = g_hash_table_add(inst.refused, g_strdup(r->id));
    pthread_mutex_unlock(&refused_lock);
    return first;
}

/* Refuses the request if its path or its expected instance says so. */
static int
is_refused(Conn *c, const Request *r)
{
    static const char throttled[] = "503 x\r\nSiskinpond-Not-Executed: 1\r\n";
    int other = r->expect[0] && strcmp(r->expect, inst.id) != 0;

    if (other || ends_with(r->path, "/other")) {
        g_free(refuse(c->fd, r, "421 x\r\n"));
        return 1;
    }
    if (ends_with(r->path, "/refuse")) {
        g_free(refuse(c->fd, r, throttled));
        return 1;
    }
    if (ends_with(r->path, "/refuse-bare")) {
        send_text(c->fd, REFUSAL);
        return 1;
    }
    if (ends_with(r->path, "/refuse-first") && is_first_send(r)) {
        c->late = refuse(c->fd, r, throttled);
        return 1;
    }
    return 0;
}

/*
 * Answers without end: a start, then the same bytes again and again.
 */
typedef struct EndlessAnswer {
    const char *kind, *start, *repeated;
} EndlessAnswer;

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_LINE "Transfer-Encoding: chunked\r\n\r\n"

static const EndlessAnswer endless_answers[] = {
    {"noise", "", "\x07noise"},
    {"blank-lines", "", "\r\n"},
    {"status-line", "HTTP/1.1 200 ", "x"},
    {"header", OK_LINE "X: ", "y"},
    {"headers", OK_LINE, "X: y\r\n"},
    {"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"others", "",
     OK_LINE "Siskinpond-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"},
    {"body", OK_LINE "\r\n", "b"},
    {"chunks", CHUNKED, "4\r\nbbbb\r\n"},
    {"chunk-size", CHUNKED, "0"},
    {"chunk-extension", CHUNKED "4;", "e"},
    {"trailers", CHUNKED "0\r\n", "T: v\r\n"},
    {"after", NULL, "z"}, /* after a complete answer */
    {NULL, NULL, NULL}};

#define ENDLESS_BLOCK_BYTES 16384
#define ENDLESS_SLOW_MS 10

/* Sends until the peer closes the connection. */
static void
send_endless(int fd, const Request *r, const EndlessAnswer *e)
{
    int slow = ends_with(r->path, "-slow");
    char *start =
        e->start ? g_strdup(e->start) : format_response(r, 200, "", 1);
    GString *block = g_string_new(NULL);
    size_t i;

    while (block->len < ENDLESS_BLOCK_BYTES) {
        g_string_append(block, e->repeated);
    }
    if (send_all(fd, start, strlen(start))) {
        for (i = 0; slow && send_all(fd, block->str + i % block->len, 1);
             i++) {
            sleep_ms(ENDLESS_SLOW_MS);
        }
        while (!slow && send_all(fd, block->str, block->len)) {
        }
    }
    g_string_free(block, TRUE);
    g_free(start);
}

static const EndlessAnswer *
find_endless(const char *path)
{
    const char *kind = strstr(path, "/endless-");
    const EndlessAnswer *e;
    size_t n;

    if (!kind) {
        return NULL;
    }
    kind += strlen("/endless-");
    n = strlen(kind) - (ends_with(kind, "-slow") ? strlen("-slow") : 0);
    for (e = endless_answers; e->kind; e++) {
        if (strlen(e->kind) == n && strncmp(e->kind, kind, n) == 0) {
            return e;
        }
    }
    return NULL;
}

/* Takes the time that the path says; returns 0 if the deadline ends it. */
static int
work(const Request *r)
{
    long ms = path_number(r, "/slow-");
    int whole = r->left_ms <= 0 || ms < r->left_ms;

    sleep_ms((int)(whole ? ms : r->left_ms));
    return whole;
}

/* Returns 0 to close the connection. */
static int
respond(Conn *c, const Request *r)
{
    int fd = c->fd;
    const EndlessAnswer *endless = find_endless(r->path);
    char *s;
    int keep_open = 1, status = 200;

    if (strcmp(r->path, "/health") == 0) {
        respond_health(c);
        return 1;
    }
    if (is_refused(c, r)) {
        return 1;
    }
    print_run(r);
    if (!work(r)) {
        status = 504;
    }
    if (endless) {
        send_endless(fd, r, endless);
        return 0;
    }
    if (ends_with(r->path, "/hang")) {
        sleep_ms(5000);
        return 0;
    }
    if (ends_with(r->path, "/reset")) {
        reset_on_close(fd);
        return 0;
    }
    if (ends_with(r->path, "/nolength") || ends_with(r->path, "/cut")) {
        s = format_response(r, 200, "Connection: close\r\n", 0);
        send_text(fd, s);
        g_free(s);
        sleep_ms(50);
        if (ends_with(r->path, "/cut")) {
            reset_on_close(fd);
        }
        return 0;
    }
    if (ends_with(r->path, "/error")) {
        status = 500;
    }
    s = format_response(r, status, "Keep-Alive: timeout=10\r\n", 1);
    send_text(fd, s);
    if (ends_with(r->path, "/extra")) {
        send_text(fd, s);
    }
    if (ends_with(r->path, "/late")) {
        sleep_ms(30);
        send_text(fd, s);
    }
    g_free(s);
    return keep_open;
}

static void *
serve(void *arg)
{
    Conn c = {.fd = GPOINTER_TO_INT(arg)};
    int fd = c.fd, keep_open = 1;
    char *buf = g_malloc0(HEAD_BYTES);
    size_t len = 0;
    Request r;

    while (keep_open && read_head(fd, buf, &len, &r)) {
        if (c.late) {
            send_text(fd, c.late);
            g_free(c.late);
            c.late = NULL;
        }
        if (ends_with(r.path, "/early")) {
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
    char response[512], body[512], *s;
    int fd = socket(AF_INET, SOCK_STREAM, 0), ok = 0;
    ssize_t n;

    g_snprintf(body, sizeof body,
               "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
               "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
               "\"status\":{\"state\":\"%s\",\"seq\":%d,"
               "\"warmup_left_s\":0}}",
               inst.addr, inst.start_ms, inst.service, inst.zone, inst.slots,
               state, ++inst.seq);
    s = g_strdup_printf("POST /Instances.%s/%s HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                        method, inst.id, strlen(body), body);
    if (make_addr(inst.control, &sa) &&
        connect(fd, (struct sockaddr *)&sa, sizeof sa) == 0) {
        send_text(fd, s);
        n = recv(fd, response, sizeof response - 1, 0);
        ok = n > 12 && strncmp(response + 9, "200", 3) == 0;
    }
    close(fd);
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
    inst.refused = g_hash_table_new(g_str_hash, g_str_equal);
    inst.report_ms = REPORT_MS;
    while ((c = getopt(argc, argv, "l:i:s:z:c:n:b:r:H")) != -1) {
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
                        " [-H]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_term);
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
