/* Unit tests of base/, conf/ and core/. */
#include <CUnit/Basic.h>
#include <string.h>

#include "core/core.h"
#include "base/packed.h"
#include "test/test.h"

/*
 * base
 */

static void
test_arena(void)
{
    SpArena *a = SpArena_New();
    char *big = SpArena_Alloc(a, 100000), *s = SpArena_Str(a, "text");

    memset(big, 1, 100000);
    CU_ASSERT_STRING_EQUAL(s, "text");
    CU_ASSERT_PTR_NULL(SpArena_Str(a, NULL));
    CU_ASSERT_EQUAL((uintptr_t)SpArena_Alloc(a, 3) % 16, 0);
    SpArena_Free(a);
}

static void
test_table(void)
{
    SpTable *t = SpTable_New(sizeof(int));
    SpHandle h[600], again;
    int *p, i;

    for (i = 0; i < 600; i++) {
        *(int *)SpTable_Add(t, &h[i]) = i;
    }
    p = SpTable_Get(t, h[300]);
    CU_ASSERT_EQUAL(*p, 300);
    SpTable_Remove(t, h[300]);
    CU_ASSERT_PTR_NULL(SpTable_Get(t, h[300]));
    SpTable_Add(t, &again);
    CU_ASSERT_NOT_EQUAL(again, h[300]);
    CU_ASSERT_PTR_NULL(SpTable_Get(t, h[300]));
    CU_ASSERT_EQUAL(SpTable_Count(t), 600);
    CU_ASSERT_PTR_NULL(SpTable_Get(t, 0));
    SpTable_Free(t);
}

static void
test_kinds(void)
{
    int k;

    for (k = 0; k < SP_NKINDS; k++) {
        const SpKindInfo *i = SpKind_Info((SpKind)k);
        CU_ASSERT_PTR_NOT_NULL_FATAL(i->name);
        CU_ASSERT_EQUAL(SpKind_ByName(i->name), (SpKind)k);
        CU_ASSERT(i->status >= 200 && i->status < 600);
        CU_ASSERT((k == SP_OK) == (i->outcome == SP_DONE));
    }
    CU_ASSERT_EQUAL(SpKind_ByName("no such kind"), SP_NKINDS);
}

static void
test_parse(void)
{
    char buf[64];
    int64_t v;
    uint64_t h;
    int port;

    CU_ASSERT(SpParse_Int("42", 2, 0, 100, &v) && v == 42);
    CU_ASSERT(!SpParse_Int("42x", 3, 0, 100, &v));
    CU_ASSERT(!SpParse_Int("101", 3, 0, 100, &v));
    CU_ASSERT(!SpParse_Int("", 0, 0, 100, &v));
    CU_ASSERT(!SpParse_Int("99999999999999999999999", 23, 0, 100, &v));
    CU_ASSERT(SpParse_Hex("ff", 2, &h) && h == 255);
    CU_ASSERT(!SpParse_Hex("fg", 2, &h));
    CU_ASSERT(SpParse_Addr("127.0.0.1:80", buf, sizeof buf, &port));
    CU_ASSERT(port == 80 && strcmp(buf, "127.0.0.1") == 0);
    CU_ASSERT(!SpParse_Addr("localhost:80", NULL, 0, NULL));
    CU_ASSERT(!SpParse_Addr("127.0.0.1:0", NULL, 0, NULL));
    CU_ASSERT(!SpParse_Addr("127.0.0.1", NULL, 0, NULL));
    CU_ASSERT(SpEqual_ConstTime("abc", "abc"));
    CU_ASSERT(!SpEqual_ConstTime("abc", "abcabc"));
    CU_ASSERT(!SpEqual_ConstTime("abc", ""));
    CU_ASSERT(SpEqual_ConstTime("", ""));
    CU_ASSERT_STRING_EQUAL(SpLog_Quote(buf, sizeof buf, "a b\n\"c"),
                           "\"a b\\x0a\\\"c\"");
}

/*
 * conf
 */

