#include <string.h>

#include "base/base.h"

static const SpKindInfo kinds[SP_NKINDS] = {
    [SP_OK] = {"ok", 200, SP_DONE, 0, 0, "answered"},
    [SP_BAD_REQUEST] = {"bad-request", 400, SP_NOT_RUN, 0, 0,
                        "the request is malformed"},
    [SP_TOO_LARGE] = {"too-large", 413, SP_NOT_RUN, 0, 0,
                      "the body exceeds the configured size"},
    [SP_NO_ROUTE] = {"no-route", 404, SP_NOT_RUN, 0, 0,
                     "no route of the configuration matches"},
    [SP_KEY_REQUIRED] = {"key-required", 428, SP_NOT_RUN, 0, 0,
                         "a non-idempotent request needs an Idempotency-Key"},
    [SP_KEY_MISMATCH] = {"key-mismatch", 422, SP_NOT_RUN, 0, 0,
                         "the key was used with another request"},
    [SP_KEY_BUSY] = {"key-busy", 409, SP_UNKNOWN, 0, 200,
                     "a request with this key is still running"},
    [SP_KEY_FULL] = {"key-full", 503, SP_NOT_RUN, 1, 500,
                     "the home has no room for another key"},
    [SP_KEY_EXPIRED] = {"key-expired", 410, SP_UNKNOWN, 0, 0,
                        "the home no longer remembers this key"},
    [SP_KEY_DEAD] = {"key-dead", 410, SP_NOT_RUN, 0, 0,
                     "the key was refused before and never runs"},
    [SP_HOME_GONE] = {"home-gone", 503, SP_UNKNOWN, 0, 0,
                      "the key's home is gone or out of reach"},
    [SP_SHED] = {"shed", 503, SP_NOT_RUN, 0, 1000,
                 "refused at entry: a service on the path is overloaded"},
    [SP_QUEUE_FULL] = {"queue-full", 503, SP_NOT_RUN, 1, 500,
                       "the instance's queue is full"},
    [SP_THROTTLED] = {"throttled", 503, SP_NOT_RUN, 0, 1000,
                      "the service answers too few requests"},
    [SP_LATE] = {"late", 504, SP_NOT_RUN, 0, 0,
                 "the deadline passed before the request ran"},
    [SP_TIMEOUT] = {"timeout", 504, SP_UNKNOWN, 0, 0,
                    "the deadline passed while the request ran"},
    [SP_LEAVING] = {"leaving", 503, SP_NOT_RUN, 1, 0,
                    "the instance is leaving"},
    [SP_NO_TARGET] = {"no-target", 503, SP_NOT_RUN, 0, 500,
                      "no instance of the service is known"},
    [SP_NO_CONFIG] = {"no-config", 503, SP_NOT_RUN, 0, 1000,
                      "no configuration has been learnt yet"},
    [SP_UNREACHABLE] = {"unreachable", 503, SP_NOT_RUN, 1, 200,
                        "the instance accepts no connection"},
    [SP_BROKEN] = {"broken", 502, SP_UNKNOWN, 1, 200,
                   "the instance's answer is missing or incomplete"},
    [SP_CANCELLED] = {"cancelled", 499, SP_NOT_RUN, 0, 0,
                      "the caller left before the request ran"},
    [SP_LOG_DOWN] = {"log-down", 503, SP_NOT_RUN, 0, 1000,
                     "the platform's log cannot be reached"},
    [SP_OPTIONAL] = {"optional", 503, SP_NOT_RUN, 0, 0,
                     "an optional part was left out under overload"},
    [SP_UNAUTHORIZED] = {"unauthorized", 401, SP_NOT_RUN, 0, 0,
                         "the token is missing or unknown"},
    [SP_OVER_QUOTA] = {"over-quota", 429, SP_NOT_RUN, 0, 0,
                       "the workspace has used up its quota"},
    [SP_RUN_UNKNOWN] = {"run-unknown", 503, SP_NOT_RUN, 0, 200,
                        "the request that makes this call is not known here"},
    [SP_INTERNAL] = {"internal", 500, SP_UNKNOWN, 0, 0, "internal error"},
};

static const char *const outcomes[] = {
    [SP_DONE] = "done", [SP_NOT_RUN] = "not-run", [SP_UNKNOWN] = "unknown"};

const SpKindInfo *
SpKind_Info(SpKind k)
{
    if ((unsigned)k >= SP_NKINDS) {
        k = SP_INTERNAL;
    }
    return &kinds[k];
}

SpKind
SpKind_ByName(const char *name)
{
    int k;

    for (k = 0; k < SP_NKINDS; k++) {
        if (strcmp(kinds[k].name, name) == 0) {
            break;
        }
    }
    return (SpKind)k;
}

const char *
SpOutcome_Name(SpOutcome o)
{
    return outcomes[o];
}

SpOutcome
SpOutcome_ByName(const char *name)
{
    int o;

    for (o = SP_DONE; o < SP_UNKNOWN; o++) {
        if (strcmp(outcomes[o], name) == 0) {
            return (SpOutcome)o;
        }
    }
    return SP_UNKNOWN;
}

GQuark
SpError_Quark(void)
{
    return g_quark_from_static_string("siskinpond");
}
