/* Calls and events of spload. */
#include <stdio.h>
#include <string.h>

#include "standin/load.h"

typedef struct PendingCall {
    Mix *m;
    char id[32];
    int64_t at_us; /* since started_at */
} PendingCall;

static int
has_class_of_first_mix(const Mix *m)
{
    return strcmp(m->class, ld.mix[0].class) == 0;
}

static Window *
window_at(int64_t us)
{
    int64_t i = us / (ld.window_ms * SP_MS);

    return &ld.windows[CLAMP(i, 0, MAX_WINDOWS - 1)];
}

/* Reports whether a response of spup is complete, has a correct checksum and
   belongs to this request. */
static int
is_complete(const PendingCall *s, const SpCallResult *r)
{
    static const char tail[] = "\"sum\": \"";
    const char *sum;
    char expected[64], hex[20];
    size_t n = strlen(tail);

    if (r->status != 200) {
        return 0;
    }
    g_snprintf(expected, sizeof expected, "{\"id\": \"%s\",", s->id);
    if (r->body_len < 64 || memcmp(r->body, expected, strlen(expected)) != 0) {
        ld.foreign++;
        return 0;
    }
    sum = g_strrstr_len(r->body, (gssize)r->body_len, tail);
    if (!sum || (size_t)(sum - r->body) + n + 19 != r->body_len) {
        ld.truncated++;
        return 0;
    }
    g_snprintf(hex, sizeof hex, "%016" PRIx64,
               SpHash(r->body, (size_t)(sum - r->body) + n, 0));
    if (memcmp(hex, sum + n, 16) != 0) {
        ld.truncated++;
        return 0;
    }
    return 1;
}

static void
count_kind(const char *kind)
{
    uint64_t *n = g_hash_table_lookup(ld.kinds, kind);

    if (!n) {
        n = g_new0(uint64_t, 1);
        g_hash_table_insert(ld.kinds, g_strdup(kind), n);
    }
    (*n)++;
}

static void
count_phase(const PendingCall *s, int complete)
{
    int i, k = (int)(s->m - ld.mix);
    int64_t ms = s->at_us / SP_MS;

    for (i = 0; i < ld.nphases; i++) {
        Phase *p = &ld.phases[i];
        if (ms >= p->from_ms && ms < p->to_ms) {
            g_hash_table_insert(ld.phase, g_strdup(s->id),
                                GINT_TO_POINTER(i + 1));
            p->sent[k]++;
            p->complete[k] += (uint64_t)complete;
        }
    }
}

static void
on_result(void *data, const SpCallResult *r)
{
    PendingCall *s = data;
    Mix *m = s->m;
    Window *w = window_at(s->at_us);
    int complete = is_complete(s, r);

    ld.ended++;
    ld.complete += (uint64_t)complete;
    m->complete += (uint64_t)complete;
    m->attempts += (uint64_t)r->attempts;
    w->complete += (uint32_t)complete;
    w->first_complete += (uint32_t)(complete && has_class_of_first_mix(m));
    count_phase(s, complete);
    if (complete) {
        if (m->nsamples < MAX_SAMPLES) {
            m->ms[m->nsamples++] = (float)r->duration_us / 1000;
        }
    }
    else {
        count_kind(r->status == 200 ? "not-whole" : r->kind);
        g_hash_table_add(ld.failed, g_strdup(s->id));
        if (r->outcome == SP_NOT_RUN) {
            ld.ended_not_run++;
            g_hash_table_add(ld.not_run, g_strdup(s->id));
        }
    }
    g_free(s);
}

static Mix *
choose_mix(void)
{
    double sum = 0, u;
    int i;

    for (i = 0; i < ld.nmix; i++) {
        sum += ld.mix[i].weight;
    }
    u = SpRand_Unit(&ld.rand) * sum;
    for (i = 0; i < ld.nmix - 1 && u >= ld.mix[i].weight; i++) {
        u -= ld.mix[i].weight;
    }
    return &ld.mix[i];
}

void
send_one(int64_t at_us)
{
    static char body[1 << 20];
    Mix *m = choose_mix();
    PendingCall *s = g_new0(PendingCall, 1);
    Window *w = window_at(at_us);
    SpCallRequest c = {.method = m->method,
                       .path = m->path,
                       .route = m->route[0] ? m->route : NULL,
                       .id = s->id,
                       .body = body,
                       .body_len = (size_t)m->body_bytes,
                       .timeout_ms = ld.timeout_ms,
                       .cb = on_result,
                       .data = s};

    s->m = m;
    s->at_us = at_us;
    g_snprintf(s->id, sizeof s->id, "r%d-%" PRIu64, ld.seed, ++ld.ids);
    ld.sent++;
    m->sent++;
    w->sent++;
    w->first_sent += (uint32_t)has_class_of_first_mix(m);
    SpCaller_Call(m->caller, &c);
}

/*
 * Events.
 */

static void
on_event_response(void *data, const SpFetchResult *f)
{
    const Event *e = data;

    if (f->end != SP_FETCH_OK || f->status >= 300) {
        fprintf(stderr, "spload: event %s%s: status %d\n", e->addr, e->path,
                f->status);
    }
}

void
send_event(Event *e)
{
    char auth[160];
    SpHeader hs[1] = {{"authorization", auth}};
    SpFetchOpts o = {.addr = e->addr,
                     .method = "POST",
                     .path = e->path,
                     .headers = hs,
                     .nheaders = 1,
                     .body = e->body,
                     .body_len = e->body ? strlen(e->body) : 0,
                     .timeout_ms = 5000,
                     .cb = on_event_response,
                     .data = e};

    e->fired = 1;
    g_snprintf(auth, sizeof auth, "Bearer %s", e->token);
    SpWeb_Fetch(ld.web, &o);
}
