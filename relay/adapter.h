/*
 * adapter: how a deployment spells what a relay hears and says.
 *
 * A relay decides in its own terms; a table of functions, chosen by the
 * settings, turns the messages of a deployment into these types and back.
 * The functions decide nothing and keep nothing.
 */
#ifndef SP_ADAPTER_H
#define SP_ADAPTER_H

#include "flow/flow.h"
#include "http/http.h"

/* Bytes of the id of an attempt, with its zero byte. */
#define SP_ID_ROOM 256

/* What a caller's request says of itself. Strings live in the message. */
typedef struct SpAsk {
    const char *id;          /* of this attempt; NULL if missing or unusable */
    const char *host;        /* with or without a port; NULL if missing */
    char parent[SP_ID_ROOM]; /* id of the attempt whose run makes this call;
                                empty if the request does not tell */
    int64_t left_us; /* how long the caller waits; 0 if it does not say */
} SpAsk;

/* What an instance's answer says beside its status and body. */
typedef struct SpReply {
    int mine;    /* 1: it answers the request with the given id */
    int not_run; /* 1: the instance states that it did not run it */
} SpReply;

typedef enum { SP_INST_READY, SP_INST_DRAINING, SP_INST_GONE } SpInstPhase;

/* What an instance reports of itself. */
typedef struct SpReport {
    char id[SP_FLOW_NAME];
    char addr[32];
    char service[SP_FLOW_NAME];
    SpInstPhase phase;
    int has_start; /* 1: start_ms is given */
    int partial;   /* 1: only id and phase (and start_ms) are given */
    int slots;     /* requests that it runs at a time */
    int64_t seq;   /* grows with each report of one lifetime */
    int64_t
        start_ms; /* wall clock of its start: a later one, a new lifetime */
    int64_t warmup_us; /* how much longer it is slow after its start */
} SpReport;

/* The streams that a relay uses in the platform's store. */
typedef enum { SP_STREAM_CONFIG, SP_STREAM_NODES } SpStream;

/* A record of a stream; the strings live in the list's arena. */
typedef struct SpRecord {
    const char *key;
    const char *value; /* NULL: the key was dropped */
    size_t value_len;
} SpRecord;

typedef struct SpRecords {
    SpArena *arena;
    GArray *list; /* of SpRecord */
    int64_t end;  /* offset behind the newest record */
    int more;     /* 1: further pages follow the last key */
} SpRecords;

typedef struct SpAdapter {
    const char *name;
    /* requests */
    void (*read_request)(const SpMsg *m, SpAsk *a);
    /* request line and headers for the instance, but for those of the last
       hop; service is that of the machine on which the request began */
    void (*write_head)(GString *s, const SpMsg *m, const char *service);
    /* the headers of the last hop, with the blank line */
    void (*write_tail)(GString *s, int64_t left_us, const char *instance);
    void (*read_reply)(const SpMsg *m, const char *id, SpReply *r);
    /* reports: returns 0 if the message names no instance to use */
    int (*read_report)(const SpMsg *m, SpReport *r);
    int (*is_ready_check)(const SpMsg *m);
    /* status check of an instance: a whole request, and whether its answer
       says that the instance takes work; id has SP_FLOW_NAME bytes */
    void (*write_check)(GString *s, const char *host, const char *path);
    int (*read_check)(const SpMsg *m, char *id);
    /* configuration: NULL and err if it cannot be used */
    SpRoutes *(*read_config)(const char *p, size_t n, GError **err);
    const char *config_key; /* of the record that holds it */
    /* store: whole requests, and the records of their answers */
    void (*write_newest)(GString *s, const char *host, SpStream st,
                         const char *after);
    int (*read_newest)(const SpMsg *m, SpRecords *rs);
    void (*write_read)(GString *s, const char *host, SpStream st, int64_t from,
                       int wait_ms);
    int (*read_read)(const SpMsg *m, SpRecords *rs);
    void (*write_append)(GString *s, const char *host, SpStream st,
                         const char *key, const char *value);
} SpAdapter;

#endif
