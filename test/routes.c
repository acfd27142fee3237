/* Benchmark of reading a configuration: time and memory by number of routes
   and hosts. Not part of the tests. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "platform/platform.h"
#include "test/test.h"

#define LOOKUPS 200000

static double
cpu_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* A configuration with n routes, spread over the hosts in turn. */
static GString *
write_config(int n, int hosts)
{
    GString *s = g_string_new(
        "{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\",\"host\","
        "\"path_prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","
        "\"service\",\"max_attempts\",\"traffic_split\"],\"rows\":[");
    int i;

    for (i = 0; i < n; i++) {
        g_string_append_printf(s,
                               "%s[\"r%05d\",\"h%d.example\",\"/idle%05d/\","
                               "\"safe\",6,1.5,2,\"orders\",2,null]",
                               i ? "," : "", i, i % hosts, i);
    }
    g_string_append(s, "]},\"limits\":{}}");
    return s;
}

static double
time_lookups(const SpRoutes *rs, int n, int hosts)
{
    double start = cpu_ms();
    char host[32], path[64];
    int i, missing = 0;

    for (i = 0; i < LOOKUPS; i++) {
        g_snprintf(host, sizeof host, "h%d.example", i % n % hosts);
        g_snprintf(path, sizeof path, "/idle%05d/a/b", i % n);
        missing += !SpRoutes_Find(rs, host, path);
    }
    if (missing) {
        printf("%d routes not found\n", missing);
    }
    return (cpu_ms() - start) * 1e3 / LOOKUPS;
}

static void
measure(int n, int hosts)
{
    GString *s = write_config(n, hosts);
    size_t before = mallinfo2().uordblks;
    double start = cpu_ms(), read;
    GError *err = NULL;
    SpRoutes *rs = SpPlatform_ParseConfig(s->str, s->len, &err);

    read = cpu_ms() - start;
    if (!rs) {
        printf("%d routes: %s\n", n, err->message);
        g_error_free(err);
    }
    else {
        printf("%6d routes on %4d hosts, %5zu KB: read in %7.1f ms, held in "
               "%6zu KB, found in %6.2f us\n",
               n, hosts, s->len / 1024, read,
               (mallinfo2().uordblks - before) / 1024,
               time_lookups(rs, n, hosts));
    }
    SpRoutes_Unref(rs);
    g_string_free(s, TRUE);
}

int
run_routes(void)
{
    static const int counts[] = {350, 1400, 3800, 5600, 22400};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(counts); i++) {
        measure(counts[i], 1);
        measure(counts[i], counts[i] / 10);
    }
    return 0;
}
