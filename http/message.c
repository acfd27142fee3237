/* Messages, as the callbacks of http_parser build them. */
#include <string.h>
#include <strings.h>

#include "http/priv.h"

/* Memory of a message, with what its owner keeps of it, and of each of its
   headers beside their text. */
#define HEAD_BYTES ((size_t)5632)
#define HEADER_BYTES ((size_t)96)
/* Memory for a byte of text: in the reader, the message, and the copy that its
   owner passes on, whose buffer doubles. */
#define TEXT_COPIES 4
/* Bytes of a header line beside name and value: the colon and the line end. */
#define LINE_BYTES 3
/* Size up to which the buffers for heads are kept. */
#define KEPT_HEAD_BYTES ((size_t)1 << 10)
#define STATUS_SWITCHING_PROTOCOLS 101

static SpMsgReader *
reader_of(http_parser *p)
{
    return p->data;
}

/* The buffer of a body doubles: the capacity for n bytes is the least power of
   two that holds them, and at least 256. */
static size_t
body_capacity(size_t n)
{
    size_t capacity = 256;

    while (capacity < n) {
        capacity *= 2;
    }
    return capacity;
}

void
SpMsg_Free(SpMsg *m)
{
    if (m) {
        if (m->memory) {
            SpHeld_Release(m->memory->all, SP_HELD_HEADS, m->head_held);
        }
        if (m->memory && m->body) {
            SpBodyMemory_Release(m->memory, body_capacity(m->body_len));
        }
        g_free(m->body);
        SpArena_Free(m->arena);
    }
}

const char *
SpMsg_Header(const SpMsg *m, const char *name)
{
    int i;

    for (i = 0; i < m->nheaders; i++) {
        if (strcasecmp(m->headers[i].name, name) == 0) {
            return m->headers[i].value;
        }
    }
    return NULL;
}

/* Counts n bytes for the head of the message being read; returns 0 if there is
   no memory for them. */
static int
hold_head(SpMsgReader *r, size_t n)
{
    SpMsg *m = r->msg;

    if (m->memory && !SpHeld_Take(m->memory->all, SP_HELD_HEADS, n)) {
        r->state = SP_READ_NO_MEMORY;
        return 0;
    }
    m->head_held += n;
    return 1;
}

static int
on_begin(http_parser *p)
{
    SpMsgReader *r = reader_of(p);
    SpArena *a = SpArena_New();

    r->msg = SpArena_Alloc(a, sizeof *r->msg);
    r->msg->arena = a;
    r->msg->memory = r->memory;
    r->head_bytes = 0;
    r->blank_bytes = 0;
    r->head_done = 0;
    r->has_value = 0;
    g_array_set_size(r->headers, 0);
    g_string_truncate(r->field, 0);
    g_string_truncate(r->value, 0);
    g_string_truncate(r->target, 0);
    return !hold_head(r, HEAD_BYTES);
}

/* Counts n bytes of the head. Returns 1 if they are too many, or there is no
   memory for them. */
static int
count_head_bytes(SpMsgReader *r, size_t n)
{
    r->head_bytes += n;
    if (r->head_bytes > r->max_head) {
        r->state = SP_READ_HEAD_TOO_LARGE;
        return 1;
    }
    return !hold_head(r, TEXT_COPIES * n);
}

static int
on_url(http_parser *p, const char *s, size_t n)
{
    SpMsgReader *r = reader_of(p);

    g_string_append_len(r->target, s, (gssize)n);
    return count_head_bytes(r, n);
}

/* Removes blanks at the end of a value, which are no part of it. */
static void
trim_end(GString *s)
{
    while (s->len && strchr(" \t", s->str[s->len - 1])) {
        g_string_truncate(s, s->len - 1);
    }
}

/* Returns 0 if there is no memory for the header. */
static int
finish_header(SpMsgReader *r)
{
    SpHeader h;

    if (!r->has_value) {
        return 1;
    }
    if (!hold_head(r, HEADER_BYTES)) {
        return 0;
    }
    trim_end(r->value);
    h.name = SpArena_Dup(r->msg->arena, r->field->str, r->field->len);
    h.value = SpArena_Dup(r->msg->arena, r->value->str, r->value->len);
    g_array_append_val(r->headers, h);
    g_string_truncate(r->field, 0);
    g_string_truncate(r->value, 0);
    r->has_value = 0;
    return 1;
}

static int
on_field(http_parser *p, const char *s, size_t n)
{
    SpMsgReader *r = reader_of(p);
    int is_new = r->has_value || !r->field->len;

    if (!finish_header(r) || !SpSyntax_IsToken(s, n)) {
        return 1;
    }
    g_string_append_len(r->field, s, (gssize)n);
    return count_head_bytes(r, n + (is_new ? LINE_BYTES : 0));
}

static int
on_value(http_parser *p, const char *s, size_t n)
{
    SpMsgReader *r = reader_of(p);

    if (!SpSyntax_IsText(s, n)) {
        return 1;
    }
    r->has_value = 1;
    g_string_append_len(r->value, s, (gssize)n);
    return count_head_bytes(r, n);
}