static SpDoc *
parse(const char *text, SpProblems **ps)
{
    *ps = SpProblems_New();
    return SpDoc_Parse(text, strlen(text), *ps);
}

static int
has_problem(const SpProblems *ps, const char *place)
{
    guint i;

    for (i = 0; i < SpProblems_Count(ps); i++) {
        if (strcmp(SpProblems_At(ps, i)->place, place) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
test_doc(void)
{
    gchar *text;
    SpProblems *ps;
    SpDoc *d;
    int r;

    CU_ASSERT_FATAL(
        g_file_get_contents("examples/resale-mesh.json", &text, NULL, NULL));
    d = parse(text, &ps);
    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    r = SpDoc_FindRoute(d, "GET", "/catalogue/page?x=1");
    CU_ASSERT_STRING_EQUAL(d->routes[r].name, "page");
    CU_ASSERT_EQUAL(SpDoc_FindRoute(d, "POST", "/catalogue/page"), -1);
    CU_ASSERT_EQUAL(SpDoc_FindRoute(d, "GET", "/catalogue/pages"), -1);
    CU_ASSERT(SpDoc_FindRoute(d, "GET", "/catalogue/page/9") >= 0);
    SpProblems_Free(ps);
    g_free(d);
    g_free(text);
}

static void
test_bad_doc(void)
{
    static const char text[] =
        "{\"format\": 2, \"name\": \"X\", \"classes\": [\"a\", \"a\"],"
        " \"retries\": {\"per_request\": 99, \"ratio\": \"x\"},"
        " \"surprise\": 1, \"services\": [{\"name\": \"s\", \"slots\": 0,"
        " \"connections\": 1}], \"routes\": [{\"name\": \"r\","
        " \"service\": \"t\", \"class\": \"b\", \"method\": \"GET\","
        " \"path\": \"x\", \"idempotent\": false, \"deadline_ms\": 1}]}";
    static const char *const places[] = {"format",
                                         "name",
                                         "classes[1]",
                                         "retries.per_request",
                                         "retries.ratio",
                                         "surprise",
                                         "services[0].slots",
                                         "routes[0].service",
                                         "routes[0].class",
                                         "routes[0].path",
                                         "routes[0].idempotent"};
    SpProblems *ps;
    SpDoc *d = parse(text, &ps);
    size_t i;

    CU_ASSERT_PTR_NULL(d);
    for (i = 0; i < G_N_ELEMENTS(places); i++) {
        CU_ASSERT(has_problem(ps, places[i]));
    }
    SpProblems_Free(ps);
    d = parse("{\"format\": 1, \"format\": 1}", &ps);
    CU_ASSERT_PTR_NULL(d);
    CU_ASSERT(has_problem(ps, "line 1, column 22"));
    SpProblems_Free(ps);
}

/*
 * gate
 */

static SpGate *
make_gate(int slots, int queue)
{
    SpGateOpts o = {SP_POLICY_FULL, slots, queue, 0, 20 * SP_MS, 3};

    return SpGate_New(&o, 0);
}

static SpGateVerdict
arrive(SpGate *g, int64_t now, SpHandle id, int class, int inner,
       SpHandle *evicted)
{
    SpGateRequest ask = {id, class * SP_SLICES, inner, now + SP_SEC};
    SpHandle entry;

    return SpGate_Submit(g, now, &ask, &entry, evicted);
}

static void
test_gate_order(void)
{
    SpGate *g = make_gate(1, 3);
    SpHandle evicted;
    int late;

    CU_ASSERT_EQUAL(arrive(g, 0, 1, 2, 0, &evicted), SP_GATE_RUN);
    CU_ASSERT_EQUAL(arrive(g, 0, 2, 2, 0, &evicted), SP_GATE_QUEUED);
    CU_ASSERT_EQUAL(arrive(g, 0, 3, 2, 1, &evicted), SP_GATE_QUEUED);
    CU_ASSERT_EQUAL(arrive(g, 0, 4, 1, 0, &evicted), SP_GATE_QUEUED);
    /* full: an arrival evicts the entry of the lowest class, if that is below
       its own */
    CU_ASSERT_EQUAL(arrive(g, 0, 5, 2, 0, &evicted), SP_GATE_FULL);
    CU_ASSERT_EQUAL(arrive(g, 0, 6, 0, 0, &evicted), SP_GATE_QUEUED);
    CU_ASSERT_EQUAL(evicted, 2);
    CU_ASSERT_EQUAL(SpGate_Next(g, 0, &late), 0);
    SpGate_Done(g, 0, 2 * SP_SLICES, 1000, 1, 0);
    CU_ASSERT_EQUAL(SpGate_Next(g, 0, &late), 6);
    SpGate_Done(g, 0, 0, 1000, 1, 0);
    CU_ASSERT_EQUAL(SpGate_Next(g, 0, &late), 4);
    SpGate_Done(g, 0, SP_SLICES, 1000, 1, 0);
    CU_ASSERT_EQUAL(SpGate_Next(g, 0, &late), 3);
    SpGate_Free(g);
}

static void
test_gate_late(void)
{
    SpGate *g = make_gate(1, 10);
    SpHandle evicted;
    int late = 0;

    arrive(g, 0, 1, 2, 0, &evicted);
    arrive(g, 0, 2, 2, 0, &evicted);
    /* expired in the queue: dropped although no slot is free, never run */
    CU_ASSERT_EQUAL(SpGate_Next(g, 2 * SP_SEC, &late), 2);
    CU_ASSERT_EQUAL(late, 1);
    CU_ASSERT_EQUAL(SpGate_Queued(g), 0);
    SpGate_Free(g);
}

/*
 * keys
 */

static SpBoundKey
key_at(int64_t clock_ms, uint64_t nonce)
{
    SpBoundKey k = {"a", 1, clock_ms, nonce};

    return k;
}

static void
test_keys(void)
{
    SpKeys *ks = SpKeys_New(2, 1000);
    SpBoundKey k1 = key_at(10, 1), k2 = key_at(20, 2), k3 = key_at(30, 3);
    SpBoundKey k4 = key_at(40, 4);
    SpAnswer a = {.kind = SP_OK, .status = 200, .body = "x", .body_len = 1};
    const SpAnswer *stored;

    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 50, &k1, 7, &stored), SP_KEY_NEW);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 50, &k1, 7, &stored), SP_KEY_RUNNING);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 50, &k1, 8, &stored),
                    SP_KEY_OTHER_REQUEST);
    SpKeys_StoreAnswer(ks, &k1, &a);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 50, &k1, 7, &stored), SP_KEY_ANSWERED);
    CU_ASSERT_EQUAL(stored->body[0], 'x');
    SpKeys_Refuse(ks, 50, &k2);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 50, &k2, 7, &stored), SP_KEY_REFUSED);
    /* A key that was refused for lack of room stays refused when there is
       room again. */
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 50, &k3, 7, &stored), SP_KEY_TABLE_FULL);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 1025, &k3, 7, &stored), SP_KEY_REFUSED);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 1051, &k1, 7, &stored), SP_KEY_OUTDATED);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 1035, &k3, 7, &stored), SP_KEY_OUTDATED);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 1040, &k4, 7, &stored), SP_KEY_NEW);
    /* a key whose time lies in the future is refused */
    k4 = key_at(5000, 5);
    CU_ASSERT_EQUAL(SpKeys_Begin(ks, 1041, &k4, 7, &stored), SP_KEY_REFUSED);
    SpKeys_Free(ks);
}

