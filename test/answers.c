/* Unit tests of the reader of messages: what is an answer, and when it is
   whole. The cases of test/answers.txt are read in pieces of any size. */
#include <CUnit/Basic.h>
#include <string.h>

#include "http/priv.h"
#include "standin/rawtext.h"
#include "test/fuzz.h"
#include "test/test.h"

#define FILE_NAME "test/answers.txt"
#define LIMIT_BYTES 65536

/* What has been read of a connection. */
typedef struct Seen {
    int messages;
    int status;
    char body[64];
} Seen;

static int
take(void *ctx, SpMsg *m)
{
    Seen *seen = ctx;

    seen->messages++;
    seen->status = m->status;
    g_strlcpy(seen->body, m->body ? m->body : "",
              MIN(m->body_len + 1, sizeof seen->body));
    SpMsg_Free(m);
    return 1;
}

/* Reads the bytes in pieces up to the first message, and the end of the
   connection if it is closed in order; returns the state of the reader. */
static SpReadState
read_pieces(Seen *seen, enum http_parser_type type, const GString *s,
            size_t piece, int closed, int is_head)
{
    SpMsgReader r;
    SpReadState state;
    size_t i, n;

    memset(seen, 0, sizeof *seen);
    SpMsgReader_Init(&r, type);
    r.done = take;
    r.ctx = seen;
    r.max_head = r.max_body = LIMIT_BYTES;
    r.skip_body = is_head;
    for (i = 0; i < s->len && !seen->messages && r.state == SP_READ_OK;
         i += n) {
        n = MIN(piece, s->len - i);
        if (SpMsgReader_Feed(&r, s->str + i, n) < n) {
            break;
        }
    }
    if (!seen->messages && closed) {
        SpMsgReader_End(&r);
    }
    state = r.state;
    SpMsgReader_Clear(&r);
    return state;
}

static void
check_line(const RawLine *l, size_t piece)
{
    GString *s = expand_raw(l->bytes, "X-Id: 1\r\n");
    int closed = strcmp(l->end, "close") == 0 || strcmp(l->end, "leave") == 0;
    char got[96] = "broken";
    Seen seen;

    read_pieces(&seen, HTTP_RESPONSE, s, piece, closed,
                g_str_has_prefix(l->name, "head-"));
    if (seen.messages) {
        g_snprintf(got, sizeof got, "%d=%s", seen.status, seen.body);
    }
    if (strcmp(got, l->result) != 0) {
        printf("%s in pieces of %zu: %s instead of %s\n", l->name, piece, got,
               l->result);
    }
    CU_ASSERT_STRING_EQUAL(got, l->result);
    g_string_free(s, TRUE);
}

static void
test_pieces(void)
{
    static const size_t pieces[] = {1, 2, 3, 5, 7, LIMIT_BYTES};
    GArray *lines = read_raw_lines(FILE_NAME);
    guint i, k;

    CU_ASSERT_PTR_NOT_NULL(lines);
    if (!lines) {
        return;
    }
    CU_ASSERT(lines->len > 100);
    for (i = 0; i < lines->len; i++) {
        for (k = 0; k < G_N_ELEMENTS(pieces); k++) {
            check_line(&g_array_index(lines, RawLine, i), pieces[k]);
        }
    }
    free_raw_lines(lines);
}

/* Returns 1 if the reader takes the text, in which the byte stands, for a
   whole message. */
static int
is_whole(enum http_parser_type type, const char *before, int byte,
         const char *after)
{
    GString *s = g_string_new(before);
    Seen seen;

    if (byte >= 0) {
        g_string_append_c(s, (char)byte);
    }
    g_string_append(s, after);
    read_pieces(&seen, type, s, LIMIT_BYTES, 0, 0);
    g_string_free(s, TRUE);
    return seen.messages == 1;
}

#define END "\r\nContent-Length: 0\r\n\r\n"

/* RFC 9110 5.6.2 and 5.5. A tab or line end moves on to something else. */
static void
test_bytes(void)
{
    static const char marks[] = "!#$%&'*+-.^_`|~";
    int c;

    for (c = 0; c < 256; c++) {
        int name = c && (g_ascii_isalnum(c) || strchr(marks, c));
        int text = c == '\t' || (c >= ' ' && c != 0x7f);
        if (c != ':') {
            CU_ASSERT_EQUAL(
                is_whole(HTTP_RESPONSE, "HTTP/1.1 200 x\r\nX", c, "Y: z" END),
                name);
        }
        if (c != '\n') {
            CU_ASSERT_EQUAL(
                is_whole(HTTP_RESPONSE, "HTTP/1.1 200 x\r\nX: a", c, "b" END),
                text);
            CU_ASSERT_EQUAL(
                is_whole(HTTP_RESPONSE, "HTTP/1.1 200 a", c, "b" END), text);
        }
    }
}

