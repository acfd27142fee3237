/* Helpers for libuv streams, for the server and the client. */
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>

#include "http/priv.h"

void
SpHttp_Alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
    static char read_buf[SP_HTTP_READ_BYTES];

    (void)h;
    (void)hint;
    *buf = uv_buf_init(read_buf, sizeof read_buf);
}

typedef struct PendingWrite {
    uv_write_t req;
    char *p;
    int *error; /* NULL: nobody asks */
} PendingWrite;

static void
on_written(uv_write_t *req, int status)
{
    PendingWrite *w = (PendingWrite *)req;

    if (status < 0 && status != UV_ECANCELED && w->error) {
        *w->error = status;
    }
    g_free(w->p);
    g_free(w);
}

ssize_t
SpHttp_Write(uv_stream_t *s, char *p, size_t n, int *error)
{
    uv_buf_t buf = uv_buf_init(p, (unsigned)n);
    ssize_t sent = 0;
    PendingWrite *w;
    int e;

    if (uv_stream_get_write_queue_size(s) == 0) {
        sent = uv_try_write(s, &buf, 1);
        if (sent < 0 && sent != UV_EAGAIN) {
            g_free(p);
            return sent;
        }
        sent = MAX(sent, 0);
    }
    if ((size_t)sent == n) {
        g_free(p);
        return sent;
    }
    w = g_new(PendingWrite, 1);
    w->p = p;
    w->error = error;
    buf = uv_buf_init(p + sent, (unsigned)(n - (size_t)sent));
    e = uv_write(&w->req, s, &buf, 1, on_written);
    if (e < 0) {
        g_free(p);
        g_free(w);
        return sent ? sent : e;
    }
    return sent;
}

int
SpHttp_IsReadable(const uv_handle_t *h)
{
    uv_os_fd_t fd;
    char b;
    ssize_t n;

    if (uv_fileno(h, &fd) != 0) {
        return 1;
    }
    n = recv(fd, &b, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

int
SpHttp_IsClosedByFin(const uv_handle_t *h, ssize_t n, int write_error)
{
    uv_os_fd_t fd;
    char b;
    ssize_t got;

    if (write_error) {
        return write_error == UV_EPIPE;
    }
    if (n != UV_EOF || uv_fileno(h, &fd) != 0) {
        return n == UV_EPIPE;
    }
    got = recv(fd, &b, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno == EPIPE);
}

int64_t
SpHttp_Now(void)
{
    struct timespec t;

    /* unlike CLOCK_MONOTONIC, it advances while the machine is suspended */
    clock_gettime(CLOCK_BOOTTIME, &t);
    return (int64_t)t.tv_sec * SP_SEC + t.tv_nsec / 1000;
}

int
SpHttp_ParseAddr(const char *s, struct sockaddr_in *sa)
{
    char ip[64];
    int port;

    return SpParse_Addr(s, ip, sizeof ip, &port) &&
           uv_ip4_addr(ip, port, sa) == 0;
}

int
SpHttp_ListenTcp(uv_loop_t *loop, uv_tcp_t *tcp, const char *addr, int backlog,
                 uv_connection_cb cb, GError **err)
{
    struct sockaddr_in sa;
    int e = UV_EINVAL;

    uv_tcp_init(loop, tcp);
    if (SpHttp_ParseAddr(addr, &sa)) {
        e = uv_tcp_bind(tcp, (const struct sockaddr *)&sa, 0);
    }
    if (e == 0) {
        e = uv_listen((uv_stream_t *)tcp, backlog, cb);
    }
    if (e != 0) {
        g_set_error(err, SP_ERROR, SP_ERROR_SYSTEM, "cannot listen on %s: %s",
                    addr, uv_strerror(e));
    }
    return e == 0;
}

const char *
SpHttp_Reason(int status)
{
    switch (status) {
#define REASON(num, name, text)                                               \
    case num:                                                                 \
        return #text;
        HTTP_STATUS_MAP(REASON)
#undef REASON
    default:
        return "Status";
    }
}

int
SpHttp_IsHopByHop(const char *name)
{
    static const char *const names[] = {
        "connection", "keep-alive", "proxy-connection",  "te",
        "trailer",    "upgrade",    "transfer-encoding", "content-length"};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcasecmp(name, names[i]) == 0) {
            return 1;
        }
    }
    return 0;
}

static int
compare_options(gconstpointer a, gconstpointer b)
{
    return strcasecmp(*(char *const *)a, *(char *const *)b);
}

/* Adds the options of one field, separated by commas and blanks. */
static void
add_options(GPtrArray *list, const char *s)
{
    size_t n;

    for (s += strspn(s, ", \t"); *s; s += n + strspn(s + n, ", \t")) {
        n = strcspn(s, ", \t");
        g_ptr_array_add(list, g_strndup(s, n));
    }
}

void
SpConnOptions_Read(const SpMsg *m, SpConnOptions *o)
{
    int i;

    o->list = g_ptr_array_new_with_free_func(g_free);
    for (i = 0; i < m->nheaders; i++) {
        if (strcasecmp(m->headers[i].name, "Connection") == 0) {
            add_options(o->list, m->headers[i].value);
        }
    }
    g_ptr_array_sort(o->list, compare_options);
}

int
SpConnOptions_Has(const SpConnOptions *o, const char *name)
{
    return o->list->len && bsearch(&name, o->list->pdata, o->list->len,
                                   sizeof name, compare_options) != NULL;
}

void
SpConnOptions_Clear(SpConnOptions *o)
{
    g_ptr_array_unref(o->list);
}
