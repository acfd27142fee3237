/*
 * Message parser of the server and the client: http_parser, with the checks of
 * syntax.c.
 *
 * Bytes are passed to http_parser in parts: a status line, a head, a chunk
 * line and so on. Status lines and chunk lines are checked before they are
 * parsed. http_parser pauses at the end of a head, of the data of a chunk, of
 * a trailer and of a message, so that the line end there is checked, and the
 * next part is known.
 */
#include <string.h>
#include <strings.h>

#include "http/priv.h"

/* Empty lines that may follow a message without being the start of another. */
#define TRAILING_BYTES 4

static void
begin_part(SpMsgReader *r, SpPart part)
{
    r->part = part;
    memset(&r->line, 0, sizeof r->line);
}

static void
begin_message(SpMsgReader *r)
{
    begin_part(r,
               r->p.type == HTTP_RESPONSE ? SP_PART_STATUS : SP_PART_FIELDS);
}

void
SpMsgReader_Init(SpMsgReader *r, enum http_parser_type type)
{
    memset(r, 0, sizeof *r);
    http_parser_init(&r->p, type);
    begin_message(r);
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

static int
is_framing_field(const char *name)
{
    return strcasecmp(name, "Content-Length") == 0 ||
           strcasecmp(name, "Transfer-Encoding") == 0;
}

/* Passes n bytes to the parser; returns the number parsed, up to the next
   pause. */
static size_t
execute(SpMsgReader *r, const char *p, size_t n)
{
    size_t parsed = http_parser_execute(&r->p, &SpMsgReader_Callbacks, p, n);
    enum http_errno e = HTTP_PARSER_ERRNO(&r->p);

    if (e == HPE_PAUSED) {
        http_parser_pause(&r->p, 0);
    }
    else if (e != HPE_OK && r->state == SP_READ_OK) {
        r->state = e == HPE_HEADER_OVERFLOW ? SP_READ_HEAD_TOO_LARGE
                                            : SP_READ_INVALID;
    }
    return parsed;
}

/* Field lines, in a head or a trailer. The parser takes only a blank, not a
   tab, beside the value of a field on which the framing depends. */
static size_t
parse_fields(SpMsgReader *r, const char *p, size_t n)
{
    const char *tab = memchr(p, '\t', n);

    if (tab == p) {
        return execute(r, is_framing_field(r->field->str) ? " " : p, 1);
    }
    return execute(r, p, tab ? (size_t)(tab - p) : n);
}

/* Bytes of a status line or a chunk line, checked before they are parsed. */
static size_t
parse_line(SpMsgReader *r, SpLineKind kind, const char *p, size_t n)
{
    n = SpLine_Check(&r->line, kind, p, n);
    if (r->line.invalid) {
        r->state = SP_READ_INVALID;
        return n;
    }
    return execute(r, p, n);
}

/* Empty lines, and the status line. */
static size_t
parse_status(SpMsgReader *r, const char *p, size_t n)
{
    size_t blank = r->line.len ? 0 : count_blank(p, n);

    if (blank) {
        return execute(r, p, blank);
    }
    n = parse_line(r, SP_LINE_STATUS, p, n);
    if (r->line.ended) {
        begin_part(r, SP_PART_FIELDS);
    }
    return n;
}

/* The head of a message, or what is left of it after the status line. The
   parser stops before the byte that ends it. */
static size_t
parse_head(SpMsgReader *r, const char *p, size_t n)
{
    size_t parsed = parse_fields(r, p, n);

    if (!r->head_done || r->state != SP_READ_OK) {
        return parsed;
    }
    if (p[parsed] != '\n') {
        r->state = SP_READ_INVALID;
        return parsed;
    }
    begin_part(r, r->p.flags & F_CHUNKED ? SP_PART_CHUNK_LINE : SP_PART_BODY);
    return parsed + execute(r, p + parsed, 1);
}

static size_t
parse_chunk_line(SpMsgReader *r, const char *p, size_t n)
{
    n = parse_line(r, SP_LINE_CHUNK, p, n);
    if (r->line.ended) {
        begin_part(r,
                   r->p.flags & F_TRAILING ? SP_PART_TRAILER : SP_PART_CHUNK);
    }
    return n;
}

/* The data of a chunk and the CR LF after them. */
static size_t
parse_chunk(SpMsgReader *r, const char *p, size_t n)
{
    char before;

    n = execute(r, p, n);
    if (!r->chunk_ended) {
        return n;
    }
    r->chunk_ended = 0;
    before = n > 1 ? p[n - 2] : r->last;
    if (before != '\r' || p[n - 1] != '\n') {
        r->state = SP_READ_INVALID;
    }
    begin_part(r, SP_PART_CHUNK_LINE);
    return n;
}

/* The fields after the last chunk. The parser stops before the byte that ends
   them. */
static size_t
parse_trailer(SpMsgReader *r, const char *p, size_t n)
{
    size_t parsed = parse_fields(r, p, n);

    if (!r->chunk_ended) {
        return parsed;
    }
    r->chunk_ended = 0;
    if (p[parsed] != '\n') {
        r->state = SP_READ_INVALID;
        return parsed;
    }
    return parsed + execute(r, p + parsed, 1);
}

/* Parses at least one byte, unless it is invalid, and at most up to the end of
   the part of the message; returns the number of bytes. */
static size_t
parse_part(SpMsgReader *r, const char *p, size_t n)
{
    static size_t (*const parse[])(SpMsgReader *, const char *, size_t) = {
        [SP_PART_STATUS] = parse_status,
        [SP_PART_FIELDS] = parse_head,
        [SP_PART_BODY] = execute,
        [SP_PART_CHUNK_LINE] = parse_chunk_line,
        [SP_PART_CHUNK] = parse_chunk,
        [SP_PART_TRAILER] = parse_trailer};

    n = parse[r->part](r, p, n);
    if (n) {
        r->last = p[n - 1];
    }
    if (r->message_ended) {
        r->message_ended = 0;
        begin_message(r);
    }
    return n;
}

size_t
SpMsgReader_Feed(SpMsgReader *r, const char *p, size_t n)
{
    size_t i = 0;

    if (!r->msg) {
        r->blank_bytes += count_blank(p, n);
    }
    r->stopped = 0;
    while (i < n && r->state == SP_READ_OK && !r->stopped) {
        i += parse_part(r, p + i, n - i);
    }
    if (r->state == SP_READ_OK && r->p.type == HTTP_REQUEST &&
        r->blank_bytes > r->max_head) {
        r->state = SP_READ_HEAD_TOO_LARGE;
    }
    return i;
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

    if (r->state != SP_READ_OK) {
        return 0;
    }
    http_parser_execute(&r->p, &SpMsgReader_Callbacks, NULL, 0);
    e = HTTP_PARSER_ERRNO(&r->p);
    /* the end of the connection may complete a message, which pauses */
    return (e == HPE_OK || e == HPE_PAUSED) && !r->msg;
}
