/* Connections and requests of spinst. */
#include <string.h>
#include <strings.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>

#include "http/priv.h"
#include "standin/inst.h"

/* Size limit of the head and of the body of an answer to a report. */
#define ANSWER_BYTES 4096

void
sleep_ms(int ms)
{
    struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

    nanosleep(&t, NULL);
}

int
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

void
send_text(int fd, const char *s)
{
    (void)send_all(fd, s, strlen(s));
}

void
reset_on_close(int fd)
{
    struct linger l = {1, 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

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
    else if (strncasecmp(line, "siskinpond-tenant:", 18) == 0) {
        g_strlcpy(r->workspace, v, sizeof r->workspace);
    }
    else if (strncasecmp(line, "authorization:", 14) == 0) {
        r->has_key = 1;
    }
    else if (strncasecmp(line, "siskinpond-expected-instance:", 29) == 0) {
        g_strlcpy(r->expect, v, sizeof r->expect);
    }
    else if (strncasecmp(line, "sp-run:", 7) == 0) {
        g_strlcpy(r->run, v, sizeof r->run);
    }
    else if (strncasecmp(line, "siskinpond-deadline-ms:", 23) == 0) {
        r->left_ms = strtol(v, NULL, 10);
    }
}

int
read_head(int fd, char *buf, size_t *len, Request *r)
{
    char *end, **lines;
    ssize_t n;
    size_t i;

    memset(r, 0, sizeof *r);
    while (!(end = strstr(buf, "\r\n\r\n"))) {
        n = recv(fd, buf + *len, INST_HEAD_BYTES - 1 - *len, 0);
        if (n <= 0) {
            return 0;
        }
        *len += (size_t)n;
        buf[*len] = '\0';
    }
    *end = '\0';
    lines = g_strsplit(buf, "\r\n", -1);
    if (sscanf(lines[0], "%15s %4095s", r->method, r->path) != 2) {
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
take_status(void *ctx, SpMsg *m)
{
    *(int *)ctx = m->status;
    SpMsg_Free(m);
    return 1;
}

int
read_status(int fd)
{
    char buf[ANSWER_BYTES];
    SpMsgReader r;
    int status = 0;
    ssize_t n;

    SpMsgReader_Init(&r, HTTP_RESPONSE);
    r.done = take_status;
    r.ctx = &status;
    r.max_head = r.max_body = ANSWER_BYTES;
    do {
        n = recv(fd, buf, sizeof buf, 0);
        if (n > 0) {
            SpMsgReader_Feed(&r, buf, (size_t)n);
        }
        else if (n == 0) {
            SpMsgReader_End(&r);
        }
    } while (n > 0 && !status && r.state == SP_READ_OK);
    SpMsgReader_Clear(&r);
    return status;
}

int
skip_body(int fd, char *buf, size_t *len, size_t body)
{
    size_t here = MIN(*len, body);
    ssize_t n;

    memmove(buf, buf + here, *len - here + 1);
    *len -= here;
    for (body -= here; body > 0; body -= (size_t)n) {
        n = recv(fd, buf + *len, MIN(body, INST_HEAD_BYTES - 1 - *len), 0);
        if (n <= 0) {
            return 0;
        }
    }
    buf[*len] = '\0';
    return 1;
}
