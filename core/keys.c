#include <string.h>

#include "core/keys.h"

/* Limit for all stored answers of one home together. */
#define MAX_STORED_BYTES (16 << 20)

typedef struct Key {
    uint64_t nonce, digest;
    int64_t clock_ms; /* home's clock when the key was made */
    int64_t seen_ms;  /* home's clock when the key first arrived */
    SpKeyState state; /* RUNNING, ANSWERED, REFUSED or ANSWER_LOST */
    SpAnswer answer;
    SpArena *arena; /* of the answer */
    size_t bytes;
} Key;

struct SpKeys {
    int capacity;
    int64_t ttl_ms;
    int64_t floor_ms;   /* unknown keys at or below it never run */
    GHashTable *by_key; /* Key, by nonce and clock */
    GQueue order;       /* of Key, by arrival */
    size_t bytes;
};

static guint
hash_key(gconstpointer p)
{
    const Key *k = p;

    return (guint)(k->nonce ^ (uint64_t)k->clock_ms);
}

static gboolean
same_key(gconstpointer a, gconstpointer b)
{
    const Key *x = a, *y = b;

    return x->nonce == y->nonce && x->clock_ms == y->clock_ms;
}

static void
free_key(gpointer p)
{
    Key *k = p;

    SpArena_Free(k->arena);
    g_free(k);
}

SpKeys *
SpKeys_New(int capacity, int64_t ttl_ms)
{
    SpKeys *ks = g_new0(SpKeys, 1);

    ks->capacity = capacity;
    ks->ttl_ms = ttl_ms;
    ks->floor_ms = -1;
    ks->by_key = g_hash_table_new_full(hash_key, same_key, free_key, NULL);
    g_queue_init(&ks->order);
    return ks;
}

void
SpKeys_Free(SpKeys *ks)
{
    if (ks) {
        g_queue_clear(&ks->order);
        g_hash_table_destroy(ks->by_key);
        g_free(ks);
    }
}

void
SpKeys_Configure(SpKeys *ks, int capacity, int64_t ttl_ms)
{
    ks->capacity = capacity;
    /* The time to live is never raised: that would accept again keys that
       were already forgotten under the shorter one. */
    ks->ttl_ms = MIN(ks->ttl_ms, ttl_ms);
}

int
SpBoundKey_Parse(const char *s, SpBoundKey *k)
{
    char **part = g_strsplit(s, "~", 5);
    int ok = g_strv_length(part) == 4 && part[0][0] &&
             strlen(part[0]) < sizeof k->home;

    if (ok) {
        uint64_t clock = 0;
        g_strlcpy(k->home, part[0], sizeof k->home);
        ok = SpParse_Hex(part[1], strlen(part[1]), &k->inc) &&
             SpParse_Hex(part[2], strlen(part[2]), &clock) &&
             clock <= INT64_MAX &&
             SpParse_Hex(part[3], strlen(part[3]), &k->nonce);
        k->clock_ms = (int64_t)clock;
    }
    g_strfreev(part);
    return ok;
}

void
SpBoundKey_Print(const SpBoundKey *k, char *s, size_t n)
{
    g_snprintf(s, n, "%s~%" PRIx64 "~%" PRIx64 "~%016" PRIx64, k->home, k->inc,
               (uint64_t)k->clock_ms, k->nonce);
}

static Key *
find(const SpKeys *ks, const SpBoundKey *k)
{
    Key probe = {.nonce = k->nonce, .clock_ms = k->clock_ms};

    return g_hash_table_lookup(ks->by_key, &probe);
}

/* Drops, in order of arrival, keys whose requests can no longer be
   accepted. */
static void
expire(SpKeys *ks, int64_t clock_ms)
{
    Key *k;

    while ((k = g_queue_peek_head(&ks->order)) != NULL) {
        if (k->state == SP_KEY_RUNNING ||
            MAX(k->seen_ms, k->clock_ms) + ks->ttl_ms >= clock_ms) {
            return;
        }
        g_queue_pop_head(&ks->order);
        ks->bytes -= k->bytes;
        g_hash_table_remove(ks->by_key, k);
    }
}

