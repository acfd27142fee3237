/*
 * spstore: simulates the platform's metadata store, for tests. It implements
 * the published API of a log with keyed topics: conditional append, long-poll
 * read of at most max_kb, newest record of each key in pages (-i ITEMS a
 * page), trim. PUT /standin?mode=MODE selects how it responds: ok, down (503),
 * silent (no response), lost (appends take effect but get no response), slow
 * (pages are made SLOW_MS after their request), broken (reads get responses
 * that are none: a name of a field has a blank). Its response counts the
 * calls.
 */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "http/http.h"

#define LENGTH_BYTES 4
#define MAX_ITEMS 500
#define PAGE_BYTES ((size_t)1 << 20)
#define READ_KB 1024
#define KB ((size_t)1024)
#define SLOW_MS 700

typedef struct Record {
    int64_t offset;
    char *bytes;
    size_t len;
} Record;

typedef struct Topic {
    char *name;
    GArray *records; /* of Record */
    int64_t first;   /* oldest offset that may be read */
} Topic;

/* A long-poll read that waits for a record. */
typedef struct PendingRead {
    SpHttpReq *req;
    Topic *topic;
    int64_t from, deadline;
    size_t max; /* bytes of records in its response */
} PendingRead;

/* A request for a page that is handled later. */
typedef struct SlowPage {
    SpHttpReq *req;
    int64_t at;
} SlowPage;

typedef enum {
    MODE_OK,
    MODE_DOWN,
    MODE_SILENT,
    MODE_LOST,
    MODE_SLOW,
    MODE_BROKEN
} Mode;

static const char *const mode_names[] = {"ok",   "down", "silent",
                                         "lost", "slow", "broken"};

static struct {
    uv_loop_t *loop;
    SpHttpServer *http;
    GHashTable *topics;
    GPtrArray *pending_reads;
    GQueue slow_pages; /* of SlowPage, in the order of at */
    Mode mode;
    size_t page_items;
    int64_t mute_before; /* connections opened before this are silent */
    int writes, reads;
} store = {.page_items = MAX_ITEMS};

static char *
query_param(const SpMsg *m, const char *name)
{
    const char *q = strchr(m->target, '?');
    GHashTable *h =
        q ? g_uri_parse_params(q + 1, -1, "&", G_URI_PARAMS_NONE, NULL) : NULL;
    const char *v = h ? g_hash_table_lookup(h, name) : NULL;
    char *copy = g_strdup(v);

    if (h) {
        g_hash_table_destroy(h);
    }
    return copy;
}

static int64_t
query_int(const SpMsg *m, const char *name, int64_t fallback)
{
    char *v = query_param(m, name);
    int64_t n = v ? g_ascii_strtoll(v, NULL, 10) : fallback;

    g_free(v);
    return n;
}

