/* Unit tests of what a relay takes and passes on: heads of requests, answers
   of other relays, origins of connections. */
#include <CUnit/Basic.h>
#include <string.h>
#include <time.h>

#include "platform/platform.h"
#include "relay/reply.h"
#include "test/test.h"

/* 27 times the fields and options of a head of 16 KB. */
#define MANY_FIELDS 40000
#define MANY_OPTIONS 100000
#define MANY_LIMIT_S 1

/* The head for the instance, of a request with these fields. */
static GString *
head_for_instance(SpHeader *headers, int n)
{
    SpMsg m = {.method = "GET", .target = "/", .headers = headers};
    SpOrigin o = {.service = "front"};
    GString *s = g_string_new(NULL);

    m.nheaders = n;
    SpPlatform_Adapter.write_head(s, &m, &o);
    return s;
}

/* Fields that any Connection field names concern one connection only. */
static void
test_connection_options(void)
{
    SpHeader headers[] = {{"Connection", "close, one"},
                          {"ONE", "1"},
                          {"connection", " Two\t,,three "},
                          {"Two", "2"},
                          {"Three", "3"},
                          {"On", "4"},
                          {"Four", "5"}};
    GString *s = head_for_instance(headers, G_N_ELEMENTS(headers));

    CU_ASSERT_STRING_EQUAL(s->str, "GET / HTTP/1.1\r\nOn: 4\r\nFour: 5\r\n"
                                   "Siskinpond-Caller-Service: front\r\n");
    g_string_free(s, TRUE);
}

/* Guards against a head whose cost is the product of its fields and its
   options: the process answers nobody meanwhile. */
static void
test_many_options(void)
{
    SpHeader *headers = g_new0(SpHeader, MANY_FIELDS + 1);
    GString *options = g_string_new("a");
    clock_t began, limit = MANY_LIMIT_S * CLOCKS_PER_SEC;
    GString *s;
    int i;

    for (i = 0; i < MANY_OPTIONS; i++) {
        g_string_append(options, ",a");
    }
    for (i = 0; i < MANY_FIELDS; i++) {
        headers[i] = (SpHeader){"b", "c"};
    }
    headers[i] = (SpHeader){"Connection", options->str};
    began = clock();
    s = head_for_instance(headers, MANY_FIELDS + 1);
    CU_ASSERT(clock() - began < limit);
    CU_ASSERT(s->len > (size_t)MANY_FIELDS);
    g_string_free(s, TRUE);
    g_string_free(options, TRUE);
    g_free(headers);
}

static int
take_reply(void *ctx, FrameType type, FrameIn *f)
{
    (void)type;
    (void)get_uint(f); /* number of the call */
    return read_reply(f, ctx);
}

/* Returns 1 if an answer of another relay with that kind, outcome and status
   is taken. */
static int
takes_reply(uint64_t kind, uint64_t outcome, uint64_t status, Result *r)
{
    GByteArray *out = g_byte_array_new();
    FrameOut f;
    int ok;

    begin_frame(&f, out, FRAME_ANSWER, 10);
    put_uint(&f, 7);
    put_uint(&f, kind);
    put_uint(&f, outcome);
    put_uint(&f, 1);
    put_uint(&f, 0);
    put_uint(&f, UINT64_MAX);
    put_real(&f, 2);
    put_uint(&f, status);
    put_str(&f, "A: b");
    put_str(&f, "body");
    end_frame(&f);
    ok = read_frames(out, take_reply, r);
    g_byte_array_unref(out);
    return ok;
}

/* Guards against an answer with a status that ends no request, on the links
   too: a client would get it as an answer. */
static void
test_reply_status(void)
{
    static const uint64_t bad[] = {0,   99,  100,  101,
                                   199, 600, 1000, (1ULL << 32) + 200};
    Result r;
    size_t i;

    CU_ASSERT(takes_reply(SP_OK, SP_DONE, 200, &r) && r.status == 200);
    CU_ASSERT(r.kind == SP_OK && r.outcome == SP_DONE && r.reached);
    CU_ASSERT(r.calls == 2 && r.lines_len == 4 && r.body_len == 4);
    CU_ASSERT(takes_reply(SP_OK, SP_DONE, 599, &r));
    CU_ASSERT(takes_reply(SP_BROKEN, SP_UNKNOWN, 0, &r));
    CU_ASSERT(takes_reply(SP_THROTTLED, SP_NOT_RUN, 503, &r));
    for (i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_FALSE(takes_reply(SP_OK, SP_DONE, bad[i], &r));
    }
    CU_ASSERT_FALSE(takes_reply(SP_BROKEN, SP_UNKNOWN + 1, 0, &r));
    CU_ASSERT_FALSE(takes_reply(SP_NKINDS, SP_DONE, 200, &r));
    CU_ASSERT_FALSE(takes_reply(1ULL << 32, SP_DONE, 200, &r));
}

/* A call of the local instance comes from the machine's own address. */
static void
test_local_peer(void)
{
    const uint32_t lo = 0x7f000001, own = 0x0a010008;

    CU_ASSERT(SpHttp_IsLocalPeer(own, own));
    CU_ASSERT(SpHttp_IsLocalPeer(lo, lo + 0x010100));
    CU_ASSERT_FALSE(SpHttp_IsLocalPeer(own + 1, own));
    CU_ASSERT_FALSE(SpHttp_IsLocalPeer(lo, own));
    CU_ASSERT_FALSE(SpHttp_IsLocalPeer(lo + 1, lo + 0x010100));
}

const Unit passing_units[] = {
    {"passing", "connection options", test_connection_options},
    {"passing", "many options", test_many_options},
    {"passing", "reply status", test_reply_status},
    {"passing", "local peer", test_local_peer},
    {NULL, NULL, NULL}};
