/*
 * base: common code of all siskinpond libraries: arena, error kinds, logger,
 * handle table and string helpers.
 *
 * Nothing here reads a clock or opens a socket.
 */
#ifndef SP_BASE_H
#define SP_BASE_H

#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Times are in microseconds of the caller's monotonic clock. */
#define SP_MS ((int64_t)1000)
#define SP_SEC ((int64_t)1000000)

/*
 * Arena: memory that is allocated in pieces and freed as a whole, for example
 * with the request that it belongs to.
 */
typedef struct SpArena SpArena;

SpArena *SpArena_New(void);
/* SpArena_Alloc returns n zeroed bytes, aligned for any type. */
void *SpArena_Alloc(SpArena *a, size_t n);
/* SpArena_Dup copies n bytes and adds a terminating zero byte. */
char *SpArena_Dup(SpArena *a, const void *p, size_t n);
/* SpArena_Str copies a string; returns NULL if s is NULL. */
char *SpArena_Str(SpArena *a, const char *s);
void SpArena_Free(SpArena *a);

/*
 * Name: a shared copy of a text of any length, such as the name of a route or
 * a node. Equal names share one copy, which is freed with its last owner.
 */
const char *SpName_New(const char *s);
/* SpName_Free gives one copy back; name may be NULL. */
void SpName_Free(const char *name);
/* SpName_Set replaces *to, which is NULL or an owned name, by a copy of s. */
void SpName_Set(const char **to, const char *s);

/*
 * Error kinds: every way in which a call can end. The table in kind.c maps
 * each kind to its HTTP response, whose text explains the kind.
 */
typedef enum {
    SP_OK,
    SP_BAD_REQUEST,
    SP_TOO_LARGE,
    SP_NO_ROUTE,
    SP_KEY_REQUIRED,
    SP_KEY_MISMATCH,
    SP_KEY_BUSY,
    SP_KEY_FULL,
    SP_KEY_EXPIRED,
    SP_KEY_DEAD,
    SP_HOME_GONE,
    SP_SHED,
    SP_QUEUE_FULL,
    SP_THROTTLED,
    SP_LATE,
    SP_TIMEOUT,
    SP_LEAVING,
    SP_NO_TARGET,
    SP_NO_CONFIG,
    SP_UNREACHABLE,
    SP_BROKEN,
    SP_CANCELLED,
    SP_LOG_DOWN,
    SP_OPTIONAL,
    SP_UNAUTHORIZED,
    SP_OVER_QUOTA,
    SP_INTERNAL,
    SP_RUN_UNKNOWN,
    SP_NKINDS
} SpKind;

/* Whether the request of a caller was executed. */
typedef enum { SP_DONE, SP_NOT_RUN, SP_UNKNOWN } SpOutcome;

typedef struct SpKindInfo {
    const char *name;
    int status; /* HTTP */
    SpOutcome outcome;
    int retry;        /* 1 if another target may be tried */
    int retry_ms;     /* least wait before a retry by the caller; 0 none */
    const char *text; /* message sent to the caller */
} SpKindInfo;

const SpKindInfo *SpKind_Info(SpKind k);
/* SpKind_ByName returns SP_NKINDS for an unknown name. */
SpKind SpKind_ByName(const char *name);
const char *SpOutcome_Name(SpOutcome o);
/* SpOutcome_ByName returns SP_UNKNOWN for an unknown name. */
SpOutcome SpOutcome_ByName(const char *name);

/*
 * GError domain of settings, documents and protocols.
 */
#define SP_ERROR SpError_Quark()
typedef enum { SP_ERROR_INPUT, SP_ERROR_SYSTEM, SP_ERROR_LOST } SpErrorCode;
GQuark SpError_Quark(void);

/*
 * Logger: one line of key=value pairs per event.
 */
typedef enum { SP_LOG_ERROR, SP_LOG_WARN, SP_LOG_INFO, SP_LOG_DEBUG } SpLevel;

