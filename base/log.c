#include <ctype.h>
#include <stdarg.h>
#include <string.h>

#include "base/base.h"

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static struct {
    const char *prog;
    char name[64];
    SpLevel max;
    FILE *out;
    int64_t (*wall)(void);
} logger = {"siskinpond", "-", SP_LOG_INFO, NULL, NULL};

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
    fwrite(line, 1, n, logger.out ? logger.out : stderr);
}
