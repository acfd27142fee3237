/* Message parser of the server and the client. */
#include <string.h>
#include <strings.h>

#include "http/priv.h"

/* Empty lines that may follow a message without being the start of another. */
#define TRAILING_BYTES 4

void
SpMsgReader_Init(SpMsgReader *r, enum http_parser_type type)
{
    memset(r, 0, sizeof *r);
    http_parser_init(&r->p, type);
    r->p.data = r;
    r->field = g_string_new(NULL);
    r->value = g_string_new(NULL);
    r->target = g_string_new(NULL);
    r->headers = g_array_new(FALSE, FALSE, sizeof(SpHeader));
}

void
SpMsgReader_Clear(SpMsgReader *r)
{
    SpMsg_Free(r->msg);
    r->msg = NULL;
    g_string_free(r->field, TRUE);
    g_string_free(r->value, TRUE);
    g_string_free(r->target, TRUE);
    g_array_free(r->headers, TRUE);
}

static size_t
count_blank(const char *p, size_t n)
{
    size_t i = 0;

    while (i < n && (p[i] == '\r' || p[i] == '\n')) {
        i++;
    }
    return i;
}

size_t
SpMsgReader_Feed(SpMsgReader *r, const char *p, size_t n)
{
    size_t consumed;
    enum http_errno e;

    if (!r->msg) {
        r->blank_bytes += count_blank(p, n);
    }
    consumed = http_parser_execute(&r->p, &SpMsgReader_Callbacks, p, n);
    e = HTTP_PARSER_ERRNO(&r->p);

    if (e == HPE_PAUSED) {
        http_parser_pause(&r->p, 0);
    }
    else if (e != HPE_OK && r->state == SP_READ_OK) {
        r->state = e == HPE_HEADER_OVERFLOW ? SP_READ_HEAD_TOO_LARGE
                                            : SP_READ_INVALID;
    }
    else if (e == HPE_OK && r->p.type == HTTP_REQUEST &&
             r->blank_bytes > r->max_head) {
        r->state = SP_READ_HEAD_TOO_LARGE;
    }
    return consumed;
}

int
SpMsgReader_IsInMessage(const SpMsgReader *r)
{
    return r->msg || r->blank_bytes > TRAILING_BYTES;
}

int
SpMsgReader_End(SpMsgReader *r)
{
    enum http_errno e;

    http_parser_execute(&r->p, &SpMsgReader_Callbacks, NULL, 0);
    e = HTTP_PARSER_ERRNO(&r->p);
    /* the end of the connection may complete a message, which pauses */
    return (e == HPE_OK || e == HPE_PAUSED) && !r->msg;
}
