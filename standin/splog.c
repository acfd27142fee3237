/* splog: simulates the platform's append-only log, for tests. */
#include <getopt.h>
#include <msgpack.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "web/web.h"

#define MAX_RECORD (2 << 20)

typedef struct Record {
    int64_t offset, at;
    GBytes *data;
} Record;

typedef struct Stream {
    GQueue records; /* of Record */
    int64_t next;
} Stream;

static struct {
    GHashTable *streams;
    int64_t retain_us;
    double rate; /* appends a second; 0 for no limit */
    double tokens;
    int64_t token_at;
    int down;    /* 1: responds with 503 only */
    int slow_ms; /* delay added to each response */
    double lose; /* share of appends that succeed but return 504 */
    uint64_t appends, lost, refused, reads;
    uint64_t rand;
    uv_loop_t *loop;
} st = {.retain_us = 3600 * SP_SEC};

typedef struct DelayedReply {
    uv_timer_t timer;
    SpWebReq *web;
    int status;
    char *body;
    size_t n;
} DelayedReply;

static void
on_delay_closed(uv_handle_t *t)
{
    DelayedReply *l = t->data;

    SpWebReq_Unref(l->web);
    g_free(l->body);
    g_free(l);
}

static void
send_delayed(uv_timer_t *t)
{
    DelayedReply *l = t->data;

    SpWebReq_Respond(l->web, l->status, NULL, 0, l->body, l->n);
    uv_close((uv_handle_t *)t, on_delay_closed);
}

static void
reply(SpWebReq *web, int status, const char *body, size_t n)
{
    DelayedReply *l;

    if (st.slow_ms == 0) {
        SpWebReq_Respond(web, status, NULL, 0, body, n);
        return;
    }
    l = g_new0(DelayedReply, 1);
    l->web = web;
    l->status = status;
    l->body = g_memdup2(body, n);
    l->n = n;
    SpWebReq_Ref(web);
    uv_timer_init(st.loop, &l->timer);
    l->timer.data = l;
    uv_timer_start(&l->timer, send_delayed, (uint64_t)st.slow_ms, 0);
}

static void
reply_text(SpWebReq *web, int status, const char *text)
{
    reply(web, status, text, strlen(text));
}

static Stream *
get_stream(const char *name)
{
    Stream *s = g_hash_table_lookup(st.streams, name);

    if (!s) {
        s = g_new0(Stream, 1);
        g_queue_init(&s->records);
        g_hash_table_insert(st.streams, g_strdup(name), s);
    }
    return s;
}

static void
trim(Stream *s, int64_t now)
{
    Record *r;

    while ((r = g_queue_peek_head(&s->records)) != NULL &&
           now - r->at > st.retain_us) {
        g_queue_pop_head(&s->records);
        g_bytes_unref(r->data);
        g_free(r);
    }
}

static int
take_token(int64_t now)
{
    if (st.rate <= 0) {
        return 1;
    }
    st.tokens += st.rate * (double)(now - st.token_at) / SP_SEC;
    st.tokens = MIN(st.tokens, st.rate);
    st.token_at = now;
    if (st.tokens < 1) {
        return 0;
    }
    st.tokens -= 1;
    return 1;
}

static void
handle_append(SpWebReq *web, Stream *s)
{
    int64_t now = SpClock_Now();
    size_t n;
    const char *p = SpWebReq_Body(web, &n);
    char body[64];
    Record *r;

    if (n > MAX_RECORD || !take_token(now)) {
        st.refused++;
        reply_text(web, n > MAX_RECORD ? 413 : 429, "not appended\n");
        return;
    }
    r = g_new0(Record, 1);
    r->offset = s->next++;
    r->at = now;
    r->data = g_bytes_new(p, n);
    g_queue_push_tail(&s->records, r);
    st.appends++;
    if (SpRand_Unit(&st.rand) < st.lose) {
        st.lost++;
        reply_text(web, 504, "lost\n");
        return;
    }
    g_snprintf(body, sizeof body, "{\"offset\": %" PRId64 "}\n", r->offset);
    reply_text(web, 200, body);
}

static int64_t
query_int(const char *path, const char *name, int64_t fallback)
{
    const char *p = strstr(path, name);

    return p ? g_ascii_strtoll(p + strlen(name), NULL, 10) : fallback;
}

static void
handle_read(SpWebReq *web, Stream *s)
{
    const char *path = SpWebReq_Path(web);
    int64_t from = query_int(path, "from=", 0);
    int64_t max = query_int(path, "max=", 100), oldest, count = 0;
    msgpack_sbuffer buf;
    msgpack_packer pk;
    GList *l;

    trim(s, SpClock_Now());
    st.reads++;
    l = s->records.head;
    oldest = l ? ((Record *)l->data)->offset : s->next;
    while (l && ((Record *)l->data)->offset < from) {
        l = l->next;
    }
    for (GList *k = l; k && count < max; k = k->next) {
        count++;
    }
    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 3);
    msgpack_pack_uint64(&pk, (uint64_t)oldest);
    msgpack_pack_uint64(&pk, (uint64_t)s->next);
    msgpack_pack_array(&pk, (size_t)count);
    for (; count > 0; count--, l = l->next) {
        Record *r = l->data;
        size_t n;
        const void *p = g_bytes_get_data(r->data, &n);
        msgpack_pack_array(&pk, 2);
        msgpack_pack_uint64(&pk, (uint64_t)r->offset);
        msgpack_pack_bin(&pk, n);
        msgpack_pack_bin_body(&pk, p, n);
    }
    reply(web, 200, buf.data, buf.size);
    msgpack_sbuffer_destroy(&buf);
}

