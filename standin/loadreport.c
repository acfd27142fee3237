/* Report of spload, and the counts kept by spup. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/load.h"

#define RECOVERED_SHARE 0.99

static int
compare_float(const void *a, const void *b)
{
    float x = *(const float *)a, y = *(const float *)b;

    return (x > y) - (x < y);
}

static double
quantile(const Mix *m, double q)
{
    return m->nsamples ? m->ms[(size_t)(q * (double)(m->nsamples - 1))] : 0;
}

static double
share(uint64_t a, uint64_t b)
{
    return b ? (double)a / (double)b : 1;
}

static void
report_phases(void)
{
    int i, k;

    for (i = 0; i < ld.nphases; i++) {
        const Phase *p = &ld.phases[i];
        double secs = (p->to_ms - p->from_ms) / 1000.0;
        for (k = 0; k < ld.nmix; k++) {
            printf("phase=%s mix=%s class=%s sent=%" PRIu64 " whole=%" PRIu64
                   " share=%.4f goodput=%.1f\n",
                   p->name, ld.mix[k].name, ld.mix[k].class, p->sent[k],
                   p->complete[k], share(p->complete[k], p->sent[k]),
                   (double)p->complete[k] / secs);
        }
        printf("phase_work=%s busy_ms=%.0f wasted=%.4f\n", p->name,
               p->busy_us / 1000,
               p->busy_us > 0 ? p->wasted_us / p->busy_us : 0);
    }
}

/* Prints the time from the end of the trigger until at least RECOVERED_SHARE
   of the calls in every later window get a complete response; "never" if one
   of the last two windows is below that share. */
static void
report_recovery(void)
{
    int last = (int)(ld.next_at / SP_MS) / ld.window_ms;
    int first = ld.trigger_end_ms / ld.window_ms, bad = first - 1, i;

    if (!ld.trigger_end_ms) {
        return;
    }
    for (i = first; i < last && i < MAX_WINDOWS; i++) {
        const Window *w = &ld.windows[i];
        if (w->sent && share(w->complete, w->sent) < RECOVERED_SHARE) {
            bad = i;
        }
    }
    if (bad >= last - 2) {
        printf("recovery_ms=never\n");
        return;
    }
    printf("recovery_ms=%d\n", (bad + 1) * ld.window_ms - ld.trigger_end_ms);
}

static void
report_series(void)
{
    FILE *f = ld.series ? fopen(ld.series, "w") : NULL;
    int i, last = (int)(ld.next_at / SP_MS) / ld.window_ms;

    if (!f) {
        return;
    }
    for (i = 0; i <= last && i < MAX_WINDOWS; i++) {
        const Window *w = &ld.windows[i];
        fprintf(f, "ms=%d sent=%u whole=%u first_sent=%u first_whole=%u\n",
                i * ld.window_ms, w->sent, w->complete, w->first_sent,
                w->first_complete);
    }
    fclose(f);
}

void
report(void)
{
    GHashTableIter it;
    gpointer k, v;
    int i;

    for (i = 0; i < ld.nmix; i++) {
        Mix *m = &ld.mix[i];
        qsort(m->ms, m->nsamples, sizeof m->ms[0], compare_float);
        printf("mix=%s class=%s sent=%" PRIu64 " whole=%" PRIu64
               " share=%.4f attempts=%" PRIu64 " p50_ms=%.2f p90_ms=%.2f"
               " p99_ms=%.2f max_ms=%.2f\n",
               m->name, m->class, m->sent, m->complete,
               share(m->complete, m->sent), m->attempts, quantile(m, 0.5),
               quantile(m, 0.9), quantile(m, 0.99), quantile(m, 1));
    }
    report_phases();
    report_recovery();
    g_hash_table_iter_init(&it, ld.kinds);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        printf("refused kind=%s count=%" PRIu64 "\n", (char *)k,
               *(uint64_t *)v);
    }
    if (ld.control[0]) {
        printf("work_ms=%.0f wasted_ms=%.0f wasted=%.4f\n", ld.busy_us / 1000,
               ld.wasted_us / 1000,
               ld.busy_us > 0 ? ld.wasted_us / ld.busy_us : 0);
    }
    printf("sent=%" PRIu64 " ended=%" PRIu64 " whole=%" PRIu64
           " refused=%" PRIu64 " foreign=%" PRIu64 " truncated=%" PRIu64
           " double_runs=%" PRIu64 " false_not_run=%" PRIu64 "\n",
           ld.sent, ld.ended, ld.complete, ld.ended - ld.complete, ld.foreign,
           ld.truncated, ld.double_runs, ld.false_not_run);
    report_series();
}

static void
on_fetch_done(void)
{
    if (--ld.pending_fetches == 0) {
        uv_stop(ld.loop);
    }
}

static void
count_work(const char *id, double us)
{
    int i = GPOINTER_TO_INT(g_hash_table_lookup(ld.phase, id));
    int failed = g_hash_table_contains(ld.failed, id);

    ld.busy_us += us;
    ld.wasted_us += failed ? us : 0;
    if (i) {
        ld.phases[i - 1].busy_us += us;
        ld.phases[i - 1].wasted_us += failed ? us : 0;
    }
}

static void
on_work(void *data, const SpFetchResult *f)
{
    char **lines, **l;

    (void)data;
    lines = g_strsplit(f->body ? f->body : "", "\n", 0);
    for (l = lines; *l && f->end == SP_FETCH_OK; l++) {
        char *sp = strchr(*l, ' ');
        double us = sp ? g_ascii_strtod(sp + 1, NULL) : 0;
        if (!sp) {
            continue;
        }
        *sp = '\0';
        count_work(*l, us);
    }
    g_strfreev(lines);
    on_fetch_done();
}

static void
on_run_counts(void *data, const SpFetchResult *f)
{
    char **lines, **l;

    (void)data;
    lines = g_strsplit(f->body ? f->body : "", "\n", 0);
    for (l = lines; *l && f->end == SP_FETCH_OK; l++) {
        char *end = strrchr(*l, ' '), *sp = strchr(*l, ' ');
        if (!sp) {
            continue;
        }
        ld.double_runs += g_ascii_strtoull(end + 1, NULL, 10) > 1;
        *sp = '\0';
        if (g_hash_table_contains(ld.not_run, *l)) {
            fprintf(stderr, "spload: outcome not-run, but it ran: %s\n", *l);
            ld.false_not_run++;
        }
    }
    g_strfreev(lines);
    on_fetch_done();
}

void
fetch_counts(void)
{
    SpFetchOpts o = {.addr = ld.control,
                     .method = "GET",
                     .path = "/work",
                     .max_response_bytes = 256 << 20,
                     .timeout_ms = 10000,
                     .cb = on_work};

    ld.pending_fetches = 2;
    SpWeb_Fetch(ld.web, &o);
    o.path = "/once";
    o.cb = on_run_counts;
    SpWeb_Fetch(ld.web, &o);
}
