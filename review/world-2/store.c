/*
 * The platform's store: a log with keyed topics of one partition, as
 * PROTOCOL.md has it. It may go away and come back from a copy, with the next
 * Store-Era.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

#define TOPICS 16
#define RECORDS 4096
#define CONNS 512
#define PAGE_ITEMS 500

typedef struct Record {
    unsigned char *bytes; /* length of the key, key, value */
    size_t len;
} Record;

typedef struct Topic {
    char name[128];
    Record records[RECORDS];
    int64_t end, copied;
} Topic;

int64_t store_era = 1;
static Topic topics[TOPICS];
static int listener = -1, conns[CONNS];
static volatile int is_away;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static Topic *
topic_of(const char *name)
{
    int i;

    for (i = 0; i < TOPICS; i++) {
        if (!topics[i].name[0]) {
            snprintf(topics[i].name, sizeof topics[i].name, "%s", name);
        }
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    world_log("store: too many topics");
    world_end(CASE_UNUSABLE);
}

static void
add_record(Topic *t, const void *p, size_t n)
{
    Record *r = &t->records[t->end];

    if (t->end == RECORDS) {
        world_end(CASE_UNUSABLE);
    }
    r->bytes = malloc(n + 1);
    memcpy(r->bytes, p, n);
    r->len = n;
    t->end++;
}

int64_t
store_put(const char *topic, const char *key, const char *value)
{
    size_t k = strlen(key), v = strlen(value);
    unsigned char *p = malloc(1 + k + v);
    Topic *t;
    int64_t at;

    p[0] = (unsigned char)k;
    memcpy(p + 1, key, k);
    memcpy(p + 1 + k, value, v);
    pthread_mutex_lock(&lock);
    t = topic_of(topic);
    at = t->end;
    add_record(t, p, 1 + k + v);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    free(p);
    return at;
}

int64_t
store_end_offset(const char *topic)
{
    int64_t end;

    pthread_mutex_lock(&lock);
    end = topic_of(topic)->end;
    pthread_mutex_unlock(&lock);
    return end;
}

static int
query(const Message *m, const char *name, char *to, size_t size)
{
    const char *s = strchr(m->target, '?');
    size_t n = strlen(name), k = 0;

    to[0] = '\0';
    while (s) {
        s++;
        if (strncmp(s, name, n) == 0 && s[n] == '=') {
            for (s += n + 1; *s && *s != '&' && k + 1 < size; s++) {
                if (*s == '%' && s[1] && s[2]) {
                    char hex[3] = {s[1], s[2], 0};
                    to[k++] = (char)strtol(hex, NULL, 16);
                    s += 2;
                }
                else {
                    to[k++] = *s;
                }
            }
            to[k] = '\0';
            return 1;
        }
        s = strchr(s, '&');
    }
    return 0;
}

static void
answer(int fd, int status, const char *type, const void *body, size_t n)
{
    char head[256];
    int k = snprintf(head, sizeof head,
                     "HTTP/1.1 %d Status\r\nStore-Era: %lld\r\n"
                     "Content-Type: %s\r\nContent-Length: %zu\r\n\r\n",
                     status, (long long)store_era, type, n);
    char *all = malloc((size_t)k + n);

    memcpy(all, head, (size_t)k);
    memcpy(all + k, body, n);
    http_send(fd, all, (size_t)k + n);
    free(all);
}

static void
answer_text(int fd, int status, const char *text)
{
    answer(fd, status, "application/json", text, strlen(text));
}

static void
put_number(unsigned char *to, uint64_t v, int bytes)
{
    int i;

    for (i = bytes - 1; i >= 0; i--) {
        to[i] = (unsigned char)v;
        v >>= 8;
    }
}

static void
append(int fd, const Message *m, Topic *t)
{
    const unsigned char *p = (const unsigned char *)m->body;
    size_t left = m->body_len, n;
    char text[128];
    int64_t first;

    pthread_mutex_lock(&lock);
    first = t->end;
    while (left >= 4) {
        n = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
        if (n > left - 4) {
            break;
        }
        add_record(t, p + 4, n);
        p += 4 + n;
        left -= 4 + n;
    }
    snprintf(text, sizeof text, "{\"offset\":%lld,\"end_offset\":%lld}",
             (long long)first, (long long)t->end);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    answer_text(fd, 200, text);
}

/* A read from an offset that the topic doesn't have gets 410; one from its end
   waits. */
static void
read_log(int fd, const Message *m, Topic *t)
{
    char text[64];
    int64_t from, i, era = store_era;
    double until;
    unsigned char *out;
    size_t n = 16, at;

    query(m, "from", text, sizeof text);
    from = strtoll(text, NULL, 10);
    query(m, "wait_ms", text, sizeof text);
    until = world_now() + strtod(text, NULL) / 1000;
    pthread_mutex_lock(&lock);
    if (strcmp(t->name, "keyed.op") == 0) {
        world_log("store: a read of %s from %lld, its end is %lld", t->name,
                  (long long)from, (long long)t->end);
    }
    while (!is_away && store_era == era && from >= t->end &&
           from <= t->end && world_now() < until) {
        struct timespec ts;
        clock_gettime(CLOCK_REALTIME, &ts);
        ts.tv_nsec += 20000000;
        if (ts.tv_nsec >= 1000000000) {
            ts.tv_sec++;
            ts.tv_nsec -= 1000000000;
        }
        pthread_cond_timedwait(&changed, &lock, &ts);
    }
    if (from > t->end) {
        pthread_mutex_unlock(&lock);
        answer_text(fd, 410, "{\"first\":0}");
        return;
    }
    for (i = from; i < t->end; i++) {
        n += 4 + t->records[i].len;
    }
    out = malloc(n);
    put_number(out, (uint64_t)t->end, 8);
    put_number(out + 8, 0, 8);
    at = 16;
    for (i = from; i < t->end; i++) {
        put_number(out + at, t->records[i].len, 4);
        memcpy(out + at + 4, t->records[i].bytes, t->records[i].len);
        at += 4 + t->records[i].len;
    }
    pthread_mutex_unlock(&lock);
    answer(fd, 200, "application/octet-stream", out, n);
    free(out);
}

static char *
base64(const unsigned char *p, size_t n)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";
    char *s = malloc(n * 4 / 3 + 8), *o = s;
    size_t i;

    for (i = 0; i < n; i += 3) {
        unsigned v = (unsigned)p[i] << 16 | (i + 1 < n ? p[i + 1] << 8 : 0) |
                     (i + 2 < n ? p[i + 2] : 0);
        *o++ = digits[v >> 18];
        *o++ = digits[v >> 12 & 63];
        *o++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
        *o++ = i + 2 < n ? digits[v & 63] : '=';
    }
    *o = '\0';
    return s;
}

