/* Client of the platform's append-only log, over HTTP. */
#include <msgpack.h>
#include <string.h>

#include "base/packed.h"
#include "node/fns.h"

#define LOG_TIMEOUT_MS 3000
#define MAX_READ_RECORDS 200

typedef struct LogRequest {
    Node *n;
    char stream[32];
    uint64_t tag;
} LogRequest;

static void
on_appended(void *data, const SpFetchResult *f)
{
    LogRequest *a = data;
    int ok = f->end == SP_FETCH_OK && f->status == 200;

    if (!ok) {
        SpLog(SP_LOG_WARN, "append-unsure", "stream=%s status=%d", a->stream,
              f->status);
    }
    SpCore_AppendDone(a->n->core, SpClock_Now(), a->tag, ok);
    g_free(a);
}

void
append_log(void *ctx, const char *stream, uint64_t tag, const char *p,
           size_t n)
{
    Node *node = ctx;
    LogRequest *a = g_new0(LogRequest, 1);
    char path[64];
    SpFetchOpts o = {.addr = node->set.log,
                     .method = "POST",
                     .path = path,
                     .body = p,
                     .body_len = n,
                     .timeout_ms = LOG_TIMEOUT_MS,
                     .cb = on_appended,
                     .data = a};

    a->n = node;
    a->tag = tag;
    g_strlcpy(a->stream, stream, sizeof a->stream);
    g_snprintf(path, sizeof path, "/streams/%s", stream);
    SpWeb_Fetch(node->web, &o);
}

/* Passes the records of a response to core. Format, in msgpack:
   [oldest, next, [[offset, bytes], ...]]. Returns 0 if it is malformed. */
static int
deliver_records(LogRequest *a, const msgpack_object *o)
{
    const msgpack_object *f = o->via.array.ptr, *list;
    SpRecord r[MAX_READ_RECORDS];
    uint32_t i, n;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3 ||
        f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        f[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        f[2].type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    list = &f[2];
    n = MIN(list->via.array.size, MAX_READ_RECORDS);
    for (i = 0; i < n; i++) {
        const msgpack_object *e = &list->via.array.ptr[i];
        if (e->type != MSGPACK_OBJECT_ARRAY || e->via.array.size != 2 ||
            e->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
            e->via.array.ptr[1].type != MSGPACK_OBJECT_BIN) {
            return 0;
        }
        r[i].offset = (int64_t)e->via.array.ptr[0].via.u64;
        r[i].p = e->via.array.ptr[1].via.bin.ptr;
        r[i].n = e->via.array.ptr[1].via.bin.size;
    }
    SpCore_ReadDone(a->n->core, SpClock_Now(), a->stream, 1,
                    (int64_t)f[0].via.u64, (int64_t)f[1].via.u64, r, n);
    return 1;
}

static void
on_read(void *data, const SpFetchResult *f)
{
    LogRequest *a = data;
    msgpack_unpacked u;
    size_t off = 0;
    int ok = 0;

    msgpack_unpacked_init(&u);
    if (f->end == SP_FETCH_OK && f->status == 200 &&
        SpPacked_Check(f->body, f->body_len) &&
        msgpack_unpack_next(&u, f->body, f->body_len, &off) ==
            MSGPACK_UNPACK_SUCCESS) {
        ok = deliver_records(a, &u.data);
    }
    msgpack_unpacked_destroy(&u);
    if (!ok) {
        SpCore_ReadDone(a->n->core, SpClock_Now(), a->stream, 0, 0, 0, NULL,
                        0);
    }
    g_free(a);
}

void
read_log(void *ctx, const char *stream, int64_t from)
{
    Node *node = ctx;
    LogRequest *a = g_new0(LogRequest, 1);
    char path[96];
    SpFetchOpts o = {.addr = node->set.log,
                     .method = "GET",
                     .path = path,
                     .timeout_ms = LOG_TIMEOUT_MS,
                     .cb = on_read,
                     .data = a};

    a->n = node;
    g_strlcpy(a->stream, stream, sizeof a->stream);
    g_snprintf(path, sizeof path, "/streams/%s?from=%" PRId64 "&max=%d",
               stream, from, MAX_READ_RECORDS);
    SpWeb_Fetch(node->web, &o);
}
