/* Unit tests of the parsers in platform/ and of the frames between relays. */
#include <CUnit/Basic.h>
#include <string.h>

#include "platform/platform.h"
#include "relay/frame.h"
#include "test/test.h"

static SpRoutes *
parse_config(const char *text, char **error)
{
    GError *err = NULL;
    SpRoutes *rs = SpPlatform_ParseConfig(text, strlen(text), &err);

    *error = err ? g_strdup(err->message) : NULL;
    g_clear_error(&err);
    return rs;
}

#define COLUMNS                                                               \
    "\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_s\","  \
    "\"aim_s\",\"priority\",\"service\",\"max_attempts\",\"traffic_split\"]"

/* Texts of a configuration have no bound of our own: none keeps a version out
   or is dropped. */
static void
test_long_config(void)
{
    char *text = g_strnfill(5000, 'x');
    char *doc = g_strdup_printf(
        "{\"version\":\"0000000c\",\"routes\":{" COLUMNS ",\"rows\":["
        "[\"%s\",\"%s\",\"/%s/\",\"safe\",0.5,0.2,1,null,2,"
        "[{\"service\":\"%s\",\"weight\":90}]]]},\"services\":{\"columns\":["
        "\"name\",\"health_path\"],\"rows\":[[\"%s\",\"/%s\"]]}}",
        text, text, text, text, text, text);
    char *path = g_strdup_printf("/%s/x?/", text);
    char *error;
    SpRoutes *rs = parse_config(doc, &error);
    const SpServiceConf *c;
    const SpPathRoute *r;

    CU_ASSERT_PTR_NULL(error);
    r = rs ? SpRoutes_Find(rs, text, path) : NULL;
    c = rs ? SpRoutes_Service(rs, text) : NULL;
    CU_ASSERT(r && strcmp(r->name, text) == 0);
    CU_ASSERT(r && strcmp(r->parts[0].service, text) == 0);
    CU_ASSERT(c && strcmp(c->check + 1, text) == 0);
    path[1] = 'y';
    CU_ASSERT(rs && !SpRoutes_Find(rs, text, path));
    SpRoutes_Unref(rs);
    g_free(path);
    g_free(doc);
    g_free(text);
}

static void
test_config(void)
{
    static const char good[] =
        "{\"version\":\"0000000c\",\"routes\":{" COLUMNS ",\"rows\":["
        "[\"a\",\"h.example\",\"/x/\",\"safe\",0.5,0.2,1,\"s1\",2,null],"
        "[\"b\",\"h.example\",\"/y/\",\"unsafe\",5,1,0,null,1,"
        "[{\"service\":\"s1\",\"weight\":90},"
        "{\"service\":\"s2\",\"weight\":10}]]]},"
        "\"limits\":{\"max_header_bytes\":100,\"max_body_bytes\":200,"
        "\"header_timeout_s\":3,\"idle_timeout_s\":1.5}}";
    char *error;
    SpRoutes *rs = parse_config(good, &error);
    SpPathRoute *r;

    CU_ASSERT_PTR_NULL(error);
    CU_ASSERT_PTR_NOT_NULL(rs);
    if (!rs) {
        return;
    }
    CU_ASSERT_EQUAL(rs->version, 12);
    CU_ASSERT_EQUAL(rs->limits.idle_us, 1500 * SP_MS);
    r = SpRoutes_Find(rs, "h.example", "/x/1");
    CU_ASSERT_PTR_NOT_NULL(r);
    if (!r) {
        return;
    }
    CU_ASSERT(r->idempotent && r->attempts == 2 && r->rank == 1);
    CU_ASSERT_EQUAL(r->timeout_us, 500 * SP_MS);
    CU_ASSERT_EQUAL(r->aim_us, 200 * SP_MS);
    r = SpRoutes_Find(rs, "h.example", "/y/");
    CU_ASSERT_PTR_NOT_NULL(r);
    if (!r) {
        return;
    }
    CU_ASSERT(!r->idempotent && r->nparts == 2);
    SpRoutes_Unref(rs);
}