static int
is_newest(const Topic *t, int64_t i)
{
    const Record *r = &t->records[i];
    int64_t k;

    for (k = i + 1; k < t->end; k++) {
        if (memcmp(t->records[k].bytes, r->bytes, 1 + (size_t)r->bytes[0]) ==
            0) {
            return 0;
        }
    }
    return r->len > 1 + (size_t)r->bytes[0];
}

/* All keys fit one page in these cases. */
static void
newest(int fd, Topic *t)
{
    char *text = NULL, *v;
    size_t size = 0;
    FILE *f = open_memstream(&text, &size);
    int64_t i;
    int n = 0;

    pthread_mutex_lock(&lock);
    fprintf(f, "{\"items\":[");
    for (i = 0; i < t->end; i++) {
        const Record *r = &t->records[i];
        size_t k = r->bytes[0];
        if (!is_newest(t, i)) {
            continue;
        }
        v = base64(r->bytes + 1 + k, r->len - 1 - k);
        fprintf(f, "%s{\"key\":\"%.*s\",\"value\":\"%s\",\"offset\":%lld}",
                n++ ? "," : "", (int)k, (const char *)r->bytes + 1, v,
                (long long)i);
        free(v);
    }
    fprintf(f, "],\"has_more\":false,\"end_offset\":%lld}", (long long)t->end);
    fclose(f);
    if (strcmp(t->name, "keyed.op") == 0) {
        world_log("store: the newest records of %s are read, its end is %lld",
                  t->name, (long long)t->end);
    }
    pthread_mutex_unlock(&lock);
    answer_text(fd, 200, text);
    free(text);
}

