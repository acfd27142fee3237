/*
 * frame: messages between relays: four bytes of length, big-endian, then a
 * msgpack array whose first element is the type.
 */
#ifndef SP_FRAME_H
#define SP_FRAME_H

#include <msgpack.h>

#include "base/base.h"

#define SP_FRAME_BYTES ((size_t)80 << 20)

typedef enum {
    FRAME_HELLO,  /* name, link address, zone, service, lifetime, the state,
                     addresses of the nodes known */
    FRAME_STATE,  /* takes, busy, limit, run time, demand by rank, room,
                     follows, version of the configuration */
    FRAME_ALIVE,  /* nothing: the sender still lives */
    FRAME_CALL,   /* seq, id, service, route, share, rank, begun, again,
                     idempotent, time left, head, body */
    FRAME_ANSWER, /* seq, kind, outcome, reached, below, shares of the path,
                     status, lines, body, busy, limit, run time */
    FRAME_CANCEL, /* seq */
    FRAME_WANT,   /* the configuration is asked for */
    FRAME_CONFIG, /* its text */
    FRAME_NTYPES
} FrameType;

/* Packs one frame at the end of out. */
typedef struct FrameOut {
    GByteArray *out;
    guint start;
    msgpack_packer pk;
} FrameOut;

void begin_frame(FrameOut *f, GByteArray *out, FrameType type, size_t nargs);
void put_uint(FrameOut *f, uint64_t v);
void put_int(FrameOut *f, int64_t v);
/* put_real rounds to thousandths. */
void put_real(FrameOut *f, double v);
void put_str(FrameOut *f, const char *s);
void put_bin(FrameOut *f, const void *p, size_t n);
void put_array(FrameOut *f, size_t n);
void end_frame(FrameOut *f);

/* Arguments of a frame; a missing or odd one reads as zero or empty and sets
   bad. */
typedef struct FrameIn {
    const msgpack_object *args;
    uint32_t n, at;
    int bad;
} FrameIn;

uint64_t get_uint(FrameIn *f);
int64_t get_int(FrameIn *f);
double get_real(FrameIn *f);
void get_str(FrameIn *f, char *to, size_t size);
const char *get_bin(FrameIn *f, size_t *n);
/* get_array returns the elements and sets n. */
const msgpack_object *get_array(FrameIn *f, uint32_t *n);

/*
 * read_frames takes the whole frames at the front of in and calls take for
 * each; returns 0 if one is malformed. take returns 0 to stop for good.
 */
int read_frames(GByteArray *in,
                int (*take)(void *ctx, FrameType type, FrameIn *f), void *ctx);

#endif
