/* Fuzz targets for messages of the platform, instances, callers and relays. */
#include "test/fuzz.h"

#include <stdlib.h>
#include <string.h>

#include "http/priv.h"
#include "platform/platform.h"
#include "relay/frame.h"

static SpMsg
make_msg(const char *p, size_t n)
{
    SpMsg m = {
        .method = "POST", .target = "/Instances.Heartbeat/i-1", .status = 200};

    m.body = g_strndup(p, n); /* parsers expect a NUL after the body */
    m.body_len = n;
    return m;
}

static void
fuzz_report(const char *p, size_t n)
{
    SpMsg m = make_msg(p, n);
    SpArena *a = SpArena_New();
    SpReport r;

    SpPlatform_ParseReport(&m, a, &r);
    m.target = "/Instances.Deregister/i-1";
    SpPlatform_ParseReport(&m, a, &r);
    SpArena_Free(a);
    g_free(m.body);
}

static void
fuzz_config(const char *p, size_t n)
{
    GError *err = NULL;
    SpRoutes *rs = SpPlatform_ParseConfig(p, n, &err);

    if (rs) {
        SpRoutes_Find(rs, "h.example", "/x/y");
    }
    SpRoutes_Unref(rs);
    g_clear_error(&err);
}

static void
free_records(SpRecords *rs)
{
    SpArena_Free(rs->arena);
    g_array_free(rs->list, TRUE);
}

static void
fuzz_records(const char *p, size_t n)
{
    SpMsg m = make_msg(p, n);
    SpRecords rs;

    SpPlatform_ParseReadResponse(&m, 0, &rs);
    free_records(&rs);
    SpPlatform_ParseNewestResponse(&m, &rs);
    free_records(&rs);
    g_free(m.body);
}

/* Aborts, which the fuzzer reports, if the message could not be passed on as
   it is. */
static void
check_msg(const SpMsg *m)
{
    int i;

    if (!m->method && (m->status < 200 || m->status > 599)) {
        abort();
    }
    for (i = 0; i < m->nheaders; i++) {
        const SpHeader *h = &m->headers[i];
        if (!*h->name || !SpSyntax_IsToken(h->name, strlen(h->name)) ||
            !SpSyntax_IsText(h->value, strlen(h->value))) {
            abort();
        }
    }
}

/* What was read of a connection: the messages, and the bytes of their bodies.
 */
typedef struct Seen {
    int messages;
    size_t bytes;
} Seen;

static int
take_msg(void *ctx, SpMsg *m)
{
    Seen *seen = ctx;
    SpRequestInfo a;
    SpReplyInfo r;

    check_msg(m);
    if (m->method) {
        SpPlatform_Adapter.read_request(m, &a);
    }
    else {
        SpPlatform_Adapter.read_reply(m, "id", &r);
    }
    seen->messages++;
    seen->bytes += m->body_len;
    SpMsg_Free(m);
    return 0;
}

static Seen
read_all(const char *p, size_t n, enum http_parser_type type, size_t piece)
{
    SpMsgReader r;
    Seen seen = {0, 0};
    size_t i, k;

    SpMsgReader_Init(&r, type);
    r.done = take_msg;
    r.ctx = &seen;
    r.max_head = r.max_body = 4096;
    for (i = 0; i < n && r.state == SP_READ_OK; i += k) {
        k = MIN(piece, n - i);
        SpMsgReader_Feed(&r, p + i, k);
    }
    SpMsgReader_End(&r);
    SpMsgReader_Clear(&r);
    return seen;
}

/* The pieces in which bytes arrive make no difference. */
static void
fuzz_http(const char *p, size_t n, enum http_parser_type type)
{
    Seen whole = read_all(p, n, type, n / 2 + 1);
    Seen bytes = read_all(p, n, type, 1);

    if (whole.messages != bytes.messages || whole.bytes != bytes.bytes) {
        abort();
    }
}

static int
take_frame(void *ctx, FrameType type, FrameIn *f)
{
    char text[16];
    size_t n;
    uint32_t count;

    (void)ctx;
    (void)type;
    get_uint(f);
    get_text(f);
    get_addr(f, text, sizeof text);
    get_real(f);
    get_bin(f, &n);
    get_array(f, &count);
    return 1;
}

static void
fuzz_frames(const char *p, size_t n)
{
    GByteArray *in = g_byte_array_new();

    g_byte_array_append(in, (const guint8 *)p, (guint)n);
    read_frames(in, take_frame, NULL);
    g_byte_array_unref(in);
}

void
fuzz_wire(int which, const char *p, size_t n)
{
    switch (which) {
    case 0:
        fuzz_report(p, n);
        break;
    case 1:
        fuzz_config(p, n);
        break;
    case 2:
        fuzz_records(p, n);
        break;
    case 3:
        fuzz_http(p, n, HTTP_REQUEST);
        break;
    case 4:
        fuzz_http(p, n, HTTP_RESPONSE);
        break;
    default:
        fuzz_frames(p, n);
        break;
    }
}
