/*
 * version: which configuration is in force.
 *
 * Operators publish records on one stream of the platform's log. A record
 * names the version it replaces; it is accepted if that is the one in force
 * at its offset and its document checks. Every node applies the same rule at
 * the same offset, so all accept the same chain. A "keep" record repeats the
 * version in force before the log forgets it and says up to which offset its
 * writer had read. Peers pass the version in force on in the same form.
 *
 * A reader that missed records (the log was trimmed) accepts nothing on top
 * of what it has until a keep or a peer covers the gap.
 */
#ifndef SP_VERSION_H
#define SP_VERSION_H

#include "base/base.h"
#include "conf/conf.h"

#define SP_ID_BYTES 40
#define SP_REASON_BYTES 256

typedef struct SpVersion {
    int number;     /* 1 for the first; 0 for none */
    int64_t offset; /* of its publish record */
    char id[SP_ID_BYTES];
    char by[SP_NAME_BYTES];
    char reason[SP_REASON_BYTES];
    int64_t at_ms;    /* wall clock of the publisher */
    int64_t since_ms; /* wall clock of this node when it took force here */
    char hash[17];    /* of the text */
    char *text;
    SpDoc *doc;
} SpVersion;

typedef enum { SP_PUB_UNSEEN, SP_PUB_WON, SP_PUB_LOST, SP_PUB_BAD } SpPubState;

typedef struct SpVersions SpVersions;

SpVersions *SpVersions_New(void);
void SpVersions_Free(SpVersions *vs);

/*
 * SpVersions_Range says what the log holds now: [oldest, next). Call it
 * before the records of a read.
 */
void SpVersions_Range(SpVersions *vs, int64_t oldest, int64_t next);
/* SpVersions_Record applies one record; 1 if a new version is in force. */
int SpVersions_Record(SpVersions *vs, int64_t wall_ms, int64_t offset,
                      const char *p, size_t n);
/* SpVersions_Peer takes a keep record from a peer; 1 if it took force. */
int SpVersions_Peer(SpVersions *vs, int64_t wall_ms, const char *p, size_t n);
/* SpVersions_Cursor is the next offset to read. */
int64_t SpVersions_Cursor(const SpVersions *vs);
/* SpVersions_Gap is 1 while missed records forbid to accept new ones. */
int SpVersions_Gap(const SpVersions *vs);
/* SpVersions_Current is NULL while none is known. */
const SpVersion *SpVersions_Current(const SpVersions *vs);
/* SpVersions_Kept is the last offset at which the current one stands. */
int64_t SpVersions_Kept(const SpVersions *vs);
/* SpVersions_State tells what became of the record with this id. */
SpPubState SpVersions_State(const SpVersions *vs, const char *id);

/* Records, as JSON text freed by g_free. */
char *SpVersions_MakePublish(const char *id, int replaces, const char *by,
                             const char *reason, int64_t at_ms,
                             const char *text);
char *SpVersions_MakeKeep(const SpVersions *vs);

/* History: versions that were in force here, newest first; NULL past it. */
const SpVersion *SpVersions_Past(const SpVersions *vs, guint i);

#endif