static void
test_key_text(void)
{
    SpBoundKey k = {"sales-1", 0xabc, 77, 0x1234}, parsed;
    char s[SP_KEY_TEXT];

    SpBoundKey_Print(&k, s, sizeof s);
    CU_ASSERT_STRING_EQUAL(s, "sales-1~abc~4d~0000000000001234");
    CU_ASSERT(SpBoundKey_Parse(s, &parsed));
    CU_ASSERT(parsed.inc == k.inc && parsed.nonce == k.nonce &&
              parsed.clock_ms == 77);
    CU_ASSERT(!SpBoundKey_Parse("abc", &parsed));
    CU_ASSERT(!SpBoundKey_Parse("a~1~2~3~4", &parsed));
    CU_ASSERT(!SpBoundKey_Parse("~1~2~3", &parsed));
    CU_ASSERT(!SpBoundKey_Parse("a~x~2~3", &parsed));
}

/*
 * version
 */

static char *
doc_text(const char *name)
{
    return g_strdup_printf(
        "{\"format\": 1, \"name\": \"%s\", \"classes\": [\"a\"],"
        " \"retries\": {\"per_request\": 1, \"ratio\": 0.1}, \"services\":"
        " [{\"name\": \"s\", \"slots\": 1, \"connections\": 1}], \"routes\":"
        " [{\"name\": \"r\", \"service\": \"s\", \"class\": \"a\","
        " \"method\": \"GET\", \"path\": \"/\", \"idempotent\": true,"
        " \"deadline_ms\": 100}]}",
        name);
}

