/* Keys of the requests that were rejected on a connection. */
#include "http/priv.h"

/* More of them are not kept. */
#define MAX_REJECTED 256

typedef struct Rejected {
    guint key;
    int64_t until;
} Rejected;

static void
forget_expired(SpRejected *s, int64_t now)
{
    guint i;

    for (i = s->list->len; i > 0; i--) {
        if (g_array_index(s->list, Rejected, i - 1).until < now) {
            g_array_remove_index_fast(s->list, i - 1);
        }
    }
}

int
SpRejected_Add(SpRejected *s, guint key, int64_t until, int64_t now)
{
    Rejected r = {key, until};

    if (!s->list) {
        s->list = g_array_new(FALSE, FALSE, sizeof(Rejected));
    }
    forget_expired(s, now);
    if (s->list->len == MAX_REJECTED) {
        return 0;
    }
    g_array_append_val(s->list, r);
    return 1;
}

int
SpRejected_Has(const SpRejected *s, guint key, int64_t now)
{
    guint i;

    for (i = 0; i < SpRejected_Count(s); i++) {
        const Rejected *r = &g_array_index(s->list, Rejected, i);
        if (r->key == key && r->until >= now) {
            return 1;
        }
    }
    return 0;
}

guint
SpRejected_Count(const SpRejected *s)
{
    return s->list ? s->list->len : 0;
}

void
SpRejected_Clear(SpRejected *s)
{
    if (s->list) {
        g_array_free(s->list, TRUE);
    }
}
