/*
 * store: the platform's metadata store, for the review: append, read with its
 * limit max_kb, and the newest record of each key, as PROTOCOL.md has them.
 *
 *   store -l ADDR -o RECORD [-s FILE]
 *
 * When FILE appears, the connections that are open then go silent for good:
 * they stay open, what comes on them isn't acted on, nothing is sent. New
 * connections work.
 */
#include "net.h"

#define MAX_RECORDS 4096
#define MAX_TOPICS 16
#define DEFAULT_MAX_KB 1024
#define RECORD_BYTES 262144
#define CALL_BYTES 2097152
#define POLL_MS 5

typedef struct Record {
    unsigned char *p;
    size_t n;
} Record;

typedef struct Topic {
    char name[128];
    Record records[MAX_RECORDS];
    size_t n;
} Topic;

static struct {
    const char *addr, *silence;
    FILE *out;
    Topic *topics[MAX_TOPICS];
    int silent_since; /* number of the first connection after the silence */
    int conns;
    pthread_mutex_t lock;
} s = {.lock = PTHREAD_MUTEX_INITIALIZER};

typedef struct Client {
    Reader r;
    int number;
} Client;

static Topic *
topic(const char *name)
{
    int i;

    for (i = 0; i < MAX_TOPICS; i++) {
        if (!s.topics[i]) {
            s.topics[i] = calloc(1, sizeof(Topic));
            snprintf(s.topics[i]->name, sizeof s.topics[i]->name, "%s", name);
        }
        if (strcmp(s.topics[i]->name, name) == 0) {
            return s.topics[i];
        }
    }
    exit(2);
}

static int
param(const char *path, const char *name, char *to, size_t size)
{
    char key[64];
    const char *v;
    size_t n;

    snprintf(key, sizeof key, "%s=", name);
    for (v = strchr(path, '?'); v; v = strchr(v + 1, '&')) {
        if (strncmp(v + 1, key, strlen(key)) == 0) {
            v += 1 + strlen(key);
            n = strcspn(v, "&");
            n = n < size - 1 ? n : size - 1;
            memcpy(to, v, n);
            to[n] = '\0';
            return 1;
        }
    }
    to[0] = '\0';
    return 0;
}

static long
number(const char *path, const char *name, long fallback)
{
    char text[32];

    return param(path, name, text, sizeof text) ? strtol(text, NULL, 10)
                                                : fallback;
}

static void
put(unsigned char *p, uint64_t v, int bytes)
{
    while (bytes--) {
        *p++ = (unsigned char)(v >> (8 * bytes));
    }
}

static int
is_silent(const Client *c)
{
    return c->number < __atomic_load_n(&s.silent_since, __ATOMIC_SEQ_CST);
}

static int
answer(Client *c, int status, const void *body, size_t n)
{
    char head[128];
    int k = snprintf(head, sizeof head,
                     "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n", status,
                     n);

    while (is_silent(c)) {
        sleep_ms(1000);
    }
    return send_all(c->r.fd, head, (size_t)k) && send_all(c->r.fd, body, n);
}

static int
append(Client *c, const unsigned char *p, size_t n)
{
    char name[128], text[128];
    Topic *t;
    size_t first;
    int k;

    param(c->r.path, "topic", name, sizeof name);
    pthread_mutex_lock(&s.lock);
    t = topic(name);
    first = t->n;
    while (n >= 4 && t->n < MAX_RECORDS) {
        size_t len = (size_t)p[0] << 24 | p[1] << 16 | p[2] << 8 | p[3];
        if (len > n - 4 || len > RECORD_BYTES) {
            break;
        }
        t->records[t->n].p = malloc(len);
        t->records[t->n].n = len;
        memcpy(t->records[t->n++].p, p + 4, len);
        p += 4 + len;
        n -= 4 + len;
    }
    k = snprintf(text, sizeof text, "{\"offset\":%zu,\"end_offset\":%zu}",
                 first, t->n);
    record(s.out, "store: %s has %zu records", name, t->n);
    pthread_mutex_unlock(&s.lock);
    return answer(c, n ? 400 : 200, text, (size_t)k);
}

/* The records from an offset on, at most max_kb of them. */
static int
answer_records(Client *c, const Topic *t, size_t from, size_t max)
{
    size_t n = 16, i, size = 16;
    unsigned char *p;
    int ok;

    for (i = from; i < t->n && size + 4 + t->records[i].n <= 16 + max; i++) {
        size += 4 + t->records[i].n;
    }
    p = malloc(size);
    put(p, t->n, 8);
    put(p + 8, 0, 8);
    for (i = from; n < size; i++) {
        put(p + n, t->records[i].n, 4);
        memcpy(p + n + 4, t->records[i].p, t->records[i].n);
        n += 4 + t->records[i].n;
    }
    if (from < t->n) {
        record(s.out, "store: read of %s from %zu got %zu of %zu, %zu bytes",
               t->name, from, i - from, t->n - from, n);
    }
    pthread_mutex_unlock(&s.lock);
    ok = answer(c, 200, p, n);
    free(p);
    return ok;
}

static int
read_log(Client *c)
{
    char name[128];
    size_t from = (size_t)number(c->r.path, "from", 0);
    size_t max = (size_t)number(c->r.path, "max_kb", DEFAULT_MAX_KB) * 1024;
    int64_t end = now_ms() + number(c->r.path, "wait_ms", 0);
    const Topic *t;

    param(c->r.path, "topic", name, sizeof name);
    for (;;) {
        pthread_mutex_lock(&s.lock);
        t = topic(name);
        if (from < t->n || now_ms() >= end) {
            return answer_records(c, t, from, max);
        }
        pthread_mutex_unlock(&s.lock);
        sleep_ms(POLL_MS);
    }
}

