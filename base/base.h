/*
 * base: what every other library of siskinpond stands on: an arena, the
 * closed list of error kinds, the logger and small string helpers.
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

/* Times are microseconds on the caller's monotonic clock. */
#define SP_MS ((int64_t)1000)
#define SP_SEC ((int64_t)1000000)

/*
 * Arena: memory that belongs to one request and ends with it.
 */
typedef struct SpArena SpArena;

SpArena *SpArena_New(void);
/* SpArena_Alloc returns n zeroed bytes, aligned for any type. */
void *SpArena_Alloc(SpArena *a, size_t n);
/* SpArena_Dup copies n bytes and adds a terminating zero byte. */
char *SpArena_Dup(SpArena *a, const void *p, size_t n);
char *SpArena_Str(SpArena *a, const char *s);
void SpArena_Free(SpArena *a);

/*
 * Error kinds: the closed list of the ways in which a call can end. A table
 * maps each kind to its answer.
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
    SP_INTERNAL,
    SP_NKINDS
} SpKind;

/* What a caller may conclude about the run of its request. */
typedef enum { SP_DONE, SP_NOT_RUN, SP_UNKNOWN } SpOutcome;

typedef struct SpKindInfo {
    const char *name;
    int status; /* HTTP */
    SpOutcome outcome;
    int retry;        /* 1 if another target may be tried */
    int retry_ms;     /* least wait before the caller's own retry; 0 none */
    const char *text; /* for the caller */
} SpKindInfo;

const SpKindInfo *SpKind_Info(SpKind k);
/* SpKind_ByName returns SP_NKINDS for an unknown name. */
SpKind SpKind_ByName(const char *name);
const char *SpOutcome_Name(SpOutcome o);
/* SpOutcome_ByName returns SP_UNKNOWN for an unknown name. */
SpOutcome SpOutcome_ByName(const char *name);

/*
 * GError domain for settings, documents and protocols.
 */
#define SP_ERROR SpError_Quark()
typedef enum { SP_ERROR_INPUT, SP_ERROR_SYSTEM, SP_ERROR_LOST } SpErrorCode;
GQuark SpError_Quark(void);

/*
 * Logger: one line of key=value pairs per event.
 */
typedef enum { SP_LOG_ERROR, SP_LOG_WARN, SP_LOG_INFO, SP_LOG_DEBUG } SpLevel;

/* SpLevel_Parse reads "error", "warn", "info" or "debug"; returns 0 if s is
   none of them. */
int SpLevel_Parse(const char *s, SpLevel *level);

/*
 * SpLog_Init names the program and the process; out may be NULL for standard
 * error. wall returns wall-clock microseconds for the at= field, or is NULL
 * to leave the field out.
 */
void SpLog_Init(const char *prog, const char *name, SpLevel max, FILE *out,
                int64_t (*wall)(void));
/*
 * SpLog_Bound makes the log go to a descriptor through a buffer of its own.
 * It never blocks: a full buffer loses the line. In a second at most per_s
 * lines of level info and debug are taken; errors and warnings have as many
 * of their own. Lines left out are counted and told. SpLog_Flush passes the
 * buffer on; call it often. now is monotonic.
 */
void SpLog_Bound(int fd, size_t bytes, int max_per_s);
void SpLog_Flush(int64_t now);
/* SpLog_Lost counts the lines left out since the start. */
uint64_t SpLog_Lost(void);
/*
 * SpLog writes "at=.. level=.. prog=.. name=.. event=EVENT FMT...". FMT holds
 * key=value pairs; string values go through SpLog_Quote.
 */
void SpLog(SpLevel lv, const char *event, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
/*
 * SpLog_Quote writes s as a value into buf: as it is when it has only plain
 * characters, else in double quotes with escapes. Returns buf.
 */
const char *SpLog_Quote(char *buf, size_t n, const char *s);

/*
 * Table: items of one size, named by handles. A handle is an index and a
 * generation, so a handle of a removed item finds nothing. Items do not move.
 */
typedef uint64_t SpHandle; /* 0 names no item */
typedef struct SpTable SpTable;

SpTable *SpTable_New(size_t item_bytes);
void SpTable_Free(SpTable *t);
/* SpTable_Add returns a zeroed item; *h gets its handle. */
void *SpTable_Add(SpTable *t, SpHandle *h);
/* SpTable_Get returns NULL if the handle names no item. */
void *SpTable_Get(const SpTable *t, SpHandle h);
void SpTable_Remove(SpTable *t, SpHandle h);
size_t SpTable_Count(const SpTable *t);
/* SpTable_Next walks the items: start with *pos = 0, ends with NULL. */
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
/* SpRand steps a generator whose state is *s; the same state, same numbers. */
uint64_t SpRand(uint64_t *s);
/* SpRand_Unit is uniform in [0, 1). */
double SpRand_Unit(uint64_t *s);
/* SpParse_Int reads a whole decimal number in [lo, hi]; returns 0 if not. */
int SpParse_Int(const char *s, size_t n, int64_t lo, int64_t hi, int64_t *out);
/* SpParse_Hex reads n hexadecimal digits (at most 16); returns 0 if not. */
int SpParse_Hex(const char *s, size_t n, uint64_t *out);
/* SpEqual_Const compares in time that depends on the lengths alone. */
int SpEqual_Const(const char *a, const char *b);
/* SpParse_Addr checks "IP:port" (numbers only); port may be NULL. */
int SpParse_Addr(const char *s, char *ip, size_t n, int *port);

#endif
