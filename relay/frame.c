/* Encoding and decoding of the messages between relays. */
#include <math.h>
#include <string.h>

#include "base/packed.h"
#include "relay/frame.h"

/* Reals are sent as integral thousandths, which take fewer bytes. */
#define REAL_SCALE 1000.0

#define LENGTH_BYTES 4

static const char *const type_names[FRAME_NTYPES] = {
    "hello",      "state",  "alive",  "call",    "answer",   "cancel",
    "get_config", "config", "digest", "members", "stopping", "arrivals",
    "usage",      "words",  "sums",   "runs",    "departure"};

const char *
FrameType_Name(FrameType type)
{
    return type_names[type];
}

static int
write_out(void *data, const char *p, size_t n)
{
    g_byte_array_append(data, (const guint8 *)p, (guint)n);
    return 0;
}

void
begin_frame(FrameOut *f, GByteArray *out, FrameType type, size_t nargs)
{
    f->out = out;
    f->start = out->len;
    f->count = NULL;
    g_byte_array_set_size(out, out->len + LENGTH_BYTES);
    msgpack_packer_init(&f->pk, out, write_out);
    msgpack_pack_array(&f->pk, nargs + 1);
    msgpack_pack_int(&f->pk, (int)type);
}

void
put_uint(FrameOut *f, uint64_t v)
{
    msgpack_pack_uint64(&f->pk, v);
}

void
put_int(FrameOut *f, int64_t v)
{
    msgpack_pack_int64(&f->pk, v);
}

void
put_real(FrameOut *f, double v)
{
    put_int(f, (int64_t)floor(v * REAL_SCALE + 0.5));
}

void
put_str(FrameOut *f, const char *s)
{
    put_bin(f, s, strlen(s));
}

void
put_bin(FrameOut *f, const void *p, size_t n)
{
    msgpack_pack_bin(&f->pk, n);
    msgpack_pack_bin_body(&f->pk, n ? p : "", n);
}

void
put_array(FrameOut *f, size_t n)
{
    msgpack_pack_array(&f->pk, n);
}

void
end_frame(FrameOut *f)
{
    guint32 n = g_htonl(f->out->len - f->start - LENGTH_BYTES);

    memcpy(f->out->data + f->start, &n, LENGTH_BYTES);
    if (f->count) {
        f->count->frames++;
        f->count->bytes += f->out->len - f->start;
    }
}

void
begin_fields(FrameOut *f, GByteArray *out)
{
    f->out = out;
    f->start = out->len;
    f->count = NULL;
    msgpack_packer_init(&f->pk, out, write_out);
}

void
put_fields(FrameOut *f, const GByteArray *fields)
{
    g_byte_array_append(f->out, fields->data, fields->len);
}

static const msgpack_object *
next_arg(FrameIn *f)
{
    if (f->at >= f->n) {
        f->bad = 1;
        return NULL;
    }
    return &f->args[f->at++];
}

uint64_t
get_uint(FrameIn *f)
{
    const msgpack_object *o = next_arg(f);

    if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        f->bad = 1;
        return 0;
    }
    return o->via.u64;
}

int64_t
get_int(FrameIn *f)
{
    const msgpack_object *o = next_arg(f);

    if (!o || (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
               o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)) {
        f->bad = 1;
        return 0;
    }
    return o->via.i64;
}

double
get_real(FrameIn *f)
{
    return (double)get_int(f) / REAL_SCALE;
}

const char *
get_bin(FrameIn *f, size_t *n)
{
    const msgpack_object *o = next_arg(f);

    *n = 0;
    if (!o || o->type != MSGPACK_OBJECT_BIN) {
        f->bad = 1;
        return "";
    }
    *n = o->via.bin.size;
    return o->via.bin.ptr;
}

const char *
get_text(FrameIn *f)
{
    size_t n;
    const char *p = get_bin(f, &n);

    if (!f->arena) {
        f->arena = SpArena_New();
    }
    return SpArena_Dup(f->arena, p, n);
}

void
get_addr(FrameIn *f, char *to, size_t size)
{
    size_t n;
    const char *p = get_bin(f, &n);

    if (n >= size) {
        f->bad = 1;
        n = size - 1;
    }
    memcpy(to, p, n);
    to[n] = '\0';
}

const msgpack_object *
get_array(FrameIn *f, uint32_t *n)
{
    const msgpack_object *o = next_arg(f);

    *n = 0;
    if (!o || o->type != MSGPACK_OBJECT_ARRAY) {
        f->bad = 1;
        return NULL;
    }
    *n = o->via.array.size;
    return o->via.array.ptr;
}

static int
decode_frame(const char *p, size_t n,
             int (*handle)(void *ctx, FrameType type, FrameIn *f), void *ctx)
{
    msgpack_unpacked u;
    size_t off = 0;
    int ok = 0;

    if (!SpPacked_Check(p, n)) {
        return 0;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, p, n, &off) == MSGPACK_UNPACK_SUCCESS &&
        off == n && u.data.type == MSGPACK_OBJECT_ARRAY &&
        u.data.via.array.size > 0 &&
        u.data.via.array.ptr[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        u.data.via.array.ptr[0].via.u64 < FRAME_NTYPES) {
        FrameIn f = {u.data.via.array.ptr + 1, u.data.via.array.size - 1, 0, 0,
                     NULL};
        ok = handle(ctx, (FrameType)u.data.via.array.ptr[0].via.u64, &f);
        SpArena_Free(f.arena);
    }
    msgpack_unpacked_destroy(&u);
    return ok;
}

/* Returns the length at p, without its own bytes. */
static guint32
read_length(const guint8 *p)
{
    guint32 n;

    memcpy(&n, p, LENGTH_BYTES);
    return g_ntohl(n);
}

size_t
incomplete_frame(const GByteArray *in)
{
    return in->len < LENGTH_BYTES
               ? 0
               : LENGTH_BYTES + (size_t)read_length(in->data);
}

int
read_frames(GByteArray *in,
            int (*handle)(void *ctx, FrameType type, FrameIn *f), void *ctx)
{
    guint at = 0;
    guint32 n;
    int ok = 1;

    while (ok && in->len - at >= LENGTH_BYTES) {
        n = read_length(in->data + at);
        if (n > SP_FRAME_BYTES) {
            ok = 0;
            break;
        }
        if (in->len - at - LENGTH_BYTES < n) {
            break;
        }
        ok = decode_frame((const char *)in->data + at + LENGTH_BYTES, n,
                          handle, ctx);
        at += LENGTH_BYTES + n;
    }
    if (at) {
        g_byte_array_remove_range(in, 0, MIN(at, in->len));
    }
    return ok;
}
