/* Parts of a retry budget by workspace. */
#include <math.h>
#include <string.h>

#include "flow/retryparts.h"

/* Workspaces whose names fall on the same slot share one part. */
#define SLOTS 512
/* While more than this part of the budget is unspent, all may take from it. */
#define COMMON_SHARE 0.1

typedef struct Part {
    double firsts, retries; /* fading */
    int64_t at;
} Part;

struct SpRetryParts {
    Part parts[SLOTS];
    int64_t window_us;
};

SpRetryParts *
SpRetryParts_New(int64_t window_us)
{
    SpRetryParts *p = g_new0(SpRetryParts, 1);

    p->window_us = window_us;
    return p;
}

void
SpRetryParts_Free(SpRetryParts *p)
{
    g_free(p);
}

static Part *
find_part(SpRetryParts *p, int64_t now, const char *workspace)
{
    Part *t = &p->parts[SpHash(workspace, strlen(workspace), 0) % SLOTS];
    double f = exp(-(double)MAX(now - t->at, 0) / (double)p->window_us);

    t->firsts *= f;
    t->retries *= f;
    t->at = MAX(t->at, now);
    return t;
}

void
SpRetryParts_CountFirst(SpRetryParts *p, int64_t now, const char *workspace)
{
    find_part(p, now, workspace)->firsts++;
}

void
SpRetryParts_CountRetry(SpRetryParts *p, int64_t now, const char *workspace)
{
    find_part(p, now, workspace)->retries++;
}

int
SpRetryParts_Allows(SpRetryParts *p, int64_t now, const char *workspace,
                    const SpRetryRoom *room)
{
    const Part *t = find_part(p, now, workspace);

    return room->unspent > COMMON_SHARE ||
           t->retries <= room->ratio * t->firsts;
}
