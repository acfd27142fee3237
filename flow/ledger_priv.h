/* ledger_priv: definitions shared by the files of the ledger. */
#ifndef SP_LEDGER_PRIV_H
#define SP_LEDGER_PRIV_H

#include "flow/flow.h"
#include "flow/ledger.h"

typedef struct Account {
    uint64_t key;
    char *name;
    double rate, burst;
    double level; /* of the bucket; negative: a debt */
    double admit; /* fraction */
    double told;  /* the same when it last changed much */
    int64_t wait_us;
    int64_t created;
    int64_t limited_since; /* first step with a fraction below 1 */
    int64_t limited_at;    /* last step with a fraction below 1; 0: never */
    int64_t changed_at;    /* last report of a member */
    double admitted;       /* by members, or assumed to be */
    int hot;               /* 1: near its limit */
    double own_rate;       /* offered to members, smoothed */
    double offered;        /* to all */
    double total;          /* demand of all that are heard */
    double held;           /* part that is held for the silent */
    /* sums of a step */
    double own_now, own_demand, far_rate, held_members, held_far;
    double fresh[SP_LEDGER_ZONES]; /* demand by zone */
    double stale[SP_LEDGER_ZONES]; /* parts of silent ledgers by zone */
} Account;

/* What a member or another ledger does in a workspace. */
typedef struct Part {
    Account *account;
    double demand;
    double rate;        /* offered at present */
    int64_t rate_until; /* of a member: rate holds until then */
    double admitted;    /* of a ledger: its sum as last heard */
    double share;       /* part of the quota when it was last mentioned */
    int64_t mentioned_at;
    double held;    /* part held for it while it is silent; of a ledger that is
                       heard: held there for its members */
    double assumed; /* drawn on its behalf since it was last mentioned */
    double told_admit, told_share; /* of a member: its last word */
    int64_t told_at;
    int marked; /* of a member: no word since its report; of a ledger: in the
                   present message */
} Part;

/* A member or another ledger. */
typedef struct Source {
    guint zone; /* index */
    uint64_t epoch;
    int64_t heard_at;
    int64_t told_at, all_told_at; /* of a member: last words */
    guint word_at; /* of a member: where in limited its next words begin */
    int silent;
    GHashTable *parts; /* key to Part */
} Source;

struct SpLedger {
    GHashTable *accounts; /* key to Account, one for each quota */
    GPtrArray *limited;   /* accounts of which all members are told */
    GHashTable *members;  /* name to Source */
    GHashTable *peers;    /* name to Source */
    const char *zones[SP_LEDGER_ZONES]; /* names; the first is the own one */
    guint nodes[SP_LEDGER_ZONES];
    int heard[SP_LEDGER_ZONES]; /* 1: another ledger there was heard */
    guint nzones;
    GHashTable *left; /* names of members that left */
    double unheard; /* part of all nodes that was not heard since the start */
    int64_t created, updated_at;
    int is_urgent; /* 1: a fraction has changed much */
};

/* ledger.c */
/* find_zone returns the index of a zone, which is added if it is new. */
guint find_zone(SpLedger *l, const char *name);

/* sources.c */
Source *find_source(GHashTable *sources, const char *name, guint zone);
/* find_part returns NULL if the workspace has no quota; it adds the part if
   add is 1, else it returns NULL if there is none. */
Part *find_part(SpLedger *l, Source *s, uint64_t key, int add);
/* mention_part enters what a source says of itself now. What was drawn on its
   behalf is given back. */
void mention_part(Part *p, int64_t now, double demand);
/* settle_part gives it back, because the source drew nothing. */
void settle_part(Part *p);
/* settle_member does so for all parts of a member. */
void settle_member(Source *s);
/* step_sources adds up what the sources do and draws for those that have not
   said it yet. */
void step_sources(SpLedger *l, int64_t now, double dt_s);
void free_source(void *s);
/* share_of returns the part of the quota of a demand. */
double share_of(const Account *a, double demand);

/* account.c */
/* new_account leaves the rate and burst to the caller. */
Account *new_account(const SpWorkspace *w, int64_t now);
void free_account(void *a);
/* held_for_zone returns the part held for a zone of which a ledger is silent
   and no other one has taken over. */
double held_for_zone(const Account *a, guint zone);
/* step_account refills the bucket and sets the fraction; unheard is held in
   every account. */
void step_account(Account *a, int64_t now, double dt_s, double unheard);

#endif
