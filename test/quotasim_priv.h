/* quotasim_priv: definitions shared by the files of quotasim. */
#ifndef SP_TEST_QUOTASIM_PRIV_H
#define SP_TEST_QUOTASIM_PRIV_H

#include "flow/flow.h"
#include "test/quotasim.h"

#define STEP_US (10 * SP_MS)
#define BIN_US (100 * SP_MS)
#define BINS 1200
/* The window of the bound, and what is allowed beyond the quota in it. */
#define WINDOW_S 5
#define OVERAGE 1.1
#define SLACK 20
#define CONTACTS 3
#define FULL_US (1 * SP_SEC)
#define STANDBY_US (2 * SP_SEC)
/* A coordinator is left for an earlier one that has been up for this long. */
#define SETTLE_US (3 * SP_SEC)
/* Entries of messages have about this many bytes. */
#define ENTRY_BYTES 18
#define FRAME_BYTES 12

typedef enum { MSG_USAGE, MSG_WORDS, MSG_LEAVE, MSG_SUMS, MSG_LAST } MsgType;

typedef struct Msg {
    MsgType type;
    int64_t at;
    guint from, to;
    uint64_t number, epoch;
    int full;
    GArray *items;
    GArray *members; /* of sums; else NULL */
} Msg;

typedef struct Node {
    char name[32], zone_name[16];
    guint zone;
    SpQuota *quota;
    SpLedger *ledger;
    SpWorkspaces *conf;
    uint64_t epoch;
    int dead, frozen, cut;
    int64_t started, stepped_at, sums_at, alive_at;
    int64_t full_at[CONTACTS * SP_LEDGER_ZONES]; /* sums to contacts */
    int is_used; /* 1: its ledger has members */
    uint64_t sent_bytes;
    int coordinator; /* index; -1: none */
} Node;

struct Sim {
    SimOpts o;
    int64_t now;
    uint64_t rand;
    Node *nodes;
    GQueue msgs;
    SpWorkspaces *conf;
    GPtrArray *confs; /* all that were ever in force */
    double use[SIM_WORKSPACES], usual[SIM_WORKSPACES], rate[SIM_WORKSPACES];
    double bucket[SIM_WORKSPACES]; /* of a single exact one */
    guint callers[SIM_WORKSPACES];
    double zone_part[SP_LEDGER_ZONES];
    int cut[SP_LEDGER_ZONES];
    SimCount counts[SIM_WORKSPACES];
    double (*bins)[BINS];
    int64_t cleared;
    uint64_t messages;
    int scattered;
};

/* quotasim.c */
/* step_sim delivers messages and lets the nodes report. */
void step_sim(Sim *s);

#endif
