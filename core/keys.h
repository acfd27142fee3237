/*
 * keys: at-most-once execution by idempotency key.
 *
 * A bound key names its home, the only process that may run the request: node
 * name, incarnation, the home's clock when the key was made, and a random
 * nonce. The home remembers the outcome for longer than any copy of the
 * request can be accepted, since a key whose clock is older than the time to
 * live is always refused.
 *
 * When the table is full, a new key is refused and the floor is raised to that
 * key's clock. A key at or below the floor that is not in the table never
 * runs, so the refusal remains valid although it is not stored.
 */
#ifndef SP_KEYS_H
#define SP_KEYS_H

#include "base/base.h"
#include "conf/conf.h"

#define SP_KEY_TEXT 160

typedef struct SpBoundKey {
    char home[SP_NAME_BYTES];
    uint64_t inc;
    int64_t clock_ms;
    uint64_t nonce;
} SpBoundKey;

/* SpBoundKey_Parse reads home~inc~clock~nonce; returns 0 if s has another
   form. */
int SpBoundKey_Parse(const char *s, SpBoundKey *k);
void SpBoundKey_Print(const SpBoundKey *k, char *s, size_t n);

/* A complete answer. */
typedef struct SpAnswer {
    SpKind kind;
    int status;
    SpOutcome outcome;
    int certified; /* 1 if the outcome was stated by the key's home */
    const SpHeader *headers;
    int nheaders;
    const char *body;
    size_t body_len;
    int level;        /* lowest admission level on the path; -1 unknown */
    int load;         /* of the answering gate, percent; -1 unknown */
    int budget;       /* unused retries, returned to the sender */
    int below;        /* 1 if the failure is further downstream */
    int leaving;      /* 1 if the answering node is leaving */
    int retry_ms;     /* minimum delay before a retry; 0 none */
    int64_t clock_ms; /* of the answering node; -1 unknown */
    char from[SP_NAME_BYTES]; /* the answering node */
    uint64_t from_inc;
    char key[SP_KEY_TEXT]; /* the bound key in use, if any */
} SpAnswer;

typedef enum {
    SP_KEY_NEW,     /* may run now; recorded as running */
    SP_KEY_RUNNING, /* another request with this key runs or waits */
    SP_KEY_ANSWERED,
    SP_KEY_REFUSED,       /* refused earlier, or not valid here: never runs */
    SP_KEY_ANSWER_LOST,   /* may have run; its answer was lost */
    SP_KEY_OTHER_REQUEST, /* already used with a different request */
    SP_KEY_OUTDATED,      /* expired; may have run and been forgotten */
    SP_KEY_TABLE_FULL     /* table full: never runs */
} SpKeyState;

typedef struct SpKeys SpKeys;

/* In every call clock_ms is the current value of this home's clock. */
SpKeys *SpKeys_New(int capacity, int64_t ttl_ms);
void SpKeys_Free(SpKeys *ks);
void SpKeys_Configure(SpKeys *ks, int capacity, int64_t ttl_ms);
/*
 * SpKeys_Begin registers a request under its key; digest identifies the
 * request. On SP_KEY_ANSWERED, *a is the stored answer, valid until the next
 * call.
 */
SpKeyState SpKeys_Begin(SpKeys *ks, int64_t clock_ms, const SpBoundKey *k,
                        uint64_t digest, const SpAnswer **a);
/* SpKeys_Lookup returns the state of a key without registering it; SP_KEY_NEW
   means unused. */
SpKeyState SpKeys_Lookup(const SpKeys *ks, int64_t clock_ms,
                         const SpBoundKey *k);
/* SpKeys_StoreAnswer stores a copy of the answer to a run. */
void SpKeys_StoreAnswer(SpKeys *ks, const SpBoundKey *k, const SpAnswer *a);
/* SpKeys_MarkLost records that the request may have run and that there will be
   no answer. */
void SpKeys_MarkLost(SpKeys *ks, const SpBoundKey *k);
/* SpKeys_Refuse records that the request did not run and never will. */
void SpKeys_Refuse(SpKeys *ks, int64_t clock_ms, const SpBoundKey *k);
int SpKeys_Count(const SpKeys *ks);

#endif
