/* Account of the memory that a process holds for others. */
#include "http/priv.h"

/* One part in this many of the bound is kept for small ones. */
#define KEPT_SHARE 16

const char *
SpHeld_KindName(SpHeldKind k)
{
    static const char *const names[] = {"connections", "heads",   "bodies",
                                        "copies",      "answers", "frames"};

    return names[k];
}

void
SpHeld_Add(SpHeld *h, SpHeldKind k, size_t n)
{
    if (h) {
        h->used += n;
        h->by_kind[k] += n;
    }
}

void
SpHeld_Release(SpHeld *h, SpHeldKind k, size_t n)
{
    if (h) {
        h->used -= n;
        h->by_kind[k] -= n;
    }
}

static int
has_room(const SpHeld *h, size_t n)
{
    size_t kept = n > SP_SMALL_BYTES ? h->limit / KEPT_SHARE : 0;
    size_t limit = h->limit - kept;

    return !h->limit || (h->used <= limit && n <= limit - h->used);
}

int
SpHeld_Take(SpHeld *h, SpHeldKind k, size_t n)
{
    if (!h) {
        return 1;
    }
    while (!has_room(h, n)) {
        if (!h->make_room || !h->make_room(h->ctx, SP_HELD_NKINDS)) {
            return 0;
        }
    }
    SpHeld_Add(h, k, n);
    return 1;
}

int
SpHeld_IsShort(const SpHeld *h)
{
    return h && h->limit && h->used > h->limit / 2;
}

/*
 * The part for one kind.
 */

int
SpBodyMemory_Take(SpBodyMemory *b, size_t n)
{
    while (b->used > b->limit || n > b->limit - b->used) {
        if (!b->all || !b->all->make_room ||
            !b->all->make_room(b->all->ctx, b->kind)) {
            return 0;
        }
    }
    if (!SpHeld_Take(b->all, b->kind, n)) {
        return 0;
    }
    b->used += n;
    return 1;
}

void
SpBodyMemory_Release(SpBodyMemory *b, size_t n)
{
    b->used -= n;
    SpHeld_Release(b->all, b->kind, n);
}

/* Returns 1 if a buffer may grow by more bytes to all of needed. */
static int
may_grow(const SpBodyMemory *b, size_t more, size_t needed, int may_fill)
{
    size_t used = b->used + more;

    return used <= b->limit &&
           (needed <= b->limit - used || (may_fill && used == needed));
}

/* A small buffer needs no room in its part, so that no large one keeps it out.
 */
int
SpBodyMemory_Grow(SpBodyMemory *b, size_t more, size_t needed, int may_fill)
{
    if (b->all && needed <= SP_SMALL_BYTES) {
        if (!SpHeld_Take(b->all, b->kind, more)) {
            return 0;
        }
        b->used += more;
        return 1;
    }
    while (!may_grow(b, more, needed, may_fill)) {
        if (!b->all || !b->all->make_room ||
            !b->all->make_room(b->all->ctx, b->kind)) {
            return 0;
        }
    }
    return SpBodyMemory_Take(b, more);
}