/* Returns 1 if a response has no body, whatever its head says. */
static int
is_bodiless(const SpMsgReader *r, int status)
{
    return r->skip_body || status / 100 == 1 || status == 204 || status == 304;
}

/*
 * Returns 1 if the head of a response says how its body is sent, and the body
 * is then the one that the server meant: without a coding of the transfer but
 * chunked, which is known since HTTP/1.1 only.
 */
static int
has_valid_framing(const SpMsgReader *r, const SpMsg *m)
{
    int i, codings = 0;

    if (m->status == STATUS_SWITCHING_PROTOCOLS) {
        return 0; /* no request asks for it */
    }
    if (is_bodiless(r, m->status)) {
        return 1;
    }
    for (i = 0; i < m->nheaders; i++) {
        if (strcasecmp(m->headers[i].name, "Transfer-Encoding") == 0) {
            codings++;
            if (strcasecmp(m->headers[i].value, "chunked") != 0) {
                return 0;
            }
        }
    }
    return codings == 0 || (codings == 1 && r->p.http_minor > 0);
}

static int
on_headers(http_parser *p)
{
    SpMsgReader *r = reader_of(p);
    SpMsg *m = r->msg;
    size_t bytes;
    SpHeader *list;

    if (!finish_header(r)) {
        return -1;
    }
    r->head_done = 1;
    r->has_length = p->content_length != ULLONG_MAX;
    bytes = r->headers->len * sizeof(SpHeader);
    list = SpArena_Alloc(m->arena, bytes + 1);
    if (bytes) {
        memcpy(list, r->headers->data, bytes);
    }
    m->headers = list;
    m->nheaders = (int)r->headers->len;
    m->target = SpArena_Dup(m->arena, r->target->str, r->target->len);
    m->status = p->status_code;
    if (p->type == HTTP_REQUEST) {
        m->method = http_method_str((enum http_method)p->method);
    }
    /* an Upgrade request is handled as a plain HTTP/1.1 request */
    p->upgrade = 0;
    if (p->type == HTTP_RESPONSE && !has_valid_framing(r, m)) {
        return -1;
    }
    /* parse_head looks at the byte that ends the head */
    http_parser_pause(p, 1);
    if (p->type == HTTP_RESPONSE && is_bodiless(r, m->status)) {
        return 1;
    }
    if (p->content_length != ULLONG_MAX && p->content_length > r->max_body) {
        r->state = SP_READ_BODY_TOO_LARGE;
        return -1;
    }
    return 0;
}

/* The data of a chunk have ended, or the trailer. */
static int
on_chunk_end(http_parser *p)
{
    reader_of(p)->chunk_ended = 1;
    http_parser_pause(p, 1);
    return 0;
}

/* Takes the memory for a body of total bytes; returns 0 if there is none. An
   answer that does not say its length may be one without end. */
static int
grow_body(const SpMsgReader *r, size_t total)
{
    SpMsg *m = r->msg;
    size_t held = m->body ? body_capacity(m->body_len) : 0;
    size_t needed = body_capacity(total);
    int may_fill = r->p.type == HTTP_REQUEST || r->has_length;

    if (needed == held) {
        return 1;
    }
    if (m->memory &&
        !SpBodyMemory_Grow(m->memory, needed - held, needed, may_fill)) {
        return 0;
    }
    m->body = g_realloc(m->body, needed);
    return 1;
}

static int
on_body(http_parser *p, const char *s, size_t n)
{
    SpMsgReader *r = reader_of(p);
    SpMsg *m = r->msg;
    size_t total = m->body_len + n;

    if (total > r->max_body) {
        r->state = SP_READ_BODY_TOO_LARGE;
        return 1;
    }
    if (!grow_body(r, total)) {
        r->state = SP_READ_NO_MEMORY;
        return 1;
    }
    memcpy(m->body + m->body_len, s, n);
    m->body_len = total;
    return 0;
}

/* A large head leaves large buffers, which each connection would keep. */
static void
shrink(GString **s)
{
    if ((*s)->allocated_len > KEPT_HEAD_BYTES) {
        g_string_free(*s, TRUE);
        *s = g_string_new(NULL);
    }
}

static void
shrink_buffers(SpMsgReader *r)
{
    shrink(&r->field);
    shrink(&r->value);
    shrink(&r->target);
    if (r->headers->len * sizeof(SpHeader) > KEPT_HEAD_BYTES) {
        g_array_free(r->headers, TRUE);
        r->headers = g_array_new(FALSE, FALSE, sizeof(SpHeader));
    }
}

static int
on_complete(http_parser *p)
{
    SpMsgReader *r = reader_of(p);
    SpMsg *m = r->msg;

    r->msg = NULL;
    r->head_done = 0;
    r->message_ended = 1;
    http_parser_pause(p, 1);
    shrink_buffers(r);
    if (p->type == HTTP_RESPONSE && m->status / 100 == 1) {
        SpMsg_Free(m); /* interim response; the final one follows */
        return 0;
    }
    m->keep_alive = http_should_keep_alive(p);
    r->stopped = r->done(r->ctx, m);
    return 0;
}

const http_parser_settings SpMsgReader_Callbacks = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_chunk_complete = on_chunk_end,
    .on_message_complete = on_complete,
};
