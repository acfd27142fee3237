/*
 * frame: messages between relays: a big-endian length of four bytes, then a
 * msgpack array whose first element is the type.
 */
#ifndef SP_FRAME_H
#define SP_FRAME_H

#include <msgpack.h>

#include "base/base.h"

#define SP_FRAME_BYTES ((size_t)80 << 20)

typedef enum {
    FRAME_HELLO,  /* name, link address, zone, service, start, the fields of
                     FRAME_STATE, number and digest of the known members */
    FRAME_STATE,  /* accepts, busy, limit, run time, demand by rank, capacity,
                     follows, version of the configuration */
    FRAME_ALIVE,  /* keep-alive: version of the configuration */
    FRAME_CALL,   /* seq, id, service, route, workspace, share, rank, nested,
                     is_retry,   idempotent, calls left, time to the deadline,
                     head, body */
    FRAME_ANSWER, /* seq, kind, outcome, reached, nested_failed, shares of the
                     path, calls, status, lines, body, busy, limit, run time */
    FRAME_CANCEL, /* seq */
    FRAME_GET_CONFIG, /* request for the configuration, no fields */
    FRAME_CONFIG,     /* the text of the configuration */
    FRAME_DIGEST,     /* digest of the members: asks for those that differ */
    FRAME_MEMBERS,  /* digest, 1 if an answer is wanted, list of members: name,
                       link address, zone, service, start */
    FRAME_STOPPING, /* time by which the calls of the sender on this link have
                       to be answered */
    FRAME_ARRIVALS, /* requests since the last report, in all; list of key and
                       number for the workspaces with most of them */
    FRAME_USAGE, /* number of the report, 1 if the sender leaves, list of: key
                    of a workspace, offered, admitted, demand */
    FRAME_WORDS, /* number of the report that it answers or 0, list of: key,
                    fraction and share in millionths, wait in milliseconds */
    FRAME_SUMS,  /* start of the sender, kind (relay/sums.c), list of: key,
                    admitted, demand, offered, part held in millionths, level;
                    list of the keys of its members */
    FRAME_RUNS,  /* list of: id, route, workspace, share, rank, is_retry, calls
                    left, time to the deadline of a run at the receiver whose
                    answer was lost */
    FRAME_DEPARTURE, /* node, id and start of its instance, time since it said
                      that it leaves, 1 if its drain time may be over */
    FRAME_NTYPES
} FrameType;

/* Frames of one type and their bytes. */
typedef struct FrameCount {
    uint64_t frames, bytes;
} FrameCount;

/* FrameType_Name returns the name of a type in metrics. */
const char *FrameType_Name(FrameType type);

/* Appends one frame to out. */
typedef struct FrameOut {
    GByteArray *out;
    guint start;
    FrameCount *count; /* increased at its end; NULL: none */
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
/* begin_fields begins a list of fields outside of a frame; put_fields appends
   such a list to a frame. */
void begin_fields(FrameOut *f, GByteArray *out);
void put_fields(FrameOut *f, const GByteArray *fields);

/* Fields of a frame. A missing field, or one of the wrong type, reads as zero
   or empty and sets bad. */
typedef struct FrameIn {
    const msgpack_object *args;
    uint32_t n, at;
    int bad;
    SpArena *arena; /* of the texts that were read; NULL before the first */
} FrameIn;

uint64_t get_uint(FrameIn *f);
int64_t get_int(FrameIn *f);
double get_real(FrameIn *f);
/* get_text returns a text of any length, which lives as long as the frame. */
const char *get_text(FrameIn *f);
/* get_addr reads an address; a longer text sets bad. */
void get_addr(FrameIn *f, char *to, size_t size);
const char *get_bin(FrameIn *f, size_t *n);
/* get_array returns the elements and stores their number in n. */
const msgpack_object *get_array(FrameIn *f, uint32_t *n);

/* incomplete_frame returns the size of the frame of which in holds a part, in
   bytes with its length; 0 if that has not been received. */
size_t incomplete_frame(const GByteArray *in);

/*
 * read_frames removes the complete frames at the start of in and calls handle
 * for each. Returns 0 if one is malformed or handle returned 0.
 */
int read_frames(GByteArray *in,
                int (*handle)(void *ctx, FrameType type, FrameIn *f),
                void *ctx);

#endif