static int
add_publish(SpVersions *vs, int64_t offset, const char *id, int replaces,
            const char *doc)
{
    char *text = doc_text(doc);
    char *rec = SpVersions_MakePublish(id, replaces, "me", "why", 0, text);
    int changed = SpVersions_ApplyRecord(vs, 0, offset, rec, strlen(rec));

    g_free(rec);
    g_free(text);
    return changed;
}

static void
test_versions(void)
{
    SpVersions *vs = SpVersions_New();

    SpVersions_SetRange(vs, 0, 10);
    CU_ASSERT(add_publish(vs, 0, "i1", 0, "one"));
    CU_ASSERT(!add_publish(vs, 1, "i2", 0, "two"));
    CU_ASSERT(!add_publish(vs, 2, "i3", 1, "BAD NAME"));
    CU_ASSERT(add_publish(vs, 3, "i4", 1, "four"));
    CU_ASSERT_EQUAL(SpVersions_State(vs, "i2"), SP_PUBLISH_CONFLICT);
    CU_ASSERT_EQUAL(SpVersions_State(vs, "i3"), SP_PUBLISH_INVALID);
    CU_ASSERT_EQUAL(SpVersions_State(vs, "i4"), SP_PUBLISH_ACCEPTED);
    CU_ASSERT_EQUAL(SpVersions_State(vs, "i5"), SP_PUBLISH_UNKNOWN);
    CU_ASSERT_EQUAL(SpVersions_Current(vs)->number, 2);
    CU_ASSERT(!add_publish(vs, 0, "i1", 0, "one"));
    SpVersions_Free(vs);
}

/* A node that starts reading a trimmed log must not accept a publish whose
   predecessor it has not read: that publish may have lost. */
static void
test_versions_gap(void)
{
    SpVersions *old = SpVersions_New(), *vs = SpVersions_New();
    char *stale, *good;

    SpVersions_SetRange(old, 0, 10);
    add_publish(old, 0, "i1", 0, "one");
    stale = SpVersions_MakeKeep(old);
    add_publish(old, 1, "i2", 1, "two");
    good = SpVersions_MakeKeep(old);
    /* The log starts at offset 2, with a stale keep record and then a publish
       that came too late. */
    SpVersions_SetRange(vs, 2, 10);
    CU_ASSERT(SpVersions_Gap(vs));
    SpVersions_ApplyRecord(vs, 0, 2, stale, strlen(stale));
    CU_ASSERT(!add_publish(vs, 3, "i3", 1, "rogue"));
    CU_ASSERT(SpVersions_Gap(vs));
    SpVersions_ApplyRecord(vs, 0, 4, good, strlen(good));
    CU_ASSERT_EQUAL(SpVersions_Current(vs)->number, 2);
    CU_ASSERT_STRING_EQUAL(SpVersions_Current(vs)->id, "i2");
    /* a peer with an older version changes nothing */
    CU_ASSERT(!SpVersions_ApplyPeerRecord(vs, 0, stale, strlen(stale)));
    CU_ASSERT_EQUAL(SpVersions_Current(vs)->number, 2);
    g_free(stale);
    g_free(good);
    SpVersions_Free(old);
    SpVersions_Free(vs);
}

