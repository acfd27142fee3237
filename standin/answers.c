/*
 * Answers of spinst. It prints a line for each request that it executes. The
 * end of the path selects the response:
 *
 *   /slow-N    after N ms; 504 at the deadline, if that is sooner
 *   /size-N    with a body of N KB
 *   /late      the response, and the same again 30 ms later
 *   /late-next the response, and the same again where the next response on
 *              the connection is due
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
 *   /unstated-N  status N, executed, without a statement
 *   /other     421
 *   /early     sent before the request body is read
 *   /raw-NAME  the answer of this name in the file of -a (rawtext.h);
 *              /early/raw-NAME: sent before the request body is read
 *   /endless-KIND  bytes without end, see endless_answers; /endless-KIND-slow:
 *              one byte at a time
 *
 * A late response is sent again on its connection when the next request has
 * arrived there, before the response to that request.
 *
 * GET /health returns the instance id, with status 503 while spinst drains.
 * With -H it is refused like /refuse-bare after CHECK_MS, and the refusal is
 * sent again late.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standin/inst.h"

#define CHECK_MS 300
/* Stated when connections are not closed. */
#define DEFAULT_IDLE_S 10

/* ids of /refuse-first that were refused */
static GHashTable *refused;
static char keep_alive[64]; /* header line */
static pthread_mutex_t refused_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t print_lock = PTHREAD_MUTEX_INITIALIZER;

void
init_answers(void)
{
    refused = g_hash_table_new(g_str_hash, g_str_equal);
    g_snprintf(keep_alive, sizeof keep_alive, "Keep-Alive: timeout=%d\r\n",
               inst.idle_s ? inst.idle_s : DEFAULT_IDLE_S);
}

int
ends_with(const char *s, const char *end)
{
    return g_str_has_suffix(s, end);
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
    if (inst.names_runs) {
        g_string_append_printf(s, "sp-run: %s\r\n", r->run);
    }
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
        "run id=%s method=%s path=%s caller=%s body=%zu left=%s%s%s%s", r->id,
        r->method, r->path, r->caller, r->body,
        r->left_ms > 0 ? "given" : "missing",
        r->workspace[0] ? " workspace=" : "", r->workspace,
        r->has_key ? " key=passed-on" : "");

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
    first = g_hash_table_add(refused, g_strdup(r->id));
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

int
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
    if (inst.raw && strstr(r->path, RAW_PATH)) {
        return send_raw_answer(fd, r);
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
    if (path_number(r, "/unstated-") > 0) {
        status = (int)path_number(r, "/unstated-");
    }
    s = format_response(r, status, keep_alive, 1);
    send_text(fd, s);
    if (ends_with(r->path, "/extra")) {
        send_text(fd, s);
    }
    if (ends_with(r->path, "/late")) {
        sleep_ms(30);
        send_text(fd, s);
    }
    if (ends_with(r->path, "/late-next")) {
        c->late = s;
        return keep_open;
    }
    g_free(s);
    return keep_open;
}
