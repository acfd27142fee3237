#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static struct {
    const char *prog;
    char name[64];
    SpLevel max;
    FILE *out;
    int64_t (*wall)(void);
} logger = {"siskinpond", "-", SP_LOG_INFO, NULL, NULL};

/* Set up by SpLog_UseBuffer; fd is -1 before. */
static struct {
    int fd;
    char *buf;
    size_t len, size;
    int max_per_s;
    int accepted[2]; /* lines of this second: [1] error and warn, [0] others */
    int64_t second;
    uint64_t dropped, reported;
} log_buf = {.fd = -1};

int
SpLevel_Parse(const char *s, SpLevel *level)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(level_names[i], s) == 0) {
            *level = (SpLevel)i;
            return 1;
        }
    }
    return 0;
}

void
SpLog_Init(const char *prog, const char *name, SpLevel max, FILE *out,
           int64_t (*wall)(void))
{
    logger.prog = prog;
    g_strlcpy(logger.name, name, sizeof logger.name);
    logger.max = max;
    logger.out = out;
    logger.wall = wall;
}

static int
is_plain(const char *s)
{
    if (!*s) {
        return 0;
    }
    for (; *s; s++) {
        unsigned char c = (unsigned char)*s;
        if (c <= ' ' || c >= 127 || c == '"' || c == '=' || c == '\\') {
            return 0;
        }
    }
    return 1;
}

const char *
SpLog_Quote(char *buf, size_t n, const char *s)
{
    size_t i = 0;

    if (!s) {
        s = "";
    }
    if (is_plain(s)) {
        g_strlcpy(buf, s, n);
        return buf;
    }
    buf[i++] = '"';
    for (; *s && i + 6 < n; s++) {
        unsigned char c = (unsigned char)*s;
        if (c == '"' || c == '\\') {
            buf[i++] = '\\';
            buf[i++] = (char)c;
        }
        else if (c < ' ' || c == 127) {
            i += (size_t)g_snprintf(buf + i, n - i, "\\x%02x", c);
        }
        else {
            buf[i++] = (char)c;
        }
    }
    buf[i++] = '"';
    buf[i] = '\0';
    return buf;
}

void
SpLog_UseBuffer(int fd, size_t bytes, int max_per_s)
{
    int flags = fcntl(fd, F_GETFL);

    if (flags >= 0 && fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0) {
        SpLog(SP_LOG_WARN, "log-blocking", "errno=%d", errno);
    }
    log_buf.buf = g_malloc(bytes);
    log_buf.size = bytes;
    log_buf.max_per_s = max_per_s;
    log_buf.fd = fd;
}

static void
write_buffer(void)
{
    ssize_t n = write(log_buf.fd, log_buf.buf, log_buf.len);

    if (n <= 0) {
        return; /* the reader is slow or has closed; keep the buffered lines */
    }
    log_buf.len -= (size_t)n;
    memmove(log_buf.buf, log_buf.buf + n, log_buf.len);
}

static void
append_line(const char *line, size_t n, int urgent)
{
    if (log_buf.accepted[urgent] >= log_buf.max_per_s) {
        log_buf.dropped++;
        return;
    }
    if (log_buf.size - log_buf.len < n) {
        write_buffer();
    }
    if (log_buf.size - log_buf.len < n) {
        log_buf.dropped++;
        return;
    }
    memcpy(log_buf.buf + log_buf.len, line, n);
    log_buf.len += n;
    log_buf.accepted[urgent]++;
}

void
SpLog_Flush(int64_t now)
{
    if (log_buf.fd < 0) {
        return;
    }
    if (now / SP_SEC != log_buf.second) {
        log_buf.second = now / SP_SEC;
        log_buf.accepted[0] = log_buf.accepted[1] = 0;
        if (log_buf.dropped != log_buf.reported) {
            SpLog(SP_LOG_WARN, "log-lines-left-out", "lines=%" PRIu64,
                  log_buf.dropped - log_buf.reported);
            log_buf.reported = log_buf.dropped;
        }
    }
    if (log_buf.len) {
        write_buffer();
    }
}

uint64_t
SpLog_Dropped(void)
{
    return log_buf.dropped;
}

void
SpLog(SpLevel lv, const char *event, const char *fmt, ...)
{
    char line[2048];
    size_t n = 0;
    va_list ap;
    int k;

    if (lv > logger.max) {
        return;
    }
    if (logger.wall) {
        int64_t t = logger.wall();
        n = (size_t)g_snprintf(line, sizeof line, "at=%" PRId64 ".%06d ",
                               t / SP_SEC, (int)(t % SP_SEC));
    }
    n += (size_t)g_snprintf(line + n, sizeof line - n,
                            "level=%s prog=%s name=%s event=%s ",
                            level_names[lv], logger.prog, logger.name, event);
    va_start(ap, fmt);
    k = g_vsnprintf(line + n, sizeof line - n, fmt, ap);
    va_end(ap);
    n = k < 0 ? n : n + (size_t)k;
    if (n > sizeof line - 2) {
        n = sizeof line - 2;
    }
    line[n++] = '\n';
    if (log_buf.fd >= 0) {
        append_line(line, n, lv <= SP_LOG_WARN);
        return;
    }
    fwrite(line, 1, n, logger.out ? logger.out : stderr);
}