/* SpLevel_Parse accepts "error", "warn", "info" and "debug"; returns 0 for
   any other s. */
int SpLevel_Parse(const char *s, SpLevel *level);

/*
 * SpLog_Init sets the prog= and name= fields, the least severe level that is
 * logged, and the output; out may be NULL for standard error. wall returns
 * wall-clock microseconds for the at= field; NULL omits the field.
 */
void SpLog_Init(const char *prog, const char *name, SpLevel max, FILE *out,
                int64_t (*wall)(void));
/*
 * SpLog_UseBuffer makes a descriptor non-blocking and directs the log to it
 * through a buffer of the given size, so that logging never blocks. A line
 * that does not fit into the buffer is dropped. At most max_per_s lines of
 * level info and debug are accepted per second, and as many of level error and
 * warn. Dropped lines are counted and reported in the log. SpLog_Flush writes
 * the buffer out and must be called often; now is monotonic.
 */
void SpLog_UseBuffer(int fd, size_t bytes, int max_per_s);
void SpLog_Flush(int64_t now);
/* SpLog_Dropped returns the number of lines dropped since the start. */
uint64_t SpLog_Dropped(void);
/*
 * SpLog writes "at=.. level=.. prog=.. name=.. event=EVENT FMT...". FMT holds
 * key=value pairs; string values must be passed through SpLog_Quote.
 */
void SpLog(SpLevel lv, const char *event, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
/*
 * SpLog_Quote copies s to buf as a log value. A value with spaces, control or
 * non-ASCII characters, '"', '=' or '\\', or an empty one, is put in double
 * quotes and escaped. Returns buf.
 */
const char *SpLog_Quote(char *buf, size_t n, const char *s);

/*
 * Table: items of one size, referenced by handles. A handle is an index and a
 * generation, so the handle of a removed item is invalid even if its index is
 * reused. Items do not move in memory.
 */
typedef uint64_t SpHandle; /* 0 is never valid */
typedef struct SpTable SpTable;

SpTable *SpTable_New(size_t item_bytes);
void SpTable_Free(SpTable *t);
/* SpTable_Add returns a zeroed item and sets *h to its handle. */
void *SpTable_Add(SpTable *t, SpHandle *h);
/* SpTable_Get returns NULL if the handle is invalid. */
void *SpTable_Get(const SpTable *t, SpHandle h);
void SpTable_Remove(SpTable *t, SpHandle h);
size_t SpTable_Count(const SpTable *t);
/* SpTable_Next iterates over the items: start with *pos = 0; returns NULL at
   the end. */
void *SpTable_Next(const SpTable *t, uint32_t *pos, SpHandle *h);

/* A header of an HTTP message. */
typedef struct SpHeader {
    const char *name;
    const char *value;
} SpHeader;

/*
 * Strings and numbers.
 */
uint64_t SpHash(const void *p, size_t n, uint64_t seed);
/* SpRand advances a deterministic generator with state *s. */
uint64_t SpRand(uint64_t *s);
/* SpRand_Unit returns a number uniformly distributed in [0, 1). */
double SpRand_Unit(uint64_t *s);
/* SpParse_Int parses n bytes as a decimal integer in [lo, hi]; returns 0 if
   they are not one. */
int SpParse_Int(const char *s, size_t n, int64_t lo, int64_t hi, int64_t *out);
/* SpParse_Hex parses n (at most 16) hexadecimal digits; returns 0 if s has
   any other character. */
int SpParse_Hex(const char *s, size_t n, uint64_t *out);
/* SpEqual_ConstTime compares in time that depends only on the lengths, for
   secrets. */
int SpEqual_ConstTime(const char *a, const char *b);
/* SpParse_Addr parses "IP:port" with a numeric IPv4 address; returns 0 if it
   is invalid. ip is a buffer of n bytes; ip and port may be NULL. */
int SpParse_Addr(const char *s, char *ip, size_t n, int *port);

#endif
