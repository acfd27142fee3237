/*
 * conf: parser of the programs' settings and of the configuration document.
 *
 * Both are JSON and are read by means of field tables. All problems are
 * collected, each with its place (routes[3].deadline_ms), so that a command
 * can print one line per problem and a form can show each next to its field.
 */
#ifndef SP_CONF_H
#define SP_CONF_H

#include <jansson.h>

#include "base/base.h"

/* place is the path of the field or the position in the text; text says what
   is wrong and how to correct it. */
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
 * Fields: a table entry describes how one member of a JSON object is read into
 * a struct.
 */
typedef struct SpField SpField;
typedef void (*SpFieldReader)(const SpField *f, const json_t *v, void *dst,
                              const char *place, SpProblems *ps);
struct SpField {
    const char *name;
    SpFieldReader read;
    size_t off; /* offset of the member in the struct */
    int required;
    double lo, hi;      /* range of a number, or of the length of a list */
    size_t size;        /* bytes of a string member or of a list element */
    const SpField *sub; /* fields of an object, terminated by a NULL name */
};

/* SpFields_Read reads object o into dst; unknown and missing members are
   problems. */
void SpFields_Read(const SpField *fs, const json_t *o, void *dst,
                   const char *place, SpProblems *ps);
void SpRead_Int(const SpField *f, const json_t *v, void *dst,
                const char *place, SpProblems *ps);
void SpRead_Real(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
void SpRead_Bool(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Text accepts a string of any length; dst is a char *, which is
   allocated. */
void SpRead_Text(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Str accepts any string of at most size - 1 bytes. */
void SpRead_Str(const SpField *f, const json_t *v, void *dst,
                const char *place, SpProblems *ps);
/* SpRead_Name accepts lower-case letters, digits, '-', '_' and '.'. */
void SpRead_Name(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Addr accepts "IP:port". */
void SpRead_Addr(const SpField *f, const json_t *v, void *dst,
                 const char *place, SpProblems *ps);
/* SpRead_Object reads an object with the fields f->sub into the member. */
void SpRead_Object(const SpField *f, const json_t *v, void *dst,
                   const char *place, SpProblems *ps);

/* SpJson_Load returns NULL on a syntax error and adds a problem with its line
   and column. */
json_t *SpJson_Load(const char *text, size_t n, SpProblems *ps);
/* SpJson_LoadFile also returns NULL if the file cannot be read. */
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
    int slots;       /* concurrent requests of an instance */
    int connections; /* that an instance accepts */
    int queue;       /* requests that may be queued at the instance's node */
    int ramp_ms; /* time over which a cold instance's share rises to full */
} SpService;

typedef struct SpRoute {
    char name[SP_NAME_BYTES];
    char service_name[SP_NAME_BYTES];
    char class_name[SP_NAME_BYTES];
    char method[16];
    char path[SP_PATH_BYTES]; /* matches itself and all paths below it */
    int service;              /* index into services */
    int class;                /* index into classes; 0 is shed last */
    int idempotent;
    int optional; /* may be refused while the service is overloaded */
    int deadline_ms;
} SpRoute;

typedef struct SpRetries {
    int per_request; /* limit of retries in the whole call chain */
    double ratio;    /* limit of a node's retries per first attempt */
} SpRetries;

typedef struct SpLimits {
    int body_bytes;
    int answer_bytes;
    int queue_ms;   /* target of the waiting time in a gate's queue */
    int keys;       /* limit of the keys that one home stores */
    int key_ttl_ms; /* time for which a home stores a key */
    int stop_ms;    /* time limit of a graceful stop */
} SpLimits;

typedef struct SpHop {
    int limit;   /* concurrency limit of a gate under policy "hop" */
    int retries; /* retry limit of each hop under policies "hop" and "none" */
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
 * SpDoc_Parse parses and checks a document; returns NULL if it added a problem
 * to ps. The result is freed by g_free.
 */
SpDoc *SpDoc_Parse(const char *text, size_t n, SpProblems *ps);
/* SpDoc_IsSafe returns 1 for a safe method: GET or HEAD. */
int SpDoc_IsSafe(const char *method);
/* SpDoc_FindRoute returns the index of the route with this method and the
   longest matching path, or -1. */
int SpDoc_FindRoute(const SpDoc *d, const char *method, const char *path);
/* SpDoc_FindService returns the index of a service, or -1. */
int SpDoc_FindService(const SpDoc *d, const char *name);

/*
 * Settings of a node.
 */
#define SP_ADDR_BYTES 24
#define SP_MAX_CONTACTS 16
#define SP_MAX_TOKENS 8
#define SP_KEY_BYTES 48

typedef struct SpToken {
    char name[SP_NAME_BYTES]; /* of the holder, recorded with each change */
    char token[128];
    char role[16]; /* "view" or "change" */
} SpToken;

typedef struct SpNodeSettings {
    char name[SP_NAME_BYTES];
    char zone[SP_NAME_BYTES];
    char service[SP_NAME_BYTES];
    char instance[SP_ADDR_BYTES]; /* address of the upstream instance */
    char inbound[SP_ADDR_BYTES];
    char outbound[SP_ADDR_BYTES];
    char mesh[SP_ADDR_BYTES];
    char peer[SP_ADDR_BYTES];
    char admin[SP_ADDR_BYTES];
    char log[SP_ADDR_BYTES];
    char contacts[SP_MAX_CONTACTS][SP_ADDR_BYTES];
    int ncontacts;
    char mesh_token[128];
    char peer_public[SP_KEY_BYTES]; /* CURVE key in Z85; empty: no CURVE */
    char peer_secret[SP_KEY_BYTES];
    SpToken tokens[SP_MAX_TOKENS];
    int ntokens;
    char log_level[16];
    int slots;   /* 0: use the value of the document */
    int stop_ms; /* 0: use the value of the document */
    int idle_ms; /* idle time-out of a connection */
    int max_connections;
    int memory_mb;    /* memory that the process may use */
    int header_bytes; /* size limit of a request head */
    int fault_drops;  /* 1: the admin API may drop peers, for tests */
} SpNodeSettings;

/* SpNodeSettings_Load returns 0 if it added a problem to ps. */
int SpNodeSettings_Load(const char *file, SpNodeSettings *s, SpProblems *ps);

/*
 * Command line of a daemon: [-t] -c SETTINGS.
 */
typedef struct SpProgram {
    const char *name, *version;
} SpProgram;

typedef struct SpOptions {
    const char *file; /* settings */
    int test;         /* 1: check the settings only */
} SpOptions;

/* SpOptions_Read returns -1 if the program is to run with *o, otherwise its
   exit status; help, the version or an error has been printed. */
int SpOptions_Read(const SpProgram *p, int argc, char **argv, SpOptions *o);

#endif