static void
test_bad_config(void)
{
    static const char *const texts[] = {
        "",
        "[]",
        "{",
        "{\"version\":\"0000000c\"}",
        "{\"version\":12,\"routes\":{\"columns\":[],\"rows\":[]}}",
        "{\"version\":\"0000000g\",\"routes\":{\"columns\":[],\"rows\":[]}}",
        "{\"version\":\"0000000c\",\"routes\":{" COLUMNS ",\"rows\":[[]]}}",
        "{\"version\":\"0000000c\",\"routes\":{" COLUMNS ",\"rows\":["
        "[\"a\",\"h\",\"/x/\",\"safe\",1,1,1,null,2,[]]]}}",
        "{\"version\":\"0000000c\",\"routes\":{" COLUMNS ",\"rows\":["
        "[\"a\",\"h\",\"/x\",\"safe\",1,1,1,\"s\",2,null]]}}"};
    char *error;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(texts); i++) {
        CU_ASSERT_PTR_NULL(parse_config(texts[i], &error));
        CU_ASSERT_PTR_NOT_NULL(error);
        g_free(error);
    }
}

/* Guards against writing past the parts of a route: a split may have any
   number of services. */
static void
test_wide_split(void)
{
    GString *s = g_string_new("{\"version\":\"0000000c\",\"routes\":{" COLUMNS
                              ",\"rows\":[[\"a\",\"h\",\"/x/\",\"safe\",1,1,"
                              "1,null,2,[");
    char *error;
    SpRoutes *rs;
    SpPathRoute *r;
    int i;

    for (i = 0; i < 40; i++) {
        g_string_append_printf(s, "%s{\"service\":\"s%d\",\"weight\":1}",
                               i ? "," : "", i);
    }
    g_string_append(s, "]]]},\"limits\":{}}");
    rs = parse_config(s->str, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(rs);
    r = SpRoutes_Find(rs, "h", "/x/");
    CU_ASSERT_PTR_NOT_NULL_FATAL(r);
    CU_ASSERT_EQUAL(r->nparts, 40);
    for (i = 0; i < 40; i++) {
        char name[8];
        g_snprintf(name, sizeof name, "s%d", i);
        CU_ASSERT_STRING_EQUAL(SpPathRoute_NextService(r), name);
    }
    SpRoutes_Unref(rs);
    g_string_free(s, TRUE);
}

#define KEYED(rows)                                                           \
    "{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\",\"host\","   \
    "\"path_prefix\",\"kind\",\"service\",\"public\"],\"rows\":["             \
    "[\"a\",\"h\",\"/x/\",\"download\",\"s1\",false],"                        \
    "[\"b\",\"h\",\"/y/\",\"unsafe\",\"s1\",true]]},\"tenants\":{"            \
    "\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","         \
    "\"burst\"],\"rows\":[" rows "]}}"

static void
test_workspaces(void)
{
    char *error;
    SpRoutes *rs = parse_config(
        KEYED("[\"w1\",[\"k1\",\"k2\"],1,73.5,80],[\"w2\",[],null,null,null]"),
        &error);
    const SpWorkspace *w;

    CU_ASSERT_PTR_NULL(error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(rs);
    CU_ASSERT(SpRoutes_Find(rs, "h", "/x/")->idempotent);
    CU_ASSERT_FALSE(SpRoutes_Find(rs, "h", "/x/")->is_public);
    CU_ASSERT(SpRoutes_Find(rs, "h", "/y/")->is_public);
    CU_ASSERT_EQUAL(SpWorkspaces_Count(rs->workspaces), 2);
    w = SpWorkspaces_FindKey(rs->workspaces, "k2");
    CU_ASSERT_PTR_NOT_NULL_FATAL(w);
    CU_ASSERT_PTR_EQUAL(w, SpWorkspaces_At(rs->workspaces, 0));
    CU_ASSERT_STRING_EQUAL(w->name, "w1");
    CU_ASSERT(w->rank == 1 && w->rate == 73.5 && w->burst == 80);
    w = SpWorkspaces_Find(rs->workspaces, "w2");
    CU_ASSERT_PTR_NOT_NULL(w);
    if (!w) {
        return;
    }
    CU_ASSERT(w->index == 1 && w->rank == SP_RANK_OF_ROUTE && w->rate == 0);
    CU_ASSERT_PTR_NULL(SpWorkspaces_FindKey(rs->workspaces, "k"));
    CU_ASSERT_PTR_NULL(SpWorkspaces_FindKey(rs->workspaces, ""));
    SpRoutes_Unref(rs);
}

/* An error names table, row, column and problem, and shows no key. */
static void
test_bad_workspaces(void)
{
    static const char *const texts[] = {
        KEYED("[\"w1\",[\"k1\"],1,1,1],[\"w2\",[\"k1\"],1,1,1]"),
        KEYED("[\"w1\",[\"k1\"],1,1,1],[\"w1\",[\"k2\"],1,1,1]"),
        KEYED("[\"\",[\"k1\"],1,1,1]"),
        KEYED("[\"w1\",[\"k1\"],1,-1,1]"),
        KEYED("[\"w1\",[\"k1\"],1,1,\"k1\"]"),
        KEYED("[\"w1\",[1],1,1,1]"),
        KEYED("[\"w1\",\"k1\",1,1,1]"),
        KEYED("[\"w1\",[\"k1\"],\"0\",1,1]"),
        KEYED("[\"w1\",[\"k1\"],-1,1,1]"),
        KEYED("[\"w1\\r\\nx: y\",[\"k1\"],1,1,1]")};
    char *error;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(texts); i++) {
        CU_ASSERT_PTR_NULL(parse_config(texts[i], &error));
        CU_ASSERT_PTR_NOT_NULL(error);
        if (!error) {
            continue;
        }
        CU_ASSERT(g_str_has_prefix(error, "tenants: row "));
        CU_ASSERT_PTR_NULL(strstr(error, "k1"));
        g_free(error);
    }
}

/* Of the reports that were read. */
static SpArena *report_texts;

static int
report(const char *target, const char *body, SpReport *r)
{
    SpMsg m = {.method = "POST", .target = target};

    m.body = (char *)body;
    m.body_len = strlen(body);
    if (!report_texts) {
        report_texts = SpArena_New();
    }
    return SpPlatform_ParseReport(&m, report_texts, r);
}

#define HEARTBEAT "/Instances.Heartbeat/i-1"

static void
test_report(void)
{
    SpReport r;

    CU_ASSERT(report(HEARTBEAT,
                     "{\"address\":\"1.2.3.4:5\",\"born\":17,\"info\":{"
                     "\"service\":\"s\",\"slots\":9,\"zone\":\"z\"},"
                     "\"status\":{\"state\":\"draining\",\"seq\":4,"
                     "\"warmup_left_s\":0.5}}",
                     &r));
    CU_ASSERT_STRING_EQUAL(r.id, "i-1");
    CU_ASSERT_STRING_EQUAL(r.addr, "1.2.3.4:5");
    CU_ASSERT(r.slots == 9 && r.seq == 4 && r.start_ms == 17);
    CU_ASSERT_EQUAL(r.phase, SP_INST_DRAINING);
    CU_ASSERT_EQUAL(r.warmup_us, 500 * SP_MS);
    CU_ASSERT(report("/Instances.Deregister/i-2", "", &r));
    CU_ASSERT(r.partial && r.phase == SP_INST_GONE && !r.has_start);
}

static void
test_bad_report(void)
{
    static const char *const bodies[] = {
        "",
        "x",
        "[]",
        "{}",
        "{\"address\":5,\"info\":{\"service\":\"s\",\"slots\":9},"
        "\"status\":{\"state\":\"ready\",\"seq\":4}}",
        "{\"address\":\"1.2.3.4:5\",\"info\":{\"service\":\"s\","
        "\"slots\":\"9\"},\"status\":{\"state\":\"ready\",\"seq\":4}}",
        "{\"address\":\"1.2.3.4:5\",\"info\":{\"service\":\"s\","
        "\"slots\":9},\"status\":{\"state\":\"odd\",\"seq\":4}}",
        "{\"address\":\"1.2.3.4:5\",\"born\":1.5,\"info\":{"
        "\"service\":\"s\",\"slots\":9},"
        "\"status\":{\"state\":\"ready\",\"seq\":4}}"};
    SpReport r;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
        CU_ASSERT_FALSE(report(HEARTBEAT, bodies[i], &r));
    }
    CU_ASSERT_FALSE(report("/Instances.Heartbeat/", "{}", &r));
    CU_ASSERT_FALSE(report("/elsewhere", "{}", &r));
}

