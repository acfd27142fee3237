/* The headers sp-call and sp-answer, which carry call state between nodes, and
   traceparent (W3C Trace Context). */
#include <string.h>

#include "node/fns.h"

int
parse_trace(const char *s, uint64_t trace[2], uint64_t *span)
{
    if (!s || strlen(s) != 55 || s[2] != '-' || s[35] != '-' || s[52] != '-') {
        return 0;
    }
    return SpParse_Hex(s + 3, 16, &trace[0]) &&
           SpParse_Hex(s + 19, 16, &trace[1]) &&
           SpParse_Hex(s + 36, 16, span) && (trace[0] || trace[1]);
}

void
print_trace(char *buf, size_t n, const uint64_t trace[2], uint64_t span)
{
    g_snprintf(buf, n, "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-01",
               trace[0], trace[1], span);
}

static int
parse_int(const char *s, int64_t lo, int64_t hi, int64_t *v)
{
    return SpParse_Int(s, strlen(s), lo, hi, v);
}

/* sp-call: token;class;slice;budget;timeout;from, with timeout in us */
int
parse_wire_call(const char *s, const char *token, WireCall *w)
{
    char **f = g_strsplit(s, ";", 8);
    int64_t class, slice, budget, timeout;
    int ok = g_strv_length(f) == 6 && SpEqual_ConstTime(f[0], token) &&
             parse_int(f[1], 0, SP_MAX_CLASSES - 1, &class) &&
             parse_int(f[2], 0, SP_SLICES - 1, &slice) &&
             parse_int(f[3], 0, 100, &budget) &&
             parse_int(f[4], 0, INT64_MAX, &timeout);

    if (ok) {
        w->class = (int)class;
        w->slice = (int)slice;
        w->budget = (int)budget;
        w->timeout_us = timeout;
        g_strlcpy(w->from, f[5], sizeof w->from);
    }
    g_strfreev(f);
    return ok;
}

void
print_wire_call(char *buf, size_t n, const char *token, const WireCall *w)
{
    g_snprintf(buf, n, "%s;%d;%d;%d;%" PRId64 ";%s", token, w->class, w->slice,
               w->budget, w->timeout_us, w->from);
}

/* sp-answer: kind;outcome;level;load;budget;below;leaving;certified;retry;
   clock;inc;from, with retry and clock in ms */
int
parse_wire_answer(const char *s, SpAnswer *a)
{
    char **f = g_strsplit(s, ";", 13);
    int64_t v[8];
    int i, ok = g_strv_length(f) == 12;

    for (i = 0; ok && i < 8; i++) {
        ok = parse_int(f[i + 2], -1, INT64_MAX, &v[i]);
    }
    ok = ok && SpKind_ByName(f[0]) < SP_NKINDS &&
         SpParse_Hex(f[10], strlen(f[10]), &a->from_inc);
    if (ok) {
        a->kind = SpKind_ByName(f[0]);
        a->outcome = SpOutcome_ByName(f[1]);
        a->level = (int)CLAMP(v[0], -1, SP_MAX_CLASSES * SP_SLICES);
        a->load = (int)CLAMP(v[1], -1, 100000);
        a->budget = (int)CLAMP(v[2], 0, 100);
        a->below = v[3] == 1;
        a->leaving = v[4] == 1;
        a->certified = v[5] == 1;
        a->retry_ms = (int)CLAMP(v[6], 0, 600000);
        a->clock_ms = v[7];
        g_strlcpy(a->from, f[11], sizeof a->from);
    }
    g_strfreev(f);
    return ok;
}

void
print_wire_answer(char *buf, size_t n, const SpAnswer *a)
{
    g_snprintf(buf, n, "%s;%s;%d;%d;%d;%d;%d;%d;%d;%" PRId64 ";%" PRIx64 ";%s",
               SpKind_Info(a->kind)->name, SpOutcome_Name(a->outcome),
               a->level, a->load, a->budget, a->below, a->leaving,
               a->certified, a->retry_ms, a->clock_ms, a->from_inc, a->from);
}

/* Reports whether a header must not be forwarded: hop-by-hop headers, and
   those that nodes set themselves. */
int
is_unforwarded_header(const char *name)
{
    static const char *const names[] = {"connection",
                                        "content-length",
                                        "transfer-encoding",
                                        "host",
                                        "keep-alive",
                                        "te",
                                        "trailer",
                                        "upgrade",
                                        "traceparent",
                                        "idempotency-key",
                                        "proxy-connection",
                                        "server",
                                        "expect",
                                        "date"};
    size_t i;

    if (strncmp(name, "sp-", 3) == 0) {
        return 1;
    }
    for (i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            return 1;
        }
    }
    return 0;
}