static void reply_json(SpHttpReq *r, int status, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* Returns a header line for the response to a read. */
static const char *
read_line(void)
{
    return store.mode == MODE_BROKEN ? "X Y: z\r\n" : "X-Y: z\r\n";
}

static void
reply_json(SpHttpReq *r, int status, const char *fmt, ...)
{
    va_list ap;
    char *s;

    va_start(ap, fmt);
    s = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    SpHttpReq_Respond(r, status, "Content-Type: application/json\r\n", s,
                      strlen(s));
    g_free(s);
}

static Topic *
get_topic(const SpMsg *m)
{
    char *name = query_param(m, "topic");
    Topic *t = name ? g_hash_table_lookup(store.topics, name) : NULL;

    if (!t && name) {
        t = g_new0(Topic, 1);
        t->name = g_strdup(name);
        t->records = g_array_new(FALSE, TRUE, sizeof(Record));
        g_hash_table_insert(store.topics, t->name, t);
    }
    g_free(name);
    return t;
}

static uint32_t
length_at(const char *p)
{
    const unsigned char *u = (const unsigned char *)p;

    return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 | (uint32_t)u[2] << 8 |
           u[3];
}

static void
append_number(GByteArray *b, uint64_t v, int bytes)
{
    guint8 c;

    while (bytes--) {
        c = (guint8)(v >> (8 * bytes));
        g_byte_array_append(b, &c, 1);
    }
}

static int64_t
end_offset(const Topic *t)
{
    return (int64_t)t->records->len;
}

/* Replies with the records from an offset on that have at most max bytes
   together, and with the first of them in any case. */
static void
reply_records(SpHttpReq *r, const Topic *t, int64_t from, size_t max)
{
    GByteArray *b = g_byte_array_new();
    size_t bytes = 0;
    int64_t i;

    append_number(b, (uint64_t)end_offset(t), 8);
    append_number(b, (uint64_t)t->first, 8);
    for (i = from; i < end_offset(t); i++) {
        const Record *rec = &g_array_index(t->records, Record, i);
        bytes += LENGTH_BYTES + rec->len;
        if (i > from && bytes > max) {
            break;
        }
        append_number(b, rec->len, LENGTH_BYTES);
        g_byte_array_append(b, (const guint8 *)rec->bytes, (guint)rec->len);
    }
    SpHttpReq_Respond(r, 200, read_line(), (const char *)b->data, b->len);
    g_byte_array_unref(b);
}

static void
wake_readers(const Topic *t)
{
    guint i;

    for (i = store.pending_reads->len; i > 0; i--) {
        PendingRead *w = g_ptr_array_index(store.pending_reads, i - 1);
        if (w->topic == t && w->from < end_offset(t)) {
            g_ptr_array_remove_index_fast(store.pending_reads, i - 1);
            reply_records(w->req, t, w->from, w->max);
            g_free(w);
        }
    }
}

static void
handle_append(SpHttpReq *r, const SpMsg *m, Topic *t)
{
    int64_t at = query_int(m, "at", -1), first = end_offset(t);
    const char *p = m->body;
    size_t left = m->body_len;
    Record rec;

    if (at >= 0 && at != first) {
        reply_json(r, 412, "{\"end_offset\":%" PRId64 "}", first);
        return;
    }
    while (left >= LENGTH_BYTES && left - LENGTH_BYTES >= length_at(p)) {
        rec.len = length_at(p);
        rec.offset = end_offset(t);
        rec.bytes = g_memdup2(p + LENGTH_BYTES, rec.len);
        g_array_append_val(t->records, rec);
        p += LENGTH_BYTES + rec.len;
        left -= LENGTH_BYTES + rec.len;
    }
    store.writes++;
    wake_readers(t);
    if (store.mode != MODE_LOST) {
        reply_json(r, 200,
                   "{\"offset\":%" PRId64 ",\"end_offset\":%" PRId64 "}",
                   first, end_offset(t));
    }
}

static void
handle_read(SpHttpReq *r, const SpMsg *m, Topic *t)
{
    int64_t from = query_int(m, "from", 0);
    size_t max = (size_t)query_int(m, "max_kb", READ_KB) * KB;
    PendingRead *w;

    store.reads++;
    if (from < t->first) {
        reply_json(r, 410, "{\"first\":%" PRId64 "}", t->first);
        return;
    }
    if (from < end_offset(t)) {
        reply_records(r, t, from, max);
        return;
    }
    w = g_new0(PendingRead, 1);
    w->req = r;
    w->topic = t;
    w->from = from;
    w->max = max;
    w->deadline = SpHttp_Now() + query_int(m, "wait_ms", 0) * SP_MS;
    g_ptr_array_add(store.pending_reads, w);
}

static void
collect_newest(const Topic *t, GTree *keys)
{
    int64_t i;

    for (i = 0; i < end_offset(t); i++) {
        const Record *rec = &g_array_index(t->records, Record, i);
        size_t n = (unsigned char)rec->bytes[0];
        char *key = g_strndup(rec->bytes + 1, n);
        if (rec->len > n + 1) {
            g_tree_insert(keys, key, (gpointer)rec);
        }
        else {
            g_tree_remove(keys, key);
            g_free(key);
        }
    }
}

typedef struct Page {
    json_t *items;
    const char *after;
    size_t bytes; /* of the values */
    int more;
} Page;

static gboolean
add_item(gpointer key, gpointer value, gpointer data)
{
    const Record *rec = value;
    Page *p = data;
    size_t n = strlen(key) + 1;
    char *text;

    if (strcmp(key, p->after) <= 0) {
        return FALSE;
    }
    if (json_array_size(p->items) >= store.page_items ||
        (p->bytes && p->bytes + rec->len > PAGE_BYTES)) {
        p->more = 1;
        return TRUE;
    }
    p->bytes += rec->len;
    text = g_base64_encode((const guchar *)rec->bytes + n, rec->len - n);
    json_array_append_new(p->items,
                          json_pack("{s:s,s:s,s:I}", "key", key, "value", text,
                                    "offset", (json_int_t)rec->offset));
    g_free(text);
    return FALSE;
}

static gint
compare_name(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static void
handle_newest(SpHttpReq *r, const SpMsg *m, const Topic *t)
{
    GTree *keys = g_tree_new_full(compare_name, NULL, g_free, NULL);
    char *after = query_param(m, "after"), *text;
    Page p = {json_array(), after ? after : "", 0, 0};
    json_t *o;

    collect_newest(t, keys);
    g_tree_foreach(keys, add_item, &p);
    o = json_pack("{s:o,s:b,s:I}", "items", p.items, "has_more", p.more,
                  "end_offset", (json_int_t)end_offset(t));
    text = json_dumps(o, JSON_COMPACT);
    SpHttpReq_Respond(r, 200, read_line(), text, strlen(text));
    free(text);
    json_decref(o);
    g_tree_destroy(keys);
    g_free(after);
}

static void
delay_page(SpHttpReq *r)
{
    SlowPage *p = g_new(SlowPage, 1);

    p->req = r;
    p->at = SpHttp_Now() + SLOW_MS * SP_MS;
    g_queue_push_tail(&store.slow_pages, p);
}

static void
handle_trim(SpHttpReq *r, const SpMsg *m, Topic *t)
{
    t->first = CLAMP(query_int(m, "before", 0), t->first, end_offset(t));
    reply_json(r, 200, "{\"first\":%" PRId64 "}", t->first);
}

/* Makes the open connections silent; the reads on them are not answered. */
static void
mute(void)
{
    store.mute_before = SpHttp_Now();
    g_ptr_array_set_size(store.pending_reads, 0);
    g_queue_clear(&store.slow_pages);
}

static void
set_mode(SpHttpReq *r, const SpMsg *m)
{
    char *name = query_param(m, "mode");
    size_t i;

    if (g_strcmp0(name, "mute") == 0) {
        mute();
    }

    for (i = 0; name && i < G_N_ELEMENTS(mode_names); i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            store.mode = (Mode)i;
        }
    }
    reply_json(r, 200, "{\"mode\":\"%s\",\"writes\":%d,\"reads\":%d}",
               mode_names[store.mode], store.writes, store.reads);
    g_free(name);
}

static int
is_request(const SpMsg *m, const char *method, const char *path)
{
    return strcmp(m->method, method) == 0 &&
           strncmp(m->target, path, strlen(path)) == 0;
}

static void
on_request(void *ctx, SpHttpReq *r)
{
    const SpMsg *m = SpHttpReq_Msg(r);
    Topic *t;

    (void)ctx;
    if (is_request(m, "PUT", "/standin?")) {
        set_mode(r, m);
        return;
    }
    if (store.mode == MODE_DOWN) {
        reply_json(r, 503, "{\"error\":\"down\"}");
        return;
    }
    if (store.mode == MODE_SILENT ||
        SpHttpReq_OpenedAt(r) < store.mute_before) {
        return;
    }
    t = get_topic(m);
    if (!t) {
        reply_json(r, 400, "{\"error\":\"topic\"}");
    }
    else if (is_request(m, "POST", "/log-append?")) {
        handle_append(r, m, t);
    }
    else if (is_request(m, "GET", "/log-read?")) {
        handle_read(r, m, t);
    }
    else if (is_request(m, "GET", "/log-newest?")) {
        store.reads++;
        if (store.mode == MODE_SLOW) {
            delay_page(r);
            return;
        }
        handle_newest(r, m, t);
    }
    else if (is_request(m, "POST", "/log-trim?")) {
        handle_trim(r, m, t);
    }
    else {
        reply_json(r, 404, "{\"error\":\"call\"}");
    }
}

static void
forget_page(SpHttpReq *r)
{
    GList *k;

    for (k = store.slow_pages.head; k; k = k->next) {
        if (((SlowPage *)k->data)->req == r) {
            g_free(k->data);
            g_queue_delete_link(&store.slow_pages, k);
            return;
        }
    }
}

static void
send_slow_pages(int64_t now)
{
    SlowPage *p;
    const SpMsg *m;

    while ((p = g_queue_peek_head(&store.slow_pages)) && now >= p->at) {
        g_queue_pop_head(&store.slow_pages);
        m = SpHttpReq_Msg(p->req);
        handle_newest(p->req, m, get_topic(m));
        g_free(p);
    }
}

static void
on_disconnect(void *ctx, SpHttpReq *r)
{
    guint i;

    (void)ctx;
    forget_page(r);
    for (i = store.pending_reads->len; i > 0; i--) {
        PendingRead *w = g_ptr_array_index(store.pending_reads, i - 1);
        if (w->req == r) {
            g_ptr_array_remove_index_fast(store.pending_reads, i - 1);
            g_free(w);
        }
    }
}

static void
on_tick(uv_timer_t *timer)
{
    int64_t now = SpHttp_Now();
    guint i;

    (void)timer;
    for (i = store.pending_reads->len; i > 0; i--) {
        PendingRead *w = g_ptr_array_index(store.pending_reads, i - 1);
        if (now >= w->deadline) {
            g_ptr_array_remove_index_fast(store.pending_reads, i - 1);
            reply_records(w->req, w->topic, w->from, w->max);
            g_free(w);
        }
    }
    send_slow_pages(now);
    SpHttpServer_Tick(store.http, now);
}

int
main(int argc, char **argv)
{
    static const SpHttpOpts opts = {NULL, NULL, 0};
    static const SpHttpLimits limits = {65536, 4 << 20, 5 * SP_SEC,
                                        60 * SP_SEC};
    SpHttpHandler h = {on_request, on_disconnect, NULL};
    uv_timer_t tick;
    GError *err = NULL;
    const char *addr = NULL;
    int c;

    while ((c = getopt(argc, argv, "l:i:")) != -1) {
        if (c == 'l') {
            addr = optarg;
        }
        else if (c == 'i') {
            store.page_items = (size_t)strtoul(optarg, NULL, 10);
        }
    }
    if (!addr || !store.page_items) {
        fprintf(stderr, "usage: spstore -l IP:PORT [-i ITEMS]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    store.loop = uv_default_loop();
    store.topics = g_hash_table_new(g_str_hash, g_str_equal);
    store.pending_reads = g_ptr_array_new();
    store.http = SpHttpServer_New(store.loop, &limits, &opts);
    if (!SpHttpServer_Listen(store.http, addr, &h, &err)) {
        fprintf(stderr, "spstore: %s\n", err->message);
        return 1;
    }
    uv_timer_init(store.loop, &tick);
    uv_timer_start(&tick, on_tick, 10, 10);
    uv_run(store.loop, UV_RUN_DEFAULT);
    return 0;
}
