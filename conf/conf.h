/*
 * conf: settings of the programs and the configuration document.
 *
 * Both are JSON, read through tables of fields. Every problem found is kept
 * with its place (routes[3].deadline_ms), so that a command can print one
 * line for each and a form can show each beside its field.
 */
#ifndef SP_CONF_H
#define SP_CONF_H

#include <jansson.h>

#include "base/base.h"

/* A list of problems; each has a place and a remedy. */
typedef struct SpProblem {
    char *place;
    char *text;
} SpProblem;

typedef struct SpProblems {
    GPtrArray *list; /* of SpProblem */
} SpProblems;

SpProblems *SpProblems_New(void);
void SpProblems_Free(SpProblems *ps);
void SpProblems_Add(SpProblems *ps, const char *place, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
guint SpProblems_Count(const SpProblems *ps);
const SpProblem *SpProblems_At(const SpProblems *ps, guint i);
/* SpProblems_Print writes "prog: file: place: text" lines. */
void SpProblems_Print(const SpProblems *ps, const char *prog, const char *file,
                      FILE *out);

/*
 * Fields: how one member of an object is read into a struct.
 */
typedef struct SpField SpField;
typedef void (*SpFieldReader)(const SpField *f, const json_t *v, void *dst,
                              const char *place, SpProblems *ps);
struct SpField {
    const char *name;
    SpFieldReader read;
    size_t off; /* of the member in the struct */
    int required;
    double lo, hi;      /* range of a number; lo..hi entries of a list */
    size_t size;        /* bytes of a string member or of a list's element */
    const SpField *sub; /* fields of an object, ended by a NULL name */
};

/* SpFields_Read reads object o into dst; it reports unknown members. */
void SpFields_Read(const SpField *fs, const json_t *o, void *dst,
                   const char *place, SpProblems *ps);
void SpRead_Int(const SpField *f, const json_t *v, void *dst,
                const char *place, SpProblems *ps);
void SpRead_Real(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
void SpRead_Bool(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Str takes any text of at most size - 1 bytes. */
void SpRead_Str(const SpField *f, const json_t *v, void *dst,
                const char *place, SpProblems *ps);
/* SpRead_Name takes lower-case letters, digits, '-', '_' and '.'. */
void SpRead_Name(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Addr takes "IP:port". */
void SpRead_Addr(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Object reads f->sub into the member. */
void SpRead_Object(const SpField *f, const json_t *v, void *dst,
                   const char *place, SpProblems *ps);

/* SpJson_Load parses text; a syntax error is a problem at line:column. */
json_t *SpJson_Load(const char *text, size_t n, SpProblems *ps);
/* SpJson_LoadFile reads and parses a file. */
json_t *SpJson_LoadFile(const char *file, SpProblems *ps);

/*
 * The configuration document.
 */
#define SP_NAME_BYTES 48
#define SP_PATH_BYTES 128
#define SP_MAX_CLASSES 8
#define SP_MAX_SERVICES 64
#define SP_MAX_ROUTES 512
#define SP_DOC_BYTES (1 << 20)

typedef enum { SP_POLICY_FULL, SP_POLICY_HOP, SP_POLICY_NONE } SpPolicy;

typedef struct SpService {
    char name[SP_NAME_BYTES];
    int slots;       /* requests that an instance runs at a time */
    int connections; /* that an instance accepts */
    int queue;       /* requests that may wait at its node */
    int ramp_ms;     /* a cold instance takes its full share after this */
} SpService;

typedef struct SpRoute {
    char name[SP_NAME_BYTES];
    char service_name[SP_NAME_BYTES];
    char class_name[SP_NAME_BYTES];
    char method[16];
    char path[SP_PATH_BYTES]; /* matches itself and what lies below it */
    int service;              /* index into services */
    int class;                /* index into classes; 0 is shed last */
    int idempotent;
    int optional; /* may be left out while the service is overloaded */
    int deadline_ms;
} SpRoute;

typedef struct SpRetries {
    int per_request; /* over the whole call chain */
    double ratio;    /* of a node's retries to its first attempts */
} SpRetries;

typedef struct SpLimits {
    int body_bytes;
    int answer_bytes;
    int queue_ms;   /* target of the wait in a gate's queue */
    int keys;       /* remembered by one home */
    int key_ttl_ms; /* how long a home remembers a key */
    int stop_ms;    /* bound of a graceful stop */
} SpLimits;

typedef struct SpHop {
    int limit;   /* concurrency of a gate under policy "hop" */
    int retries; /* of each hop under policies "hop" and "none" */
} SpHop;

typedef struct SpDoc {
    int format;
    char name[SP_NAME_BYTES];
    char policy_name[16];
    SpPolicy policy;
    char classes[SP_MAX_CLASSES][SP_NAME_BYTES];
    int nclasses;
    SpRetries retries;
    SpLimits limits;
    SpHop hop;
    SpService services[SP_MAX_SERVICES];
    int nservices;
    SpRoute routes[SP_MAX_ROUTES];
    int nroutes;
} SpDoc;

/*
 * SpDoc_Parse reads and checks a document; NULL if ps gained a problem. The
 * result is freed by g_free.
 */
SpDoc *SpDoc_Parse(const char *text, size_t n, SpProblems *ps);
/* SpDoc_IsSafe: 1 for a method that changes nothing, GET or HEAD. */
int SpDoc_IsSafe(const char *method);
/* SpDoc_Route finds the longest matching path; -1 if there is none. */
int SpDoc_Route(const SpDoc *d, const char *method, const char *path);
/* SpDoc_Service finds a service by name; -1 if there is none. */
int SpDoc_Service(const SpDoc *d, const char *name);

/*
 * Settings of the node.
 */
#define SP_ADDR_BYTES 24
#define SP_MAX_CONTACTS 16
#define SP_MAX_TOKENS 8
#define SP_KEY_BYTES 48

typedef struct SpToken {
    char name[SP_NAME_BYTES]; /* of its holder, for the record */
    char token[128];
    char role[16]; /* "view" or "change" */
} SpToken;

typedef struct SpNodeSettings {
    char name[SP_NAME_BYTES];
    char zone[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    char instance[SP_ADDR_BYTES]; /* where the upstream instance listens */
    char inbound[SP_ADDR_BYTES];
    char outbound[SP_ADDR_BYTES];
    char mesh[SP_ADDR_BYTES];
    char peer[SP_ADDR_BYTES];
    char admin[SP_ADDR_BYTES];
    char log[SP_ADDR_BYTES];
    char contacts[SP_MAX_CONTACTS][SP_ADDR_BYTES];
    int ncontacts;
    char mesh_token[128];
    char peer_public[SP_KEY_BYTES]; /* CURVE, Z85; empty for none */
    char peer_secret[SP_KEY_BYTES];
    SpToken tokens[SP_MAX_TOKENS];
    int ntokens;
    char log_level[16];
    int slots;   /* 0: as the document says */
    int stop_ms; /* 0: as the document says */
    int idle_ms; /* of a connection */
    int max_connections;
    int header_bytes; /* of a request */
    int fault_drops;  /* 1: the admin API may drop peers (tests) */
} SpNodeSettings;

/* SpNodeSettings_Load returns 0 if ps gained a problem. */
int SpNodeSettings_Load(const char *file, SpNodeSettings *s, SpProblems *ps);

#endif