static size_t
base64(char *to, const unsigned char *p, size_t n)
{
    static const char d[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    char *q = to;
    size_t i;

    for (i = 0; i < n; i += 3) {
        unsigned v = (unsigned)p[i] << 16 | (i + 1 < n ? p[i + 1] << 8 : 0) |
                     (i + 2 < n ? p[i + 2] : 0);
        *q++ = d[v >> 18];
        *q++ = d[v >> 12 & 63];
        *q++ = i + 1 < n ? d[v >> 6 & 63] : '=';
        *q++ = i + 2 < n ? d[v & 63] : '=';
    }
    return (size_t)(q - to);
}

/* 1 if a later record has the same key. */
static int
is_superseded(const Topic *t, size_t i)
{
    size_t k, n = 1 + (size_t)t->records[i].p[0];

    for (k = i + 1; k < t->n; k++) {
        if (memcmp(t->records[k].p, t->records[i].p, n) == 0) {
            return 1;
        }
    }
    return 0;
}

/* One page: the topics of the review are small enough. */
static int
newest(Client *c)
{
    char name[128], *text;
    size_t n, i, size = 256;
    const Topic *t;
    int ok, some = 0;

    param(c->r.path, "topic", name, sizeof name);
    pthread_mutex_lock(&s.lock);
    t = topic(name);
    for (i = 0; i < t->n; i++) {
        size += 512 + t->records[i].n * 4 / 3;
    }
    text = malloc(size);
    n = (size_t)snprintf(text, size, "{\"items\":[");
    for (i = 0; i < t->n; i++) {
        const Record *r = &t->records[i];
        size_t key = r->p[0];
        if (is_superseded(t, i) || r->n <= 1 + key) {
            continue;
        }
        n += (size_t)snprintf(text + n, size - n,
                              "%s{\"key\":\"%.*s\",\"offset\":%zu,\"value\":\"",
                              some++ ? "," : "", (int)key, (char *)r->p + 1,
                              i);
        n += base64(text + n, r->p + 1 + key, r->n - 1 - key);
        n += (size_t)snprintf(text + n, size - n, "\"}");
    }
    n += (size_t)snprintf(text + n, size - n,
                          "],\"has_more\":false,\"end_offset\":%zu}", t->n);
    pthread_mutex_unlock(&s.lock);
    ok = answer(c, 200, text, n);
    free(text);
    return ok;
}

static int
respond(Client *c, const unsigned char *body, size_t n)
{
    static const char nothing[] = "{}";

    if (strncmp(c->r.path, "/log-append?", 12) == 0) {
        return append(c, body, n);
    }
    if (strncmp(c->r.path, "/log-read?", 10) == 0) {
        return read_log(c);
    }
    if (strncmp(c->r.path, "/log-newest?", 12) == 0) {
        return newest(c);
    }
    return answer(c, 404, nothing, 2);
}

static void *
serve(void *arg)
{
    Client *c = arg;
    unsigned char *body = malloc(CALL_BYTES);
    int ok = 1;

    while (ok && read_head(&c->r) && c->r.body_len <= CALL_BYTES) {
        size_t got = 0;
        while (got < c->r.body_len) {
            size_t n = c->r.body_len - got;
            if (c->r.len == 0 && !read_more(&c->r)) {
                break;
            }
            n = c->r.len < n ? c->r.len : n;
            memcpy(body + got, c->r.buf, n);
            drop_bytes(&c->r, n);
            got += n;
        }
        while (is_silent(c)) {
            sleep_ms(1000);
        }
        ok = got == c->r.body_len && respond(c, body, got) && !c->r.closes;
    }
    close(c->r.fd);
    free(body);
    free(c);
    return NULL;
}

/* Waits for the file that silences the open connections. */
static void *
watch(void *arg)
{
    (void)arg;
    while (access(s.silence, F_OK) != 0) {
        sleep_ms(POLL_MS);
    }
    __atomic_store_n(&s.silent_since,
                     __atomic_load_n(&s.conns, __ATOMIC_SEQ_CST),
                     __ATOMIC_SEQ_CST);
    record(s.out, "store: the open connections are silent from now on");
    return NULL;
}

int
main(int argc, char **argv)
{
    pthread_attr_t small;
    pthread_t th;
    int c, fd;

    while ((c = getopt(argc, argv, "l:o:s:")) != -1) {
        switch (c) {
        case 'l': s.addr = optarg; break;
        case 'o': s.out = fopen(optarg, "a"); break;
        case 's': s.silence = optarg; break;
        default: return 2;
        }
    }
    if (!s.addr || !s.out) {
        fprintf(stderr, "store -l ADDR -o RECORD [-s FILE]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    fd = listen_on(s.addr);
    pthread_attr_init(&small);
    pthread_attr_setstacksize(&small, 256 * 1024);
    pthread_attr_setdetachstate(&small, PTHREAD_CREATE_DETACHED);
    if (s.silence) {
        pthread_create(&th, &small, watch, NULL);
    }
    for (;;) {
        int one = 1, conn = accept(fd, NULL, NULL);
        Client *k;
        if (conn < 0) {
            continue;
        }
        setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        k = calloc(1, sizeof *k);
        k->r.fd = conn;
        k->number = __atomic_fetch_add(&s.conns, 1, __ATOMIC_SEQ_CST);
        pthread_create(&th, &small, serve, k);
    }
}
