/*
 * version: the chain of configuration versions and the one in force.
 *
 * Operators append publish records to one stream of the platform's log. A
 * record names the version that it replaces. It is accepted if that version
 * is in force at the record's offset and its document is valid. All nodes
 * apply this rule in offset order, so they accept the same chain of versions.
 *
 * A "keep" record is a checkpoint: it repeats the version in force, so that
 * the version survives the trimming of the log, and carries the offset up to
 * which its writer had read (as_of). Peers send each other the version in
 * force in the same format.
 *
 * A reader that missed records because the log was trimmed accepts no publish
 * record until a keep record, from the log or a peer, covers the gap.
 */
#ifndef SP_VERSION_H
#define SP_VERSION_H

#include "base/base.h"
#include "conf/conf.h"

#define SP_ID_BYTES 40
#define SP_REASON_BYTES 256

typedef struct SpVersion {
    int number;     /* from 1 */
    int64_t offset; /* of its publish record */
    char id[SP_ID_BYTES];
    char by[SP_NAME_BYTES];
    char reason[SP_REASON_BYTES];
    int64_t at_ms;    /* publication, publisher's wall clock */
    int64_t since_ms; /* activation here, this node's wall clock */
    char hash[17];    /* of text, in hexadecimal */
    char *text;
    SpDoc *doc;
} SpVersion;

/* What became of a publish record. */
typedef enum {
    /* not read from the log yet, or no longer remembered */
    SP_PUBLISH_UNKNOWN,
    SP_PUBLISH_ACCEPTED,
    /* names a version that is not in force, or was not found to be accepted
       when a gap was closed */
    SP_PUBLISH_CONFLICT,
    /* the document is invalid */
    SP_PUBLISH_INVALID
} SpPublishState;

typedef struct SpVersions SpVersions;

SpVersions *SpVersions_New(void);
void SpVersions_Free(SpVersions *vs);

/*
 * SpVersions_SetRange records that the log now holds the offsets [oldest,
 * next). Call it before passing on the records of a read.
 */
void SpVersions_SetRange(SpVersions *vs, int64_t oldest, int64_t next);
/* SpVersions_ApplyRecord applies one log record; returns 1 if it changed the
   version in force. */
int SpVersions_ApplyRecord(SpVersions *vs, int64_t wall_ms, int64_t offset,
                           const char *p, size_t n);
/* SpVersions_ApplyPeerRecord applies a keep record from a peer; returns 1 if
   it changed the version in force. */
int SpVersions_ApplyPeerRecord(SpVersions *vs, int64_t wall_ms, const char *p,
                               size_t n);
/* SpVersions_Cursor returns the next offset to read. */
int64_t SpVersions_Cursor(const SpVersions *vs);
/* SpVersions_Gap returns 1 while publish records are held back because earlier
   ones were missed. */
int SpVersions_Gap(const SpVersions *vs);
/* SpVersions_Current returns the version in force; NULL if none is known. */
const SpVersion *SpVersions_Current(const SpVersions *vs);
/* SpVersions_CheckpointOffset returns the offset of the last record, publish
   or keep, that holds the current version. */
int64_t SpVersions_CheckpointOffset(const SpVersions *vs);
/* SpVersions_State returns what became of the publish record with this id. */
SpPublishState SpVersions_State(const SpVersions *vs, const char *id);

/* These return a record as JSON text, to be freed by g_free. */
char *SpVersions_MakePublish(const char *id, int replaces, const char *by,
                             const char *reason, int64_t at_ms,
                             const char *text);
char *SpVersions_MakeKeep(const SpVersions *vs);

/* SpVersions_History returns the i-th version that was in force here, counted
   from the newest; NULL past the oldest. */
const SpVersion *SpVersions_History(const SpVersions *vs, guint i);

#endif
