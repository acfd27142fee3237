/* Unit tests of the account of held memory (http/held.c). */
#include <CUnit/Basic.h>

#include "http/priv.h"
#include "test/test.h"

#define KB ((size_t)1024)

/* A client that can be closed once: it holds bytes of a kind. */
typedef struct Holder {
    SpBodyMemory *memory;
    size_t bytes;
    SpHeldKind asked;
} Holder;

static int
close_holder(void *ctx, SpHeldKind k)
{
    Holder *h = ctx;
    size_t n = h->bytes;

    h->asked = k;
    h->bytes = 0;
    if (n) {
        SpBodyMemory_Release(h->memory, n);
    }
    return n > 0;
}

static void
test_part(void)
{
    SpHeld all = {.limit = 4096 * KB};
    SpBodyMemory b = {1024 * KB, 0, &all, SP_HELD_BODIES};

    /* a body leaves as much as it takes, unless it is alone and may fill */
    CU_ASSERT_FALSE(SpBodyMemory_Grow(&b, 1024 * KB, 1024 * KB, 0));
    CU_ASSERT(SpBodyMemory_Grow(&b, 512 * KB, 512 * KB, 0));
    CU_ASSERT_FALSE(SpBodyMemory_Grow(&b, 512 * KB, 1024 * KB, 0));
    CU_ASSERT(SpBodyMemory_Grow(&b, 512 * KB, 1024 * KB, 1));
    CU_ASSERT_EQUAL(b.used, 1024 * KB);
    /* a small one needs no room in the part */
    CU_ASSERT(SpBodyMemory_Grow(&b, KB, KB, 1));
    CU_ASSERT_FALSE(SpBodyMemory_Grow(&b, 128 * KB, 128 * KB, 1));
    SpBodyMemory_Release(&b, 1025 * KB);
    CU_ASSERT_EQUAL(b.used + all.used + all.by_kind[SP_HELD_BODIES], 0);
}

static void
test_whole(void)
{
    SpHeld all = {.limit = 1600 * KB};
    SpBodyMemory copies = {1600 * KB, 0, &all, SP_HELD_COPIES};

    /* large ones leave a sixteenth to small ones */
    CU_ASSERT_FALSE(SpBodyMemory_Take(&copies, 1501 * KB));
    CU_ASSERT(SpBodyMemory_Take(&copies, 1500 * KB));
    CU_ASSERT(SpHeld_IsShort(&all));
    CU_ASSERT(SpHeld_Take(&all, SP_HELD_HEADS, 64 * KB));
    CU_ASSERT(SpHeld_Take(&all, SP_HELD_HEADS, 36 * KB));
    CU_ASSERT_FALSE(SpHeld_Take(&all, SP_HELD_HEADS, 1));
    SpHeld_Add(&all, SP_HELD_ANSWERS, KB);
    CU_ASSERT_EQUAL(all.used, 1601 * KB);
    SpHeld_Release(&all, SP_HELD_ANSWERS, KB);
    SpHeld_Release(&all, SP_HELD_HEADS, 100 * KB);
    SpBodyMemory_Release(&copies, 1500 * KB);
    CU_ASSERT_EQUAL(all.used, 0);
}

static void
test_make_room(void)
{
    SpHeld all = {.limit = 4096 * KB, .make_room = close_holder};
    SpBodyMemory b = {1024 * KB, 0, &all, SP_HELD_BODIES};
    Holder h = {&b, 768 * KB, SP_HELD_NKINDS};

    all.ctx = &h;
    CU_ASSERT(SpBodyMemory_Take(&b, h.bytes));
    CU_ASSERT(SpBodyMemory_Grow(&b, 512 * KB, 512 * KB, 1));
    CU_ASSERT_EQUAL(h.asked, SP_HELD_BODIES);
    CU_ASSERT_EQUAL(b.used, 512 * KB);
    CU_ASSERT_FALSE(SpBodyMemory_Take(&b, 768 * KB));
    CU_ASSERT_EQUAL(b.used, 512 * KB);
}

const Unit held_units[] = {{"held", "part", test_part},
                           {"held", "whole", test_whole},
                           {"held", "make room", test_make_room},
                           {NULL, NULL, NULL}};
