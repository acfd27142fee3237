/*
 * spload: an open-loop load generator for experiments.
 *
 * Calls start at the times of a Poisson process whose rate changes in steps,
 * independently of the completion of earlier calls. Each response is checked
 * to be complete and to belong to its request. At given times spload sends
 * the simulators and nodes requests that set faults. The report has counts by
 * class, phase and window.
 */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <string.h>

#include "standin/load.h"

/* Longest wait for outstanding calls after the last step. */
#define TAIL_MS 12000

Load ld = {.wait_ms = 50, .timeout_ms = 2000, .window_ms = 250, .seed = 1};

static double
rate_at(double us)
{
    double t = 0;
    int i;

    for (i = 0; i < ld.nsteps; i++) {
        t += ld.steps[i].seconds * SP_SEC;
        if (us < t) {
            return ld.steps[i].rate;
        }
    }
    return 0;
}

static void
finish(void)
{
    ld.done = 1;
    uv_timer_stop(&ld.tick);
    if (ld.control[0]) {
        fetch_counts();
    }
    else {
        uv_stop(ld.loop);
    }
}

static void
on_tick(uv_timer_t *t)
{
    double now = (double)(SpClock_Now() - ld.started_at), total = 0;
    int i;

    (void)t;
    for (i = 0; i < ld.nevents; i++) {
        if (!ld.events[i].fired && now >= ld.events[i].at_ms * 1000.0) {
            send_event(&ld.events[i]);
        }
    }
    for (i = 0; i < ld.nsteps; i++) {
        total += ld.steps[i].seconds * SP_SEC;
    }
    while (ld.next_at <= now && ld.next_at < total) {
        double r = rate_at(ld.next_at);
        if (r > 0) {
            send_one((int64_t)ld.next_at);
            ld.next_at -= log(1 - SpRand_Unit(&ld.rand)) / r * SP_SEC;
        }
        else {
            ld.next_at += SP_MS;
        }
    }
    if (now >= total &&
        (ld.ended == ld.sent || now > total + TAIL_MS * (double)SP_MS)) {
        finish();
    }
}

static void
make_callers(void)
{
    int i, k;

    for (i = 0; i < ld.nmix; i++) {
        Mix *m = &ld.mix[i];
        SpCallerOpts o = {.retries = ld.retries,
                          .wait_ms = ld.wait_ms,
                          .honor_retry_after = ld.honor_retry_after,
                          .ncontacts = m->ncontacts,
                          .seed = (uint64_t)ld.seed * 100 + (uint64_t)i};
        for (k = 0; k < m->ncontacts; k++) {
            o.contacts[k] = m->contacts[k];
        }
        m->caller = SpCaller_New(ld.web, ld.loop, &o);
        m->ms = g_new(float, MAX_SAMPLES);
    }
}

static int
usage(FILE *f, int status)
{
    fprintf(f, "usage: spload -c SETTINGS [-s SERIES]\n"
               "  -c, --config FILE  the experiment, JSON\n"
               "  -s, --series FILE  write a line for each window\n"
               "  -h, --help         print this\n");
    return status;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'},
        {"series", required_argument, NULL, 's'},
        {"help", no_argument, NULL, 'h'},
        {NULL, 0, NULL, 0}};
    SpWebOpts wo = {1 << 20, 65536, 60000, 1000, 0};
    const char *file = NULL;
    int c;

    argv[0] = "spload"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "c:s:h", options, NULL)) != -1) {
        if (c == 'c') {
            file = optarg;
        }
        else if (c == 's') {
            ld.series = optarg;
        }
        else {
            return usage(c == 'h' ? stdout : stderr, c == 'h' ? 0 : 2);
        }
    }
    if (!file) {
        return usage(stderr, 2);
    }
    if (!load_settings(file)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    ld.failed = g_hash_table_new(g_str_hash, g_str_equal);
    ld.not_run = g_hash_table_new(g_str_hash, g_str_equal);
    ld.phase = g_hash_table_new(g_str_hash, g_str_equal);
    ld.kinds = g_hash_table_new(g_str_hash, g_str_equal);
    ld.rand = (uint64_t)ld.seed;
    ld.loop = uv_default_loop();
    ld.web = SpWeb_New(ld.loop, &wo);
    SpWeb_Start(ld.web);
    make_callers();
    ld.started_at = SpClock_Now();
    uv_timer_init(ld.loop, &ld.tick);
    uv_timer_start(&ld.tick, on_tick, 1, 1);
    uv_run(ld.loop, UV_RUN_DEFAULT);
    report();
    return ld.foreign || ld.truncated || ld.double_runs || ld.false_not_run
               ? 1
               : 0;
}