static Key *
add(SpKeys *ks, int64_t clock_ms, const SpBoundKey *bk, uint64_t digest,
    SpKeyState st)
{
    Key *k = g_new0(Key, 1);

    k->nonce = bk->nonce;
    k->clock_ms = bk->clock_ms;
    k->digest = digest;
    k->seen_ms = clock_ms;
    k->state = st;
    g_hash_table_add(ks->by_key, k);
    g_queue_push_tail(&ks->order, k);
    return k;
}

static SpKeyState
state_of_unknown(const SpKeys *ks, int64_t clock_ms, const SpBoundKey *bk)
{
    if (bk->clock_ms > clock_ms) {
        /* the clock value in the key is ahead of this node's: this node did
           not issue the key */
        return SP_KEY_REFUSED;
    }
    if (bk->clock_ms + ks->ttl_ms < clock_ms) {
        return SP_KEY_OUTDATED;
    }
    if (bk->clock_ms <= ks->floor_ms) {
        return SP_KEY_REFUSED;
    }
    return SP_KEY_NEW;
}

SpKeyState
SpKeys_Lookup(const SpKeys *ks, int64_t clock_ms, const SpBoundKey *bk)
{
    const Key *k = find(ks, bk);

    return k ? k->state : state_of_unknown(ks, clock_ms, bk);
}

SpKeyState
SpKeys_Begin(SpKeys *ks, int64_t clock_ms, const SpBoundKey *bk,
             uint64_t digest, const SpAnswer **a)
{
    SpKeyState st;
    Key *k;

    expire(ks, clock_ms);
    k = find(ks, bk);
    if (k) {
        *a = &k->answer;
        return k->digest == digest || k->state == SP_KEY_REFUSED
                   ? k->state
                   : SP_KEY_OTHER_REQUEST;
    }
    st = state_of_unknown(ks, clock_ms, bk);
    if (st != SP_KEY_NEW) {
        return st;
    }
    if ((int)g_hash_table_size(ks->by_key) >= ks->capacity ||
        ks->bytes >= MAX_STORED_BYTES) {
        ks->floor_ms = MAX(ks->floor_ms, bk->clock_ms);
        return SP_KEY_TABLE_FULL;
    }
    add(ks, clock_ms, bk, digest, SP_KEY_RUNNING);
    return SP_KEY_NEW;
}

static void
copy_answer(Key *k, const SpAnswer *a)
{
    SpHeader *h;
    int i;

    k->arena = SpArena_New();
    k->answer = *a;
    h = SpArena_Alloc(k->arena, sizeof *h * (size_t)(a->nheaders + 1));
    for (i = 0; i < a->nheaders; i++) {
        h[i].name = SpArena_Str(k->arena, a->headers[i].name);
        h[i].value = SpArena_Str(k->arena, a->headers[i].value);
    }
    k->answer.headers = h;
    k->answer.body = SpArena_Dup(k->arena, a->body, a->body_len);
    k->bytes = a->body_len + 512;
}

void
SpKeys_StoreAnswer(SpKeys *ks, const SpBoundKey *bk, const SpAnswer *a)
{
    Key *k = find(ks, bk);

    if (!k || k->state != SP_KEY_RUNNING) {
        return;
    }
    copy_answer(k, a);
    ks->bytes += k->bytes;
    k->state = SP_KEY_ANSWERED;
}

void
SpKeys_MarkLost(SpKeys *ks, const SpBoundKey *bk)
{
    Key *k = find(ks, bk);

    if (k && k->state == SP_KEY_RUNNING) {
        k->state = SP_KEY_ANSWER_LOST;
    }
}

void
SpKeys_Refuse(SpKeys *ks, int64_t clock_ms, const SpBoundKey *bk)
{
    Key *k = find(ks, bk);

    if (k) {
        if (k->state == SP_KEY_RUNNING) {
            k->state = SP_KEY_REFUSED;
        }
        return;
    }
    if ((int)g_hash_table_size(ks->by_key) < ks->capacity) {
        add(ks, clock_ms, bk, 0, SP_KEY_REFUSED);
        return;
    }
    ks->floor_ms = MAX(ks->floor_ms, bk->clock_ms);
}

int
SpKeys_Count(const SpKeys *ks)
{
    return (int)g_hash_table_size(ks->by_key);
}