/* RFC 9110 15: three digits from 100 to 599. The interim ones are followed by
   a final one; 101 is never asked for. */
static void
test_statuses(void)
{
    char text[128];
    int status;

    for (status = 0; status < 1000; status++) {
        int valid = status >= 100 && status <= 599 && status != 101;
        g_snprintf(text, sizeof text, "HTTP/1.1 %03d x" END "%s", status,
                   status / 100 == 1 ? "HTTP/1.1 200 x" END : "");
        CU_ASSERT_EQUAL(is_whole(HTTP_RESPONSE, text, -1, ""), valid);
    }
}

/* The rules of fields, chunks and line ends are those of requests too. */
static void
test_requests(void)
{
    static const char chunked[] =
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    static const char *const whole[] = {
        "5\r\nhello\r\n0\r\n\r\n", "5;a=\"b c\"\r\nhello\r\n0\r\nX: y\r\n\r\n",
        "000\r\n\r\n"};
    static const char *const broken[] = {
        "5\r\nhello..0\r\n\r\n", "5 5\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nX Y: z\r\n\r\n", "5\r\nhello\r\n0\r\n\r.",
        "5\nhello\r\n0\r\n\r\n"};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(whole); i++) {
        CU_ASSERT(is_whole(HTTP_REQUEST, chunked, -1, whole[i]));
    }
    for (i = 0; i < G_N_ELEMENTS(broken); i++) {
        CU_ASSERT(!is_whole(HTTP_REQUEST, chunked, -1, broken[i]));
    }
    CU_ASSERT(is_whole(HTTP_REQUEST, "\r\nGET / HTTP/1.1\r\nX|Y: a\tb\t", -1,
                       "\r\n\r\n"));
    CU_ASSERT(
        !is_whole(HTTP_REQUEST, "GET / HTTP/1.1\r\nX", ' ', "Y: z\r\n\r\n"));
    CU_ASSERT(
        !is_whole(HTTP_REQUEST, "GET / HTTP/1.1\r\nX: a", 1, "b\r\n\r\n"));
}

/* Blanks around a value are no part of it; a folded line is one line. */
static int
check_value(void *ctx, SpMsg *m)
{
    *(int *)ctx = strcmp(SpMsg_Header(m, "X"), "a \tb") == 0 &&
                  strcmp(SpMsg_Header(m, "Y"), "c d") == 0;
    SpMsg_Free(m);
    return 1;
}

static void
test_blanks(void)
{
    static const char text[] =
        "HTTP/1.1 200 x\r\nX: \t a \tb \t\r\nY: c\r\n d" END;
    SpMsgReader r;
    int same = 0;
    size_t i;

    SpMsgReader_Init(&r, HTTP_RESPONSE);
    r.done = check_value;
    r.ctx = &same;
    r.max_head = r.max_body = LIMIT_BYTES;
    for (i = 0; i + 1 < sizeof text; i++) {
        CU_ASSERT_EQUAL(SpMsgReader_Feed(&r, text + i, 1), 1);
    }
    CU_ASSERT(same);
    SpMsgReader_Clear(&r);
}

int
write_seeds(const char *dir)
{
    GArray *lines = read_raw_lines(FILE_NAME);
    int ok = lines != NULL;
    guint i;

    for (i = 0; ok && i < lines->len; i++) {
        const RawLine *l = &g_array_index(lines, RawLine, i);
        GString *s = expand_raw(l->bytes, "X-Id: 1\r\n");
        char *file = g_build_filename(dir, l->name, NULL);
        g_string_prepend_c(s, SP_FUZZ_RESPONSE);
        ok = g_file_set_contents(file, s->str, (gssize)s->len, NULL);
        g_free(file);
        g_string_free(s, TRUE);
    }
    if (lines) {
        free_raw_lines(lines);
    }
    return !ok;
}

const Unit answer_units[] = {{"answers", "pieces", test_pieces},
                             {"answers", "bytes", test_bytes},
                             {"answers", "statuses", test_statuses},
                             {"answers", "requests", test_requests},
                             {"answers", "blanks", test_blanks},
                             {NULL, NULL, NULL}};