static int
read_reals(void *ctx, FrameType type, FrameIn *f)
{
    double *v = ctx;

    CU_ASSERT_EQUAL(type, FRAME_STATE);
    v[0] = get_real(f);
    v[1] = get_real(f);
    return !f->bad;
}

/* Real numbers in frames between relays are short, precise to a thousandth
   and may be negative. */
static void
test_frame_reals(void)
{
    GByteArray *out = g_byte_array_new();
    double v[2] = {0, 0};
    FrameOut f;

    begin_frame(&f, out, FRAME_STATE, 2);
    put_real(&f, 25.9204);
    put_real(&f, -3.5);
    end_frame(&f);
    CU_ASSERT(out->len <= 12);
    CU_ASSERT(read_frames(out, read_reals, v));
    CU_ASSERT_DOUBLE_EQUAL(v[0], 25.92, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(v[1], -3.5, 1e-9);
    g_byte_array_unref(out);
}

static int
count_frame(void *ctx, FrameType type, FrameIn *f)
{
    (void)type;
    (void)f;
    ++*(int *)ctx;
    return 1;
}

static int
frames_in(const void *p, guint n)
{
    GByteArray *in = g_byte_array_new();
    int count = 0;

    g_byte_array_append(in, p, n);
    if (!read_frames(in, count_frame, &count)) {
        count = -1;
    }
    g_byte_array_unref(in);
    return count;
}

/* Guards against memory for elements that a message names but does not hold.
   The sanitizers end the test on the allocation. */
static void
test_frame_elements(void)
{
    static const char map[] = "\0\0\0\7\x92\4\xdf\x43\x84\xff\xff";
    static const char array[] = "\0\0\0\7\x92\4\xdd\x7f\xff\xff\xff";
    static const char nested[] = "\0\0\0\13\x92\4\xdc\0\6\xdc\0\6\xdc\0\6";
    static const char cut[] = "\0\0\0\3\x92\4\xdd";
    static const char whole[] = "\0\0\0\23"
                                "\x97\2\xc4\2xy\xa1z\xca\0\0\0\0"
                                "\xd1\0\1\x80\x91\7";

    CU_ASSERT_EQUAL(frames_in(map, sizeof map - 1), -1);
    CU_ASSERT_EQUAL(frames_in(array, sizeof array - 1), -1);
    CU_ASSERT_EQUAL(frames_in(nested, sizeof nested - 1), -1);
    CU_ASSERT_EQUAL(frames_in(cut, sizeof cut - 1), -1);
    CU_ASSERT_EQUAL(frames_in(whole, sizeof whole - 1), 1);
}

static void
test_records(void)
{
    static const char body[] = "\0\0\0\0\0\0\0\011"
                               "\0\0\0\0\0\0\0\0"
                               "\0\0\0\6\3keyvv"
                               "\0\0\0\4\3old";
    SpMsg m = {.status = 200};
    SpRecords rs;

    m.body = (char *)body;
    m.body_len = sizeof body - 1;
    CU_ASSERT(SpPlatform_ParseReadResponse(&m, 5, &rs));
    /* the log ends at 9, but the response holds the records 5 and 6 only */
    CU_ASSERT_EQUAL(rs.next, 7);
    CU_ASSERT_EQUAL_FATAL(rs.list->len, 2);
    CU_ASSERT_STRING_EQUAL(g_array_index(rs.list, SpRecord, 0).value, "vv");
    CU_ASSERT_PTR_NULL(g_array_index(rs.list, SpRecord, 1).value);
    SpArena_Free(rs.arena);
    g_array_free(rs.list, TRUE);
    m.body_len -= 2; /* truncated */
    CU_ASSERT_FALSE(SpPlatform_ParseReadResponse(&m, 5, &rs));
    SpArena_Free(rs.arena);
    g_array_free(rs.list, TRUE);
    m.body_len += 2;
    m.status = 410; /* the records were trimmed from the log */
    CU_ASSERT_FALSE(SpPlatform_ParseReadResponse(&m, 5, &rs));
    SpArena_Free(rs.arena);
    g_array_free(rs.list, TRUE);
}

static void
test_newest(void)
{
    static const char body[] =
        "{\"items\":[{\"key\":\"a\",\"value\":\"aGk=\",\"offset\":3}],"
        "\"has_more\":true,\"end_offset\":4}";
    SpMsg m = {.status = 200};
    SpRecords rs;

    m.body = (char *)body;
    m.body_len = strlen(body);
    CU_ASSERT(SpPlatform_ParseNewestResponse(&m, &rs));
    CU_ASSERT(rs.more && rs.next == 4);
    CU_ASSERT_EQUAL_FATAL(rs.list->len, 1);
    CU_ASSERT_STRING_EQUAL(g_array_index(rs.list, SpRecord, 0).value, "hi");
    SpArena_Free(rs.arena);
    g_array_free(rs.list, TRUE);
}

const Unit wire_units[] = {
    {"relay", "reals in frames", test_frame_reals},
    {"relay", "elements of frames", test_frame_elements},
    {"platform", "config", test_config},
    {"platform", "long_config", test_long_config},
    {"platform", "bad config", test_bad_config},
    {"platform", "wide split", test_wide_split},
    {"platform", "workspaces", test_workspaces},
    {"platform", "bad workspaces", test_bad_workspaces},
    {"platform", "report", test_report},
    {"platform", "bad report", test_bad_report},
    {"platform", "records", test_records},
    {"platform", "newest", test_newest},
    {NULL, NULL, NULL}};
