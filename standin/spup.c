/* spup: upstream instances, many in one process. */
#include <getopt.h>
#include <signal.h>
#include <string.h>

#include "standin/up.h"

#define ANNOUNCE_MS 1000

Up up;

static void
on_announced(void *data, const SpFetchResult *f)
{
    (void)data;
    (void)f;
}

void
announce(Instance *in)
{
    char slots[16];
    SpHeader hs[2] = {{"sp-state", in->state}, {"sp-slots", slots}};
    SpFetchOpts o = {.addr = in->outbound,
                     .method = "POST",
                     .path = "/.sp/instance",
                     .headers = hs,
                     .nheaders = 2,
                     .timeout_ms = 900,
                     .cb = on_announced};

    g_snprintf(slots, sizeof slots, "%d", in->slots);
    SpWeb_Fetch(up.web, &o);
}

static void
on_announce(uv_timer_t *t)
{
    int i;

    (void)t;
    for (i = 0; i < up.n; i++) {
        if (!up.list[i].silent) {
            announce(&up.list[i]);
        }
    }
}

static void
on_control_disconnect(void *ctx, SpWebReq *web)
{
    (void)ctx;
    (void)web;
}

static void
on_signal(uv_signal_t *s, int signum)
{
    (void)signum;
    uv_stop(s->loop);
}

static int
serve(GError **err)
{
    SpWebOpts wo = {4 << 20, 65536, 60000, 100000, 0};
    SpWebHandler control = {on_control, on_control_disconnect, NULL};
    int i;

    up.web = SpWeb_New(up.loop, &wo);
    if (!SpWeb_Listen(up.web, up.control, &control, err)) {
        return 0;
    }
    for (i = 0; i < up.n; i++) {
        SpWebHandler h = {on_request, on_disconnect, &up.list[i]};
        up.list[i].started_at = SpClock_Now();
        if (!SpWeb_Listen(up.web, up.list[i].listen, &h, err)) {
            return 0;
        }
    }
    SpWeb_Start(up.web);
    return 1;
}

static int
usage(FILE *f, int status)
{
    fprintf(f, "usage: spup -c SETTINGS\n"
               "  -c, --config FILE  instances and routes, JSON\n"
               "  -h, --help         print this\n");
    return status;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'},
        {"help", no_argument, NULL, 'h'},
        {NULL, 0, NULL, 0}};
    const char *file = NULL;
    GError *err = NULL;
    uv_timer_t timer;
    uv_signal_t term;
    int c;

    argv[0] = "spup"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "c:h", options, NULL)) != -1) {
        if (c != 'c') {
            return usage(c == 'h' ? stdout : stderr, c == 'h' ? 0 : 2);
        }
        file = optarg;
    }
    if (!file) {
        return usage(stderr, 2);
    }
    if (!load_settings(file)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    up.once = g_hash_table_new(g_str_hash, g_str_equal);
    up.work = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    up.rand = 7;
    up.loop = uv_default_loop();
    if (!serve(&err)) {
        fprintf(stderr, "spup: %s\n", err->message);
        return 1;
    }
    uv_timer_init(up.loop, &timer);
    uv_timer_start(&timer, on_announce, 50, ANNOUNCE_MS);
    uv_signal_init(up.loop, &term);
    uv_signal_start(&term, on_signal, SIGTERM);
    uv_run(up.loop, UV_RUN_DEFAULT);
    return 0;
}
