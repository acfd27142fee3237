/*
 * Bytes that a client has yet to take. Only a copied chunk of them is in the
 * hands of libuv at any time, so that the rest can be given up at once.
 */
#include <string.h>

#include "http/priv.h"

#define CHUNK_BYTES ((size_t)16 << 10)
#define MAX_BUFS 16

typedef struct OutBuf {
    char *p;
    size_t n, at; /* bytes, and how many of them have left */
} OutBuf;

struct SpOutChunk {
    uv_write_t req;
    SpOut *o;
    size_t n;
    char bytes[];
};

static void
release(SpOut *o, size_t n)
{
    o->held -= n;
    if (o->memory) {
        SpBodyMemory_Release(o->memory, n);
    }
}

static void
free_buf(SpOut *o, OutBuf *b)
{
    release(o, b->n);
    g_free(b->p);
    g_free(b);
}

void
SpOut_Clear(SpOut *o)
{
    OutBuf *b;

    while ((b = g_queue_pop_head(&o->bufs)) != NULL) {
        o->unsent -= b->n - b->at;
        free_buf(o, b);
    }
}

/* Removes the first n bytes. */
static void
advance(SpOut *o, size_t n)
{
    OutBuf *b;
    size_t k;

    while ((b = g_queue_peek_head(&o->bufs)) != NULL) {
        k = MIN(n, b->n - b->at);
        b->at += k;
        n -= k;
        if (b->at < b->n) {
            return;
        }
        g_queue_pop_head(&o->bufs);
        free_buf(o, b);
    }
}

static void
count_moved(SpOut *o, size_t n)
{
    o->unsent -= n;
    o->moved += n;
    if (n) {
        o->moved_at = SpHttp_Now();
    }
}

static void
on_chunk(uv_write_t *req, int status)
{
    struct SpOutChunk *k = (struct SpOutChunk *)req;
    SpOut *o = k->o;

    o->chunk = NULL;
    count_moved(o, k->n);
    if (o->memory) {
        SpHeld_Release(o->memory->all, o->memory->kind, sizeof *k + k->n);
    }
    g_free(k);
    if (status == 0) {
        o->ready(o->ctx); /* else the read callback closes the connection */
    }
}

/* Hands a copy of the next bytes to libuv, which waits until the socket takes
   more. */
static int
write_chunk(SpOut *o)
{
    const OutBuf *b = g_queue_peek_head(&o->bufs);
    size_t n = MIN(CHUNK_BYTES, b->n - b->at);
    struct SpOutChunk *k = g_malloc(sizeof *k + n);
    uv_buf_t buf = uv_buf_init(k->bytes, (unsigned)n);

    k->o = o;
    k->n = n;
    memcpy(k->bytes, b->p + b->at, n);
    if (uv_write(&k->req, o->stream, &buf, 1, on_chunk) != 0) {
        g_free(k);
        return 0;
    }
    o->chunk = k;
    if (o->memory) {
        SpHeld_Add(o->memory->all, o->memory->kind, sizeof *k + n);
    }
    advance(o, n);
    return 1;
}

static unsigned
fill_bufs(const SpOut *o, uv_buf_t *bufs)
{
    unsigned i = 0;
    GList *k;

    for (k = o->bufs.head; k && i < MAX_BUFS; k = k->next) {
        const OutBuf *b = k->data;
        bufs[i++] = uv_buf_init(b->p + b->at, (unsigned)(b->n - b->at));
    }
    return i;
}

int
SpOut_Flush(SpOut *o)
{
    uv_buf_t bufs[MAX_BUFS];
    int n;

    while (o->bufs.length && !o->chunk) {
        n = uv_try_write(o->stream, bufs, fill_bufs(o, bufs));
        if (n < 0 && n != UV_EAGAIN) {
            return 0;
        }
        if (n > 0) {
            count_moved(o, (size_t)n);
            advance(o, (size_t)n);
        }
        else if (!write_chunk(o)) {
            return 0;
        }
    }
    return 1;
}

void
SpOut_Push(SpOut *o, char *p, size_t n)
{
    OutBuf *b = g_new0(OutBuf, 1);

    if (!o->unsent) {
        o->began = o->moved_at = SpHttp_Now();
        o->moved = 0;
    }
    b->p = p;
    b->n = n;
    o->unsent += n;
    o->held += n;
    g_queue_push_tail(&o->bufs, b);
}

size_t
SpOut_Left(const SpOut *o)
{
    size_t queued = uv_stream_get_write_queue_size(o->stream);

    return o->chunk ? o->unsent - o->chunk->n + queued : o->unsent;
}

int
SpOut_Take(SpBodyMemory *b, size_t n, int always)
{
    if (!b) {
        return 1;
    }
    if (n > SP_SMALL_BYTES) {
        return SpBodyMemory_Take(b, n);
    }
    if (!SpHeld_Take(b->all, b->kind, n)) {
        if (!always) {
            return 0;
        }
        SpHeld_Add(b->all, b->kind, n);
    }
    b->used += n;
    return 1;
}
