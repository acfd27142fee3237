/* quotas: definitions shared by quota.c and sums.c. */
#ifndef SP_QUOTAS_H
#define SP_QUOTAS_H

#include "flow/ledger.h"
#include "relay/link.h"

/* Fields of a workspace in FRAME_USAGE and FRAME_WORDS. */
#define USAGE_FIELDS 4
#define WORD_FIELDS 4
/* Fractions and shares are sent in millionths. */
#define SHARE_SCALE 1e6

struct Quotas {
    SpQuota *quota;
    SpLedger *ledger;   /* NULL until this node is first a contact of its zone
                           or others report to it; kept from then on */
    int is_used;        /* 1: the ledger has members */
    GHashTable *limits; /* key to LoggedLimit */
    const char *coordinator; /* name, owned; empty: none */
    int64_t coordinator_at;  /* since when */
    int64_t word_at;         /* when another node last said a word */
    const char *avoid;       /* a node that did not answer, the same */
    int64_t avoid_until;
    int64_t step_at;  /* time of the last step */
    int64_t sums_at;  /* when sums near the limits were last sent */
    int64_t alive_at; /* when any were sent to all contacts */
    int64_t zones_at;
};

/* quota.c */
int is_own_coordinator(const Relay *n);

/* sums.c */
/* step_ledger begins a ledger when it is needed, and exchanges sums. */
void step_ledger(Relay *n, int64_t now);
void free_logged_limit(void *l);
/* use_ledger returns the ledger, which is begun if there is none. */
SpLedger *use_ledger(Relay *n, int64_t now);

#endif
