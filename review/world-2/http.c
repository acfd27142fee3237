/* HTTP/1.1 on blocking sockets, as little as the cases need. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

static struct sockaddr_in
address(const char *ip, int port)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};

    inet_pton(AF_INET, ip, &sa.sin_addr);
    return sa;
}

int
http_listen(const char *ip, int port)
{
    struct sockaddr_in sa = address(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&sa, sizeof sa) != 0 ||
        listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
http_connect(const char *ip, int port)
{
    struct sockaddr_in sa = address(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    if (connect(fd, (struct sockaddr *)&sa, sizeof sa) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

int
http_send(int fd, const void *p, size_t n)
{
    const char *s = p;

    while (n) {
        ssize_t k = send(fd, s, n, MSG_NOSIGNAL);
        if (k < 0 && errno == EINTR) {
            continue;
        }
        if (k <= 0) {
            return 0;
        }
        s += k;
        n -= (size_t)k;
    }
    return 1;
}

int
http_sendf(int fd, const char *fmt, ...)
{
    char *s;
    va_list ap;
    int n, ok;

    va_start(ap, fmt);
    n = vasprintf(&s, fmt, ap);
    va_end(ap);
    ok = n >= 0 && http_send(fd, s, (size_t)n);
    free(s);
    return ok;
}

static int
wait_readable(int fd, double until)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};
    int ms = (int)((until - world_now()) * 1000);

    return ms > 0 && poll(&p, 1, ms) > 0;
}

static int
read_some(int fd, char *to, size_t n, double until)
{
    ssize_t k;

    if (!wait_readable(fd, until)) {
        return 0;
    }
    k = recv(fd, to, n, 0);
    return k > 0 ? (int)k : 0;
}

const char *
message_header(const Message *m, const char *name, char *buf, size_t size)
{
    const char *s = m->head, *end;
    size_t n = strlen(name), len;

    for (; *s; s = end + 2) {
        end = strstr(s, "\r\n");
        if (!end) {
            return NULL;
        }
        if (strncasecmp(s, name, n) == 0 && s[n] == ':') {
            s += n + 1;
            s += strspn(s, " ");
            len = (size_t)(end - s);
            len = len < size - 1 ? len : size - 1;
            memcpy(buf, s, len);
            buf[len] = '\0';
            return buf;
        }
    }
    return NULL;
}

void
message_free(Message *m)
{
    free(m->body);
    m->body = NULL;
}

static int
read_line(int fd, char *line, size_t size, double until)
{
    size_t n = 0;

    while (n + 1 < size) {
        if (!read_some(fd, line + n, 1, until)) {
            return 0;
        }
        n++;
        if (n >= 2 && line[n - 2] == '\r' && line[n - 1] == '\n') {
            line[n - 2] = '\0';
            return 1;
        }
    }
    return 0;
}

int
message_read(int fd, Message *m, int is_answer, double timeout_s)
{
    char line[8192], value[64];
    double until = world_now() + timeout_s;
    size_t got = 0, head = 0, n;
    int k;

    memset(m, 0, sizeof *m);
    if (!read_line(fd, line, sizeof line, until)) {
        return 0;
    }
    if (is_answer) {
        if (sscanf(line, "HTTP/1.%*d %d", &m->status) != 1) {
            return 0;
        }
    }
    else if (sscanf(line, "%15s %511s", m->method, m->target) != 2) {
        return 0;
    }
    while (read_line(fd, line, sizeof line, until) && line[0]) {
        n = strlen(line);
        if (head + n + 3 > sizeof m->head) {
            return 0;
        }
        memcpy(m->head + head, line, n);
        memcpy(m->head + head + n, "\r\n", 3);
        head += n + 2;
    }
    if (line[0]) {
        return 0;
    }
    if (message_header(m, "Content-Length", value, sizeof value)) {
        m->body_len = strtoul(value, NULL, 10);
    }
    m->body = calloc(1, m->body_len + 1);
    while (got < m->body_len) {
        k = read_some(fd, m->body + got, m->body_len - got, until);
        if (!k) {
            message_free(m);
            return 0;
        }
        got += (size_t)k;
    }
    return 1;
}

int
http_call(const char *ip, int port, const char *request, Message *answer,
          double timeout_s)
{
    Message m;
    int fd = http_connect(ip, port), ok;

    memset(&m, 0, sizeof m);
    if (fd < 0) {
        if (answer) {
            *answer = m;
        }
        return 0;
    }
    ok = http_send(fd, request, strlen(request)) &&
         message_read(fd, &m, 1, timeout_s);
    close(fd);
    if (!ok) {
        memset(&m, 0, sizeof m);
    }
    if (answer) {
        *answer = m;
    }
    else {
        message_free(&m);
    }
    return ok ? m.status : 0;
}

typedef struct Served {
    int fd;
    Handler h;
} Served;

#define KEPT_S 60.0

static void *
serve_connection(void *p)
{
    Served s = *(Served *)p;
    Message m;

    free(p);
    while (message_read(s.fd, &m, 0, KEPT_S)) {
        s.h(s.fd, &m);
        message_free(&m);
    }
    close(s.fd);
    return NULL;
}

static void *
accept_connections(void *p)
{
    Served l = *(Served *)p;
    pthread_t t;
    int fd, on = 1;

    free(p);
    for (;;) {
        Served *s;
        fd = accept4(l.fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EINTR || errno == ECONNABORTED) {
                continue;
            }
            return NULL;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        s = malloc(sizeof *s);
        *s = (Served){fd, l.h};
        pthread_create(&t, NULL, serve_connection, s);
        pthread_detach(t);
    }
}

void
http_serve(const char *ip, int port, Handler h)
{
    Served *l = malloc(sizeof *l);
    pthread_t t;

    *l = (Served){http_listen(ip, port), h};
    if (l->fd < 0) {
        world_log("cannot listen on %s:%d", ip, port);
        world_end(CASE_UNUSABLE);
    }
    pthread_create(&t, NULL, accept_connections, l);
    pthread_detach(t);
}