/* Sets faults: {"down": bool, "slow_ms": N, "lose": share, "rate": N,
   "retain_ms": N}. Members that are left out keep their value. */
static void
handle_faults(SpWebReq *web)
{
    size_t n;
    const char *p = SpWebReq_Body(web, &n);
    json_t *j = json_loadb(p, n, 0, NULL), *v;

    if ((v = json_object_get(j, "down")) != NULL) {
        st.down = json_is_true(v);
    }
    if ((v = json_object_get(j, "slow_ms")) != NULL) {
        st.slow_ms = (int)json_integer_value(v);
    }
    if ((v = json_object_get(j, "lose")) != NULL) {
        st.lose = json_number_value(v);
    }
    if ((v = json_object_get(j, "rate")) != NULL) {
        st.rate = json_number_value(v);
    }
    if ((v = json_object_get(j, "retain_ms")) != NULL) {
        st.retain_us = json_integer_value(v) * SP_MS;
    }
    SpWebReq_Respond(web, j ? 200 : 400, NULL, 0, "", 0);
    json_decref(j);
}

static void
handle_counts(SpWebReq *web)
{
    char body[160];

    g_snprintf(body, sizeof body,
               "appends=%" PRIu64 " lost=%" PRIu64 " refused=%" PRIu64
               " reads=%" PRIu64 "\n",
               st.appends, st.lost, st.refused, st.reads);
    SpWebReq_Respond(web, 200, NULL, 0, body, strlen(body));
}

static void
on_request(void *ctx, SpWebReq *web)
{
    const char *path = SpWebReq_Path(web), *method = SpWebReq_Method(web);
    char name[64];
    size_t n;

    (void)ctx;
    if (strcmp(path, "/faults") == 0) {
        handle_faults(web);
        return;
    }
    if (strcmp(path, "/counts") == 0) {
        handle_counts(web);
        return;
    }
    if (st.down) {
        reply_text(web, 503, "down\n");
        return;
    }
    if (strncmp(path, "/streams/", 9) != 0) {
        reply_text(web, 404, "no such page\n");
        return;
    }
    n = strcspn(path + 9, "?");
    g_strlcpy(name, path + 9, MIN(n + 1, sizeof name));
    if (strcmp(method, "POST") == 0) {
        handle_append(web, get_stream(name));
    }
    else {
        handle_read(web, get_stream(name));
    }
}

static void
on_disconnect(void *ctx, SpWebReq *web)
{
    (void)ctx;
    (void)web;
}

static void
on_signal(uv_signal_t *s, int signum)
{
    (void)signum;
    uv_stop(s->loop);
}

static int
usage(FILE *f, int status)
{
    fprintf(f, "usage: splog -l IP:PORT [-r RATE] [-k RETAIN_MS]\n"
               "  -l, --listen ADDR     where to serve\n"
               "  -r, --rate N          appends a second at the most\n"
               "  -k, --retain-ms N     how long records are kept\n"
               "  -h, --help            print this\n");
    return status;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"listen", required_argument, NULL, 'l'},
        {"rate", required_argument, NULL, 'r'},
        {"retain-ms", required_argument, NULL, 'k'},
        {"help", no_argument, NULL, 'h'},
        {NULL, 0, NULL, 0}};
    SpWebOpts wo = {MAX_RECORD, 65536, 60000, 10000, 0};
    SpWebHandler h = {on_request, on_disconnect, NULL};
    const char *addr = NULL;
    uv_signal_t term;
    GError *err = NULL;
    SpWeb *w;
    int c;

    argv[0] = "splog"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "l:r:k:h", options, NULL)) != -1) {
        if (c == 'l') {
            addr = optarg;
        }
        else if (c == 'r') {
            st.rate = st.tokens = g_ascii_strtod(optarg, NULL);
        }
        else if (c == 'k') {
            st.retain_us = g_ascii_strtoll(optarg, NULL, 10) * SP_MS;
        }
        else {
            return usage(c == 'h' ? stdout : stderr, c == 'h' ? 0 : 2);
        }
    }
    if (!addr || !SpParse_Addr(addr, NULL, 0, NULL)) {
        return usage(stderr, 2);
    }
    signal(SIGPIPE, SIG_IGN);
    st.streams = g_hash_table_new(g_str_hash, g_str_equal);
    st.rand = 1;
    st.loop = uv_default_loop();
    w = SpWeb_New(st.loop, &wo);
    if (!SpWeb_Listen(w, addr, &h, &err)) {
        fprintf(stderr, "splog: %s\n", err->message);
        return 1;
    }
    SpWeb_Start(w);
    uv_signal_init(st.loop, &term);
    uv_signal_start(&term, on_signal, SIGTERM);
    uv_run(st.loop, UV_RUN_DEFAULT);
    return 0;
}
