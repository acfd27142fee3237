/* http: what its files share. */
#ifndef SP_HTTP_PRIV_H
#define SP_HTTP_PRIV_H

#include <http_parser.h>

#include "http/http.h"

#define SP_HTTP_READ_BYTES 65536

typedef enum {
    SP_READ_OK,
    SP_READ_INVALID,
    SP_READ_HEAD_TOO_LARGE,
    SP_READ_BODY_TOO_LARGE
} SpReadState;

/* Reads messages from the bytes of one connection. */
typedef struct SpReader {
    http_parser p;
    SpMsg *msg; /* the one being read; NULL between messages */
    GString *field, *value, *target;
    GArray *headers; /* of SpHeader */
    int has_value;
    int skip_body;
    size_t head_bytes, max_head, max_body;
    SpReadState state;
    /* takes each whole message and owns it from then on; returns 1 to stop
       reading behind it */
    int (*done)(void *ctx, SpMsg *m);
    void *ctx;
} SpReader;

void SpReader_Init(SpReader *r, enum http_parser_type type);
void SpReader_Clear(SpReader *r);
/* SpReader_Feed returns the bytes taken; all of them unless it stopped. */
size_t SpReader_Feed(SpReader *r, const char *p, size_t n);
/* SpReader_End tells the regular end of the connection; 0 if it came within
   a message. */
int SpReader_End(SpReader *r);

#endif
