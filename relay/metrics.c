/* Counters and latency histograms. */
#include <string.h>

#include "relay/metrics.h"

/* Upper bounds of the histograms, in milliseconds. */
static const int bounds_ms[] = {1,   2,   5,    10,   20,   50,   100,
                                200, 500, 1000, 2000, 5000, 10000};

#define NBOUNDS G_N_ELEMENTS(bounds_ms)

typedef struct Histogram {
    uint64_t in[NBOUNDS + 1]; /* the last one: above the highest bound */
    uint64_t count;
    int64_t sum_us;
} Histogram;

typedef struct RouteMetrics {
    const char *name; /* owned, but for that of the others */
    uint64_t ended[SP_NKINDS];
    Histogram time;
} RouteMetrics;

struct Metrics {
    GHashTable *routes; /* name to RouteMetrics */
    size_t name_bytes;  /* of the names of routes */
    RouteMetrics other;
    Histogram times[METRIC_NTIMES];
};

static const char *const time_names[METRIC_NTIMES] = {"request", "queue_wait",
                                                      "instance_run"};

Metrics *
Metrics_New(void)
{
    Metrics *m = g_new0(Metrics, 1);

    m->routes = g_hash_table_new(g_str_hash, g_str_equal);
    m->other.name = "other";
    return m;
}

static void
observe(Histogram *h, int64_t us)
{
    size_t i = 0;

    while (i < NBOUNDS && us > bounds_ms[i] * SP_MS) {
        i++;
    }
    h->in[i]++;
    h->count++;
    h->sum_us += us;
}

static RouteMetrics *
metrics_of(Metrics *m, const char *route)
{
    RouteMetrics *r = route ? g_hash_table_lookup(m->routes, route) : NULL;

    if (r) {
        return r;
    }
    if (!route || g_hash_table_size(m->routes) >= METRIC_ROUTES ||
        m->name_bytes + strlen(route) > METRIC_NAME_BYTES) {
        return &m->other;
    }
    r = g_new0(RouteMetrics, 1);
    r->name = g_strdup(route);
    m->name_bytes += strlen(route);
    g_hash_table_insert(m->routes, (gpointer)r->name, r);
    return r;
}

void
Metrics_Answer(Metrics *m, const char *route, SpKind k, int64_t us)
{
    RouteMetrics *r = metrics_of(m, route);

    r->ended[k]++;
    observe(&r->time, us);
    observe(&m->times[METRIC_TOTAL], us);
}

void
Metrics_Time(Metrics *m, MetricTime t, int64_t us)
{
    observe(&m->times[t], us);
}

/* labels is empty or ends with a comma. */
static void
print_histogram(GString *s, const char *name, const char *labels,
                const Histogram *h)
{
    uint64_t below = 0;
    size_t i, n = strlen(labels);

    for (i = 0; i < NBOUNDS; i++) {
        below += h->in[i];
        g_string_append_printf(
            s, "sp_%s_seconds_bucket{%sle=\"%g\"} %" PRIu64 "\n", name, labels,
            bounds_ms[i] / 1000.0, below);
    }
    g_string_append_printf(s,
                           "sp_%s_seconds_bucket{%sle=\"+Inf\"} %" PRIu64 "\n",
                           name, labels, h->count);
    n = n ? n - 1 : 0;
    g_string_append_printf(s, "sp_%s_seconds_sum{%.*s} %.6f\n", name, (int)n,
                           labels, (double)h->sum_us / SP_SEC);
    g_string_append_printf(s, "sp_%s_seconds_count{%.*s} %" PRIu64 "\n", name,
                           (int)n, labels, h->count);
}

static void
print_route(GString *s, const RouteMetrics *r)
{
    char *labels;
    int k;

    for (k = 0; k < SP_NKINDS; k++) {
        if (r->ended[k]) {
            g_string_append_printf(
                s, "sp_requests_total{route=\"%s\",kind=\"%s\"} %" PRIu64 "\n",
                r->name, SpKind_Info((SpKind)k)->name, r->ended[k]);
        }
    }
    if (r->time.count) {
        labels = g_strdup_printf("route=\"%s\",", r->name);
        print_histogram(s, "route", labels, &r->time);
        g_free(labels);
    }
}

void
Metrics_Print(const Metrics *m, GString *s)
{
    GHashTableIter it;
    gpointer r;
    int t;

    g_hash_table_iter_init(&it, m->routes);
    while (g_hash_table_iter_next(&it, NULL, &r)) {
        print_route(s, r);
    }
    print_route(s, &m->other);
    for (t = 0; t < METRIC_NTIMES; t++) {
        print_histogram(s, time_names[t], "", &m->times[t]);
    }
}
