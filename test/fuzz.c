/*
 * libFuzzer target for the project's own parsers of untrusted input. The
 * first byte of an input selects the parser. `make fuzz` builds and runs it;
 * given file names, the program runs these saved inputs instead.
 */
#include <stdlib.h>
#include <string.h>

#include "core/core.h"
#include "test/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

static void
on_send(void *ctx, const char *peer, const void *p, size_t n)
{
    (void)ctx;
    (void)peer;
    (void)p;
    (void)n;
}

static void
on_changed(void *ctx, const SpMember *m, SpMemberState old)
{
    (void)ctx;
    (void)m;
    (void)old;
}

static void
on_pack(void *ctx, msgpack_packer *pk)
{
    (void)ctx;
    msgpack_pack_array(pk, 0);
}

static void
on_unpack(void *ctx, const SpMember *from, const msgpack_object *o)
{
    (void)ctx;
    (void)from;
    (void)o;
}

static const SpMembersOps ops = {on_send, on_changed, on_pack, on_unpack};

static void
fuzz_members(const char *p, size_t n)
{
    SpMembersOpts o = {.self = {.name = "a",
                                .zone = "z",
                                .service = "s",
                                .mesh = "127.0.0.1:1",
                                .peer = "127.0.0.1:2",
                                .inc = 1},
                       .period_us = SP_SEC,
                       .ops = &ops};
    SpMembers *ms = SpMembers_New(&o, 0);

    SpMembers_Receive(ms, 1, p, n);
    SpMembers_Tick(ms, 2 * SP_SEC);
    SpMembers_Free(ms);
}

static void
fuzz_versions(const char *p, size_t n)
{
    SpVersions *vs = SpVersions_New();

    SpVersions_SetRange(vs, 0, 2);
    SpVersions_ApplyRecord(vs, 0, 0, p, n);
    SpVersions_ApplyPeerRecord(vs, 0, p, n);
    SpVersions_Free(vs);
}

static void
fuzz_doc(const char *p, size_t n)
{
    SpProblems *ps = SpProblems_New();
    SpDoc *d = SpDoc_Parse(p, n, ps);

    if (d) {
        SpDoc_FindRoute(d, "GET", "/x/y");
    }
    g_free(d);
    SpProblems_Free(ps);
}

static void
fuzz_text(const char *p, size_t n)
{
    char *s = g_strndup(p, n), buf[64];
    SpBoundKey k;
    uint64_t h;
    int64_t v;

    SpBoundKey_Parse(s, &k);
    SpParse_Addr(s, buf, sizeof buf, NULL);
    SpParse_Hex(s, strlen(s), &h);
    SpParse_Int(s, strlen(s), 0, 100, &v);
    SpLog_Quote(buf, sizeof buf, s);
    g_free(s);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
    const char *p = (const char *)data + 1;

    if (n == 0) {
        return 0;
    }
    switch (data[0] % (4 + SP_FUZZ_WIRE)) {
    case 0:
        fuzz_members(p, n - 1);
        break;
    case 1:
        fuzz_versions(p, n - 1);
        break;
    case 2:
        fuzz_doc(p, n - 1);
        break;
    case 3:
        fuzz_text(p, n - 1);
        break;
    default:
        fuzz_wire((data[0] % (4 + SP_FUZZ_WIRE)) - 4, p, n - 1);
        break;
    }
    return 0;
}
