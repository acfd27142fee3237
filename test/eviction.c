/* Unit tests of flow/eviction.h. */
#include <CUnit/Basic.h>

#include "flow/eviction.h"
#include "test/test.h"

#define NOW (100 * SP_SEC)

/* Returns the user of the one that is chosen. */
static const char *
choose(SpNeed need, const SpHolder *hs, size_t n)
{
    SpEviction e;
    size_t i;

    SpEviction_Begin(&e, need, NOW);
    for (i = 0; i < n; i++) {
        SpEviction_Consider(&e, &hs[i]);
    }
    return e.chosen;
}

static SpHolder
holder(const char *name, SpHolderStep step, size_t bytes, int64_t still_us)
{
    SpHolder h = {step,           bytes,       1 << 30, NOW - 10 * SP_SEC,
                  NOW - still_us, (void *)name};

    return h;
}

static void
test_still(void)
{
    SpHolder hs[] = {holder("new", SP_HOLDER_SENDING, 4 << 20, 10 * SP_MS),
                     holder("old", SP_HOLDER_SENDING, 4 << 20, 3 * SP_SEC),
                     holder("older", SP_HOLDER_SENDING, 4 << 20, 4 * SP_SEC),
                     holder("small", SP_HOLDER_SENDING, 4 << 10, 9 * SP_SEC)};

    CU_ASSERT_STRING_EQUAL(choose(SP_NEED_MEMORY, hs, 4), "older");
    /* none that moves, and none of those that wait for this process */
    hs[1].moved_at = hs[2].moved_at = hs[3].moved_at = NOW - 10 * SP_MS;
    CU_ASSERT_PTR_NULL(choose(SP_NEED_MEMORY, hs, 3));
    hs[2] = holder("waits", SP_HOLDER_WAITING, 4 << 20, 9 * SP_SEC);
    CU_ASSERT_PTR_NULL(choose(SP_NEED_MEMORY, hs, 3));
    CU_ASSERT_PTR_NULL(choose(SP_NEED_DESCRIPTOR, hs, 3));
}

static void
test_pace(void)
{
    SpHolder h = holder("drips", SP_HOLDER_TAKING, 4 << 20, 10 * SP_MS);

    CU_ASSERT_EQUAL(SpHolder_Late(&h, NOW), 0);
    h.moved = 1000;
    CU_ASSERT(SpHolder_Late(&h, NOW) > 9 * SP_SEC);
    CU_ASSERT_STRING_EQUAL(choose(SP_NEED_MEMORY, &h, 1), "drips");
    h.moved = 10 * 65536;
    CU_ASSERT_EQUAL(SpHolder_Late(&h, NOW), 0);
}

static void
test_descriptors(void)
{
    SpHolder hs[] = {holder("idle", SP_HOLDER_IDLE, 4096, 90 * SP_SEC),
                     holder("silent", SP_HOLDER_SILENT, 4096, 2 * SP_SEC),
                     holder("older", SP_HOLDER_SILENT, 4096, 3 * SP_SEC),
                     holder("sends", SP_HOLDER_SENDING, 4 << 20, 60 * SP_SEC)};

    CU_ASSERT_STRING_EQUAL(choose(SP_NEED_DESCRIPTOR, hs, 4), "older");
    hs[1].moved_at = hs[2].moved_at = NOW;
    CU_ASSERT_STRING_EQUAL(choose(SP_NEED_DESCRIPTOR, hs, 4), "sends");
    CU_ASSERT_STRING_EQUAL(choose(SP_NEED_DESCRIPTOR, hs, 1), "idle");
}

const Unit eviction_units[] = {{"eviction", "stands still", test_still},
                               {"eviction", "pace", test_pace},
                               {"eviction", "descriptors", test_descriptors},
                               {NULL, NULL, NULL}};
