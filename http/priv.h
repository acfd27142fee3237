/* Declarations shared by the files of http/. */
#ifndef SP_HTTP_PRIV_H
#define SP_HTTP_PRIV_H

#include <http_parser.h>

#include "http/http.h"

#define SP_HTTP_READ_BYTES 65536

typedef enum {
    SP_READ_OK,
    SP_READ_INVALID,
    SP_READ_HEAD_TOO_LARGE,
    SP_READ_BODY_TOO_LARGE,
    SP_READ_NO_MEMORY /* for the body */
} SpReadState;

/*
 * Syntax that http_parser does not check (syntax.c).
 */

/* SpSyntax_IsToken returns 1 if all bytes may stand in the name of a field. */
int SpSyntax_IsToken(const char *p, size_t n);
/* SpSyntax_IsText returns 1 if all bytes may stand in the value of a field. */
int SpSyntax_IsText(const char *p, size_t n);

typedef enum {
    SP_LINE_STATUS,
    SP_LINE_CHUNK /* size and extensions */
} SpLineKind;

/* A line that is being checked. It begins as zeros. */
typedef struct SpLine {
    size_t len; /* bytes seen */
    char last;  /* of them */
    int in_extension;
    int ended;
    int invalid;
} SpLine;

/* SpLine_Check checks the bytes up to the end of the line; returns their
   number, which is less than n if the line has ended or is invalid. */
size_t SpLine_Check(SpLine *l, SpLineKind kind, const char *p, size_t n);

/* What the next bytes of a connection belong to. */
typedef enum {
    SP_PART_STATUS,     /* empty lines, and the status line */
    SP_PART_FIELDS,     /* of the head; of a request: the whole head */
    SP_PART_BODY,       /* with a length, or up to the end */
    SP_PART_CHUNK_LINE, /* of the next chunk */
    SP_PART_CHUNK,      /* its data and the line end after them */
    SP_PART_TRAILER
} SpPart;

/* Incremental parser of the messages of one connection. */
typedef struct SpMsgReader {
    http_parser p;
    SpPart part;
    SpLine line;       /* the status line or chunk line being read */
    char last;         /* the byte parsed last */
    int chunk_ended;   /* by the bytes just parsed */
    int message_ended; /* by the bytes just parsed */
    int stopped;       /* 1: done asked to stop after the message */
    SpMsg *msg;        /* being parsed; NULL between messages */
    GString *field, *value, *target;
    GArray *headers; /* of SpHeader */
    int has_value;
    int head_done; /* 1: the head of msg is complete */
    int skip_body;
    int has_length; /* 1: the head of msg says the length of the body */
    size_t head_bytes, max_head, max_body;
    size_t blank_bytes;   /* of empty lines before a message */
    SpBodyMemory *memory; /* for bodies; NULL: no limit */
    SpReadState state;
    /*
     * Called with each complete message, which it must free by SpMsg_Free;
     * returns 1 to stop parsing after it.
     */
    int (*done)(void *ctx, SpMsg *m);
    void *ctx;
} SpMsgReader;

/* What builds the message that a reader is in (message.c). */
extern const http_parser_settings SpMsgReader_Callbacks;

void SpMsgReader_Init(SpMsgReader *r, enum http_parser_type type);
void SpMsgReader_Clear(SpMsgReader *r);
/* SpMsgReader_Feed returns the number of bytes parsed; less than n if it
   stopped on an error or after a message. */
size_t SpMsgReader_Feed(SpMsgReader *r, const char *p, size_t n);
/* SpMsgReader_IsInMessage returns 1 if a message has been read in part, or
   empty lines before one. */
int SpMsgReader_IsInMessage(const SpMsgReader *r);
/* SpMsgReader_End tells the parser that the peer closed the connection;
   returns 0 if that is within a message. */
int SpMsgReader_End(SpMsgReader *r);

/* SpBodyMemory_Grow takes the memory for a buffer that grows by more bytes to
   needed in all, after it has made room if need be; returns 0 if there is
   none. may_fill: 1 if it may take the whole limit when it is alone. */
int SpBodyMemory_Grow(SpBodyMemory *b, size_t more, size_t needed,
                      int may_fill);

/*
 * Requests that were rejected on a connection and may be sent again
 * (rejected.c). It begins as zeros.
 */
typedef struct SpRejected {
    GArray *list; /* NULL: none */
} SpRejected;

/* SpRejected_Add returns 0 if there are too many. until is the time up to
   which the key is kept. */
int SpRejected_Add(SpRejected *s, guint key, int64_t until, int64_t now);
/* SpRejected_Has returns 1 if a request with this key was rejected. */
int SpRejected_Has(const SpRejected *s, guint key, int64_t now);
guint SpRejected_Count(const SpRejected *s);
void SpRejected_Clear(SpRejected *s);

/*
 * Bytes that a client has yet to take (out.c).
 */
typedef struct SpOut {
    uv_stream_t *stream;
    SpBodyMemory *memory;     /* of answers; NULL: no limit */
    GQueue bufs;              /* of OutBuf */
    struct SpOutChunk *chunk; /* being written; NULL: none */
    size_t unsent;            /* bytes */
    size_t held;              /* bytes of memory in bufs */
    size_t moved;             /* bytes sent since began */
    int64_t began;            /* since when there are unsent bytes */
    int64_t moved_at;         /* when the last ones were sent */
    void (*ready)(void *ctx); /* a chunk has been written: to be flushed */
    void *ctx;
} SpOut;

/* SpOut_Take takes the memory for an answer; returns 0 if there is none. A
   small one may be taken in any case. */
int SpOut_Take(SpBodyMemory *b, size_t n, int always);
/* SpOut_Push queues p, which it frees later; its memory has been taken. */
void SpOut_Push(SpOut *o, char *p, size_t n);
/* SpOut_Flush sends what the socket takes; returns 0 if it is broken. */
int SpOut_Flush(SpOut *o);
/* SpOut_Left returns the number of bytes that the socket has not taken. */
size_t SpOut_Left(const SpOut *o);
/* SpOut_Clear gives up all but the chunk being written. */
void SpOut_Clear(SpOut *o);

/* SpHttp_IsReadable returns 1 if bytes, a close or an error of the socket have
   not been read yet. */
int SpHttp_IsReadable(const uv_handle_t *h);

/*
 * SpHttp_IsClosedByFin returns 1 if the peer closed the connection by a FIN, 0
 * after a reset alone. n is the error of the read callback, write_error that
 * of a write before it, or 0. UV_EOF does not tell: on a hang-up after the
 * last bytes, libuv reports it without reading the socket. The socket tells of
 * a reset once, to the read or the write that comes first, and as EPIPE if a
 * FIN came before it; from then on it reads as closed by a FIN.
 */
int SpHttp_IsClosedByFin(const uv_handle_t *h, ssize_t n, int write_error);

#endif
