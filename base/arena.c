#include <string.h>

#include "base/base.h"

#define CHUNK_BYTES 4080

typedef struct Chunk {
    struct Chunk *next;
    size_t used, size;
    size_t pad; /* aligns the data after the header to 16 bytes */
} Chunk;

struct SpArena {
    Chunk *head;
};

static Chunk *
new_chunk(size_t n)
{
    size_t size = n > CHUNK_BYTES ? n : CHUNK_BYTES;
    Chunk *c = g_malloc(sizeof *c + size);

    c->next = NULL;
    c->used = 0;
    c->size = size;
    return c;
}

SpArena *
SpArena_New(void)
{
    SpArena *a = g_new0(SpArena, 1);

    a->head = new_chunk(0);
    return a;
}

void *
SpArena_Alloc(SpArena *a, size_t n)
{
    Chunk *c = a->head;
    void *p;

    n = (n + 15) & ~(size_t)15;
    if (c->size - c->used < n) {
        c = new_chunk(n);
        c->next = a->head;
        a->head = c;
    }
    p = (char *)(c + 1) + c->used;
    c->used += n;
    memset(p, 0, n);
    return p;
}

char *
SpArena_Dup(SpArena *a, const void *p, size_t n)
{
    char *s = SpArena_Alloc(a, n + 1);

    if (n > 0) {
        memcpy(s, p, n);
    }
    return s;
}

char *
SpArena_Str(SpArena *a, const char *s)
{
    return s ? SpArena_Dup(a, s, strlen(s)) : NULL;
}

void
SpArena_Free(SpArena *a)
{
    Chunk *c, *next;

    if (!a) {
        return;
    }
    for (c = a->head; c; c = next) {
        next = c->next;
        g_free(c);
    }
    g_free(a);
}
