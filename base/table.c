#include <string.h>

#include "base/base.h"

#define PAGE_ITEMS 256U

typedef struct Slot {
    uint32_t gen; /* generation; odd while the item is in use */
    uint32_t next_free;
} Slot;

struct SpTable {
    size_t item_bytes;
    GPtrArray *pages; /* of item memory */
    GArray *slots;    /* of Slot */
    uint32_t free;    /* index + 1 of the first free slot; 0 if none */
    size_t count;
};

SpTable *
SpTable_New(size_t item_bytes)
{
    SpTable *t = g_new0(SpTable, 1);

    t->item_bytes = (item_bytes + 15) & ~(size_t)15;
    t->pages = g_ptr_array_new_with_free_func(g_free);
    t->slots = g_array_new(FALSE, TRUE, sizeof(Slot));
    return t;
}

void
SpTable_Free(SpTable *t)
{
    if (!t) {
        return;
    }
    g_ptr_array_free(t->pages, TRUE);
    g_array_free(t->slots, TRUE);
    g_free(t);
}

static void *
item_at(const SpTable *t, uint32_t i)
{
    char *page = g_ptr_array_index(t->pages, i / PAGE_ITEMS);

    return page + (i % PAGE_ITEMS) * t->item_bytes;
}

static uint32_t
take_slot(SpTable *t)
{
    uint32_t i;
    Slot s = {0, 0};

    if (t->free) {
        i = t->free - 1;
        t->free = g_array_index(t->slots, Slot, i).next_free;
        return i;
    }
    i = t->slots->len;
    g_array_append_val(t->slots, s);
    if (i % PAGE_ITEMS == 0) {
        g_ptr_array_add(t->pages, g_malloc(PAGE_ITEMS * t->item_bytes));
    }
    return i;
}

void *
SpTable_Add(SpTable *t, SpHandle *h)
{
    uint32_t i = take_slot(t);
    Slot *s = &g_array_index(t->slots, Slot, i);
    void *p = item_at(t, i);

    s->gen++;
    t->count++;
    memset(p, 0, t->item_bytes);
    *h = (SpHandle)s->gen << 32 | i;
    return p;
}

void *
SpTable_Get(const SpTable *t, SpHandle h)
{
    uint32_t i = (uint32_t)h, gen = (uint32_t)(h >> 32);

    if (!(gen & 1) || i >= t->slots->len ||
        g_array_index(t->slots, Slot, i).gen != gen) {
        return NULL;
    }
    return item_at(t, i);
}

void
SpTable_Remove(SpTable *t, SpHandle h)
{
    uint32_t i = (uint32_t)h;
    Slot *s;

    if (!SpTable_Get(t, h)) {
        return;
    }
    s = &g_array_index(t->slots, Slot, i);
    s->gen++;
    s->next_free = t->free;
    t->free = i + 1;
    t->count--;
}

size_t
SpTable_Count(const SpTable *t)
{
    return t->count;
}

void *
SpTable_Next(const SpTable *t, uint32_t *pos, SpHandle *h)
{
    for (; *pos < t->slots->len; (*pos)++) {
        const Slot *s = &g_array_index(t->slots, Slot, *pos);
        if (s->gen & 1) {
            *h = (SpHandle)s->gen << 32 | *pos;
            return item_at(t, (*pos)++);
        }
    }
    return NULL;
}