/*
 * line
 */

static void
test_line(void)
{
    SpEventLog *l = SpEventLog_New(2);
    uint64_t a = SpEventLog_Add(l, 100, "x", "n=%d", 1)->hlc;
    uint64_t b = SpEventLog_Add(l, 99, "x", "n=%d", 2)->hlc;

    CU_ASSERT(b > a);
    SpEventLog_MergeStamp(l, 100, (uint64_t)5000 << 16);
    CU_ASSERT(SpEventLog_Add(l, 101, "x", "n=%d", 3)->hlc > (uint64_t)5000
                                                                << 16);
    /* a remote clock that is far ahead is not followed */
    SpEventLog_MergeStamp(l, 100, (uint64_t)500000 << 16);
    CU_ASSERT(SpEventLog_Stamp(l, 102) < (uint64_t)500000 << 16);
    CU_ASSERT_EQUAL(SpEventLog_Count(l), 2);
    CU_ASSERT_STRING_EQUAL(SpEventLog_At(l, 0)->text, "n=2");
    SpEventLog_Free(l);
}

/* Found by fuzzing: MessagePack headers that declare far more elements or
   bytes than the input has. */
static void
test_packed(void)
{
    static const unsigned char oversized_map[] = {0xdf, 0xdf, 0xdf,
                                                  0xdf, 0xdf, 0xdf};
    static const unsigned char list[] = {0x93, 0x01, 0xa2, 'h', 'i', 0xc0};
    static const unsigned char text[] = {0xd9, 0x05, 'a'};

    CU_ASSERT(!SpPacked_Check(oversized_map, sizeof oversized_map));
    CU_ASSERT(SpPacked_Check(list, sizeof list));
    CU_ASSERT(!SpPacked_Check(list, sizeof list - 1));
    CU_ASSERT(!SpPacked_Check(text, sizeof text));
    CU_ASSERT(!SpPacked_Check("", 0));
}

static void
add_units(const Unit *list)
{
    CU_pSuite suite = NULL;
    const char *last = "";

    for (; list->suite; list++) {
        if (strcmp(last, list->suite) != 0) {
            suite = CU_add_suite(list->suite, NULL, NULL);
            last = list->suite;
        }
        CU_add_test(suite, list->name, list->run);
    }
}

int
run_units(void)
{
    static const Unit tests[] = {{"base", "arena", test_arena},
                                 {"base", "table", test_table},
                                 {"base", "kinds", test_kinds},
                                 {"base", "parse", test_parse},
                                 {"conf", "doc", test_doc},
                                 {"conf", "bad doc", test_bad_doc},
                                 {"core", "gate order", test_gate_order},
                                 {"core", "gate late", test_gate_late},
                                 {"core", "keys", test_keys},
                                 {"core", "key text", test_key_text},
                                 {"core", "versions", test_versions},
                                 {"core", "versions gap", test_versions_gap},
                                 {"core", "line", test_line},
                                 {"core", "packed", test_packed},
                                 {NULL, NULL, NULL}};
    unsigned failures;

    CU_initialize_registry();
    add_units(tests);
    add_units(flow_units);
    add_units(chooser_units);
    add_units(wire_units);
    add_units(passing_units);
    add_units(answer_units);
    add_units(pool_units);
    add_units(directory_units);
    add_units(ranks_units);
    add_units(fairqueue_units);
    add_units(fairshare_units);
    add_units(retryparts_units);
    add_units(eviction_units);
    add_units(held_units);
    add_units(quota_units);
    add_units(quota_load_units);
    add_units(capacity_units);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures ? 1 : 0;
}
