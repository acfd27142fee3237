/*
 * adapter: conversion between the messages of a deployment and the types of a
 * relay.
 *
 * The settings select a table of functions. The functions keep no state and
 * make no decisions.
 */
#ifndef SP_ADAPTER_H
#define SP_ADAPTER_H

#include "flow/flow.h"
#include "http/http.h"

/* Maximum length of the key of a record, in bytes. */
#define SP_RECORD_KEY_BYTES 255

/* Fields of a caller's request. The strings belong to the message. */
typedef struct SpRequestInfo {
    const char *id;    /* of this attempt; NULL if missing or invalid */
    const char *host;  /* with or without a port; NULL if missing */
    const char *key;   /* of the caller's workspace; NULL if missing */
    size_t parent_len; /* bytes of id that name the attempt on behalf of which
                          this call is made; 0: none */
    int64_t left_us;   /* time until the caller's deadline; 0 if not given */
} SpRequestInfo;

/* What a request to an instance says of its origin. */
typedef struct SpOrigin {
    const char *service;   /* of the node at which it entered */
    const char *workspace; /* of its caller; NULL: none */
    int has_workspaces;    /* 1: neither a key nor a workspace that the caller
                              names is passed on */
} SpOrigin;

/* Fields of an instance's answer besides its status and body. */
typedef struct SpReplyInfo {
    int has_id;     /* 1: it names the request that it answers */
    int matches_id; /* 1: it names the request with the given id */
    int not_run; /* 1: the instance states that it did not run the request */
    int refuses; /* 1: callers take its status for that statement */
} SpReplyInfo;

typedef enum { SP_INST_READY, SP_INST_DRAINING, SP_INST_GONE } SpInstPhase;

/* A report of an instance about itself. */
typedef struct SpReport {
    const char *id; /* this one and the next two belong to an arena */
    const char *addr;
    const char *service;
    SpInstPhase phase;
    int has_start;     /* 1: start_ms is given */
    int partial;       /* 1: only id and phase (and start_ms) are given */
    int slots;         /* requests that it can run concurrently */
    int64_t seq;       /* increases with each report of one lifetime */
    int64_t start_ms;  /* wall clock; a later start is a new lifetime */
    int64_t warmup_us; /* remaining time of slow operation after the start */
} SpReport;

/* The streams of the platform's store that a relay uses. */
typedef enum { SP_STREAM_CONFIG, SP_STREAM_NODES } SpStream;

/* A record of a stream; the strings belong to the list's arena. */
typedef struct SpRecord {
    const char *key;
    const char *value; /* NULL: the key was deleted */
    size_t value_len;
} SpRecord;

typedef struct SpRecords {
    SpArena *arena;
    GArray *list; /* of SpRecord */
    int64_t next; /* offset from which to read on: after the last record of a
                     read, at the end of the log for the newest records */
    int more;     /* 1: there are more pages after the last key */
} SpRecords;

typedef struct SpAdapter {
    const char *name;
    /* Requests. */
    void (*read_request)(const SpMsg *m, SpRequestInfo *a);
    /* Writes the request line and the headers for the instance, except those
       of the last hop. */
    void (*write_head)(GString *s, const SpMsg *m, const SpOrigin *o);
    /* Writes the headers of the last hop and the blank line. */
    void (*write_tail)(GString *s, int64_t left_us, const char *instance);
    /* Header lines of the refusal of a request whose key is unknown. */
    const char *key_challenge;
    void (*read_reply)(const SpMsg *m, const char *id, SpReplyInfo *r);
    /* Reports: returns 0 if the message identifies no usable instance. The
       texts of r are copied to a. */
    int (*read_report)(const SpMsg *m, SpArena *a, SpReport *r);
    int (*is_ready_check)(const SpMsg *m);
    /* Status check of an instance: writes a complete request; returns the id
       of the instance, part of m, if its answer says that it accepts requests,
       else NULL. */
    void (*write_check)(GString *s, const char *host, const char *path);
    const char *(*read_check)(const SpMsg *m);
    /* Configuration: returns NULL and sets err if it is invalid. */
    SpRoutes *(*read_config)(const char *p, size_t n, GError **err);
    const char *config_key; /* key of its record */
    /* Store: the write functions write complete requests, the read functions
       parse the records of their answers. */
    void (*write_newest)(GString *s, const char *host, SpStream st,
                         const char *after);
    int (*read_newest)(const SpMsg *m, SpRecords *rs);
    void (*write_read)(GString *s, const char *host, SpStream st, int64_t from,
                       int wait_ms);
    int (*read_read)(const SpMsg *m, int64_t from, SpRecords *rs);
    void (*write_append)(GString *s, const char *host, SpStream st,
                         const char *key, const char *value);
} SpAdapter;

#endif