static void
on_store_call(int fd, Message *m)
{
    char name[128];
    Topic *t;

    if (!query(m, "topic", name, sizeof name)) {
        answer_text(fd, 400, "{}");
        return;
    }
    pthread_mutex_lock(&lock);
    t = topic_of(name);
    pthread_mutex_unlock(&lock);
    if (strncmp(m->target, "/log-append?", 12) == 0) {
        append(fd, m, t);
    }
    else if (strncmp(m->target, "/log-read?", 10) == 0) {
        read_log(fd, m, t);
    }
    else if (strncmp(m->target, "/log-newest?", 12) == 0) {
        newest(fd, t);
    }
    else {
        answer_text(fd, 404, "{}");
    }
}

static void *
serve(void *p)
{
    int slot = (int)(intptr_t)p, fd = conns[slot];
    Message m;

    while (!is_away && message_read(fd, &m, 0, 60)) {
        on_store_call(fd, &m);
        message_free(&m);
    }
    pthread_mutex_lock(&lock);
    conns[slot] = -1;
    pthread_mutex_unlock(&lock);
    close(fd);
    return NULL;
}

static void
keep_connection(int fd)
{
    pthread_t t;
    int i, on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    pthread_mutex_lock(&lock);
    for (i = 0; i < CONNS && conns[i] >= 0; i++) {
    }
    if (i == CONNS) {
        pthread_mutex_unlock(&lock);
        close(fd);
        return;
    }
    conns[i] = fd;
    pthread_mutex_unlock(&lock);
    pthread_create(&t, NULL, serve, (void *)(intptr_t)i);
    pthread_detach(t);
}

static void *
accept_calls(void *p)
{
    int l = (int)(intptr_t)p, fd;

    while ((fd = accept4(l, NULL, NULL, SOCK_CLOEXEC)) >= 0 ||
           errno == EINTR || errno == ECONNABORTED) {
        if (fd >= 0) {
            keep_connection(fd);
        }
    }
    return NULL;
}

static void
open_listener(void)
{
    pthread_t t;
    int i;

    for (i = 0; i < 100; i++) {
        listener = http_listen(world_ip(250), WORLD_PORT_STORE);
        if (listener >= 0) {
            break;
        }
        world_sleep(0.01);
    }
    if (listener < 0) {
        world_log("store: cannot listen");
        world_end(CASE_UNUSABLE);
    }
    pthread_create(&t, NULL, accept_calls, (void *)(intptr_t)listener);
    pthread_detach(t);
}

void
store_start(void)
{
    int i;

    for (i = 0; i < CONNS; i++) {
        conns[i] = -1;
    }
    open_listener();
}

void
store_copy(void)
{
    int i;

    pthread_mutex_lock(&lock);
    for (i = 0; i < TOPICS; i++) {
        topics[i].copied = topics[i].end;
    }
    pthread_mutex_unlock(&lock);
    world_log("store: a copy is made");
}

void
store_leave(void)
{
    int i;

    is_away = 1;
    shutdown(listener, SHUT_RDWR);
    close(listener);
    pthread_mutex_lock(&lock);
    for (i = 0; i < CONNS; i++) {
        if (conns[i] >= 0) {
            shutdown(conns[i], SHUT_RDWR);
        }
    }
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    world_log("store: away");
}

void
store_return(int restored)
{
    int i;

    pthread_mutex_lock(&lock);
    for (i = 0; restored && i < TOPICS; i++) {
        topics[i].end = topics[i].copied;
    }
    store_era += restored;
    is_away = 0;
    pthread_mutex_unlock(&lock);
    open_listener();
    world_log("store: back%s, era %lld, the end of keyed.op is %lld",
              restored ? " from the copy" : "", (long long)store_era,
              (long long)store_end_offset("keyed.op"));
}
