/*
 * keys: the at-most-once table of one home.
 *
 * A bound key names its home: node, incarnation, the home's own clock when
 * the key was made, and a random number. Only that process runs the key, and
 * it remembers the outcome for longer than any copy of the request can be
 * accepted: a key whose clock is older than the time to live is refused for
 * ever. When the table has no room for one more key, the home raises its
 * floor to that key's clock: whatever is not in the table at or below the
 * floor never runs, so the refusal stays true without being remembered.
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

/* SpBoundKey_Parse reads home~inc~clock~nonce; returns 0 if it is none. */
int SpBoundKey_Parse(const char *s, SpBoundKey *k);
void SpBoundKey_Print(const SpBoundKey *k, char *s, size_t n);

/* One answer, whole. */
typedef struct SpAnswer {
    SpKind kind;
    int status;
    SpOutcome outcome;
    int certified; /* 1 if the key's home says so */
    const SpHeader *headers;
    int nheaders;
    const char *body;
    size_t body_len;
    int level;        /* that the path admits; -1 unknown */
    int load;         /* percent, of the answering gate; -1 unknown */
    int budget;       /* retries not spent */
    int below;        /* 1 if the failure lies deeper than the answerer */
    int leaving;      /* 1 if the answerer is leaving */
    int retry_ms;     /* least wait before a retry; 0 none */
    int64_t clock_ms; /* of the answering node; -1 unknown */
    char from[SP_NAME_BYTES]; /* the answering node */
    uint64_t from_inc;
    char key[SP_KEY_TEXT]; /* the bound key in use, if any */
} SpAnswer;

typedef enum {
    SP_KEY_NEW,     /* may run now; it is noted as running */
    SP_KEY_RUNNING, /* another request with this key runs or waits */
    SP_KEY_ANSWERED,
    SP_KEY_NEVER, /* refused before: never runs */
    SP_KEY_LOST,  /* it ran, its answer did not come */
    SP_KEY_OTHER, /* used with another request */
    SP_KEY_OLD,   /* may have run and be forgotten */
    SP_KEY_NOROOM /* refused now and for ever */
} SpKeyState;

typedef struct SpKeys SpKeys;

/* clock_ms is this home's own clock in every call. */
SpKeys *SpKeys_New(int capacity, int64_t ttl_ms);
void SpKeys_Free(SpKeys *ks);
void SpKeys_Configure(SpKeys *ks, int capacity, int64_t ttl_ms);
/*
 * SpKeys_Begin asks to run a request, whose digest is given. SP_KEY_ANSWERED
 * sets *a to the kept answer, valid until the next call.
 */
SpKeyState SpKeys_Begin(SpKeys *ks, int64_t clock_ms, const SpBoundKey *k,
                        uint64_t digest, const SpAnswer **a);
/* SpKeys_Look tells the state without changing it; SP_KEY_NEW: unused. */
SpKeyState SpKeys_Look(const SpKeys *ks, int64_t clock_ms,
                       const SpBoundKey *k);
/* SpKeys_Answer keeps a copy of the answer of a run. */
void SpKeys_Answer(SpKeys *ks, const SpBoundKey *k, const SpAnswer *a);
/* SpKeys_Lose notes that it may have run and no answer will come. */
void SpKeys_Lose(SpKeys *ks, const SpBoundKey *k);
/* SpKeys_Refuse notes that it did not run and never will. */
void SpKeys_Refuse(SpKeys *ks, int64_t clock_ms, const SpBoundKey *k);
int SpKeys_Count(const SpKeys *ks);

#endif
