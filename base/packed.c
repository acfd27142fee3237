#include "base/packed.h"

/* The encoding of an item, by its first byte. */
typedef struct ItemFormat {
    unsigned char first, last;
    unsigned char size_bytes; /* of the length or count that follows */
    unsigned char fixed;      /* bytes of payload besides the length */
    unsigned char items;      /* items per element; 0: length is in bytes */
} ItemFormat;

static const ItemFormat formats[] = {
    {0xc0, 0xc0, 0, 0, 0}, {0xc2, 0xc3, 0, 0, 0},  {0xc4, 0xc4, 1, 0, 0},
    {0xc5, 0xc5, 2, 0, 0}, {0xc6, 0xc6, 4, 0, 0},  {0xc7, 0xc7, 1, 1, 0},
    {0xc8, 0xc8, 2, 1, 0}, {0xc9, 0xc9, 4, 1, 0},  {0xca, 0xca, 0, 4, 0},
    {0xcb, 0xcb, 0, 8, 0}, {0xcc, 0xcc, 0, 1, 0},  {0xcd, 0xcd, 0, 2, 0},
    {0xce, 0xce, 0, 4, 0}, {0xcf, 0xcf, 0, 8, 0},  {0xd0, 0xd0, 0, 1, 0},
    {0xd1, 0xd1, 0, 2, 0}, {0xd2, 0xd2, 0, 4, 0},  {0xd3, 0xd3, 0, 8, 0},
    {0xd4, 0xd4, 0, 2, 0}, {0xd5, 0xd5, 0, 3, 0},  {0xd6, 0xd6, 0, 5, 0},
    {0xd7, 0xd7, 0, 9, 0}, {0xd8, 0xd8, 0, 17, 0}, {0xd9, 0xd9, 1, 0, 0},
    {0xda, 0xda, 2, 0, 0}, {0xdb, 0xdb, 4, 0, 0},  {0xdc, 0xdc, 2, 0, 1},
    {0xdd, 0xdd, 4, 0, 1}, {0xde, 0xde, 2, 0, 2},  {0xdf, 0xdf, 4, 0, 2},
    {0xe0, 0xff, 0, 0, 0}};

static const ItemFormat *
format_of(unsigned char b)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(formats); i++) {
        if (b >= formats[i].first && b <= formats[i].last) {
            return &formats[i];
        }
    }
    return NULL;
}

/* Reads the item header at *at: bytes of payload and items that the item
   contains. Returns 0 if the header is invalid or truncated. */
static int
read_item(const unsigned char *p, size_t n, size_t *at, uint64_t *bytes,
          uint64_t *items)
{
    unsigned char b = p[(*at)++];
    const ItemFormat *s;
    uint64_t count = 0;
    int i;

    *bytes = *items = 0;
    if (b < 0x80) {
        return 1;
    }
    if (b < 0xc0) {
        /* fixmap, fixarray or fixstr */
        *items = b < 0x90 ? 2 * (b & 15u) : b < 0xa0 ? (b & 15u) : 0;
        *bytes = b < 0xa0 ? 0 : b & 31u;
        return 1;
    }
    s = format_of(b);
    if (!s || n - *at < s->size_bytes) {
        return 0;
    }
    for (i = 0; i < s->size_bytes; i++) {
        count = count << 8 | p[(*at)++];
    }
    *items = count * s->items;
    *bytes = s->fixed + (s->items ? 0 : count);
    return 1;
}

int
SpPacked_Check(const void *data, size_t n)
{
    const unsigned char *p = data;
    uint64_t left = 1, bytes, items;
    size_t at = 0;

    while (left > 0) {
        /* each remaining item takes at least one byte */
        if (left > n - at || !read_item(p, n, &at, &bytes, &items) ||
            bytes > n - at) {
            return 0;
        }
        at += bytes;
        left += items - 1;
    }
    return at == n;
}
