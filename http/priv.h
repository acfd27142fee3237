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

/* Incremental parser of the messages of one connection. */
typedef struct SpMsgReader {
    http_parser p;
    SpMsg *msg; /* being parsed; NULL between messages */
    GString *field, *value, *target;
    GArray *headers; /* of SpHeader */
    int has_value;
    int head_done; /* 1: the head of msg is complete */
    int skip_body;
    size_t head_bytes, max_head, max_body;
    SpBodyMemory *memory; /* for bodies; NULL: no limit */
    SpReadState state;
    /*
     * Called with each complete message, which it must free by SpMsg_Free;
     * returns 1 to stop parsing after it.
     */
    int (*done)(void *ctx, SpMsg *m);
    void *ctx;
} SpMsgReader;

void SpMsgReader_Init(SpMsgReader *r, enum http_parser_type type);
void SpMsgReader_Clear(SpMsgReader *r);
/* SpMsgReader_Feed returns the number of bytes parsed; less than n if it
   stopped on an error or after a message. */
size_t SpMsgReader_Feed(SpMsgReader *r, const char *p, size_t n);
/* SpMsgReader_End tells the parser that the peer closed the connection;
   returns 0 if that is within a message. */
int SpMsgReader_End(SpMsgReader *r);

/* SpHttp_IsReadable returns 1 if bytes, a close or an error of the socket have
   not been read yet. */
int SpHttp_IsReadable(const uv_handle_t *h);

#endif
