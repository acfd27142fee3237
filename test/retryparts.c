/* Load replay of the retry budget between workspaces. */
#include <CUnit/Basic.h>
#include <string.h>

#include "flow/retryparts.h"
#include "test/test.h"

#define WORKSPACES 10

typedef struct Retries {
    double rejected[WORKSPACES], retried[WORKSPACES];
} Retries;

/* Ten workspaces of 20 requests a second each, a twentieth rejected; after
   10 s the last sends 7.5 times that, and nine tenths of its requests are
   rejected. Counts the next 20 s. */
static Retries
replay(int has_parts)
{
    static const char names[WORKSPACES][2] = {"a", "b", "c", "d", "e",
                                              "f", "g", "h", "i", "j"};
    const SpRetryOpts o = {0.2, 10, 10 * SP_SEC};
    SpRetryParts *p = SpRetryParts_New(o.window_us);
    Retries r = {{0}, {0}};
    SpRetryBudget b;
    SpRetryRoom room;
    uint64_t rand = 5;
    int64_t now;
    int i;

    SpRetryBudget_Init(&b, &o);
    for (now = SP_SEC; now < 31 * SP_SEC; now += SP_MS) {
        int floods = now >= 11 * SP_SEC;
        for (i = 0; i < WORKSPACES; i++) {
            int flood = floods && i == WORKSPACES - 1;
            if (SpRand_Unit(&rand) >= (flood ? 0.15 : 0.02)) {
                continue;
            }
            SpRetryBudget_CountFirst(&b, now);
            SpRetryParts_CountFirst(p, now, names[i]);
            if (SpRand_Unit(&rand) >= (flood ? 0.9 : 0.05)) {
                SpRetryBudget_CountOutcome(&b, 1);
                continue;
            }
            SpRetryBudget_CountOutcome(&b, 0);
            r.rejected[i] += floods;
            room = SpRetryBudget_Room(&b, now, 2);
            if (has_parts && !SpRetryParts_Allows(p, now, names[i], &room)) {
                continue;
            }
            if (SpRetryBudget_Take(&b, now, 2, 0)) {
                SpRetryParts_CountRetry(p, now, names[i]);
                r.retried[i] += floods;
            }
        }
    }
    SpRetryParts_Free(p);
    return r;
}

/* Guards against a flood whose retries leave none to the others, and against
   parts that leave the budget unspent. */
static void
test_retry_flood(void)
{
    Retries with = replay(1), without = replay(0);
    double sum = 0, sum_without = 0, worst = 1;
    int i;

    for (i = 0; i < WORKSPACES; i++) {
        sum += with.retried[i];
        sum_without += without.retried[i];
        if (i < WORKSPACES - 1) {
            worst = MIN(worst, with.retried[i] / with.rejected[i]);
        }
    }
    CU_ASSERT(worst >= 0.9);
    CU_ASSERT(sum >= 0.9 * sum_without);
}

const Unit retryparts_units[] = {{"retry parts", "flood", test_retry_flood},
                                 {NULL, NULL, NULL}};
