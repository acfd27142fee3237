/* spcall: makes one call with the library for callers. */
#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "call/call.h"

#define VERSION "0.1.0"

static int exit_status = 1;

static void
on_result(void *data, const SpCallResult *r)
{
    (void)data;
    fwrite(r->body ? r->body : "", 1, r->body_len, stdout);
    fprintf(stderr,
            "spcall: status=%d outcome=%s kind=%s attempts=%d took_ms=%.1f "
            "key=%s\n",
            r->status, SpOutcome_Name(r->outcome), r->kind, r->attempts,
            (double)r->duration_us / 1000, r->key ? r->key : "-");
    exit_status = r->outcome == SP_DONE && r->status < 400 ? 0 : 1;
    uv_stop(uv_default_loop());
}

static int
usage(FILE *f, int status)
{
    fprintf(f,
            "usage: spcall -n IP:PORT[,IP:PORT...] [options] METHOD PATH\n"
            "  -n, --nodes LIST     inbound addresses of nodes\n"
            "  -k, --key-route NAME get a key for this non-idempotent route\n"
            "  -d, --data TEXT      body\n"
            "  -r, --retries N      besides the first attempt (2)\n"
            "  -t, --timeout-ms N   for all of it (5000)\n"
            "  -h, --help           print this\n"
            "  -V, --version        print the version\n");
    return status;
}

static int
parse_number(const char *s, int hi)
{
    int64_t v;

    if (!SpParse_Int(s, strlen(s), 0, hi, &v)) {
        fprintf(stderr, "spcall: \"%s\" is not a number from 0 to %d\n", s,
                hi);
        exit(2);
    }
    return (int)v;
}

static void
parse_nodes(SpCallerOpts *o, const char *list)
{
    char **part = g_strsplit(list, ",", SP_CALL_CONTACTS);
    int i;

    for (i = 0; part[i]; i++) {
        if (!SpParse_Addr(part[i], NULL, 0, NULL)) {
            fprintf(stderr, "spcall: \"%s\" is not IP:PORT\n", part[i]);
            exit(2);
        }
        o->contacts[o->ncontacts++] = part[i];
    }
    g_free(part); /* o->contacts owns the strings */
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"nodes", required_argument, NULL, 'n'},
        {"key-route", required_argument, NULL, 'k'},
        {"data", required_argument, NULL, 'd'},
        {"retries", required_argument, NULL, 'r'},
        {"timeout-ms", required_argument, NULL, 't'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},
        {NULL, 0, NULL, 0}};
    SpWebOpts wo = {1 << 20, 65536, 60000, 10, 0};
    static SpCallerOpts o = {
        .retries = 2, .wait_ms = 50, .honor_retry_after = 1};
    SpCaller *caller;
    SpCallRequest call = {.timeout_ms = 5000, .cb = on_result};
    uv_loop_t *loop = uv_default_loop();
    SpWeb *web;
    int c;

    argv[0] = "spcall"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "n:k:d:r:t:hV", options, NULL)) !=
           -1) {
        if (c == 'n') {
            parse_nodes(&o, optarg);
        }
        else if (c == 'k') {
            call.route = optarg;
        }
        else if (c == 'd') {
            call.body = optarg;
            call.body_len = strlen(optarg);
        }
        else if (c == 'r') {
            o.retries = parse_number(optarg, 100);
        }
        else if (c == 't') {
            call.timeout_ms = parse_number(optarg, 600000);
        }
        else if (c == 'V') {
            printf("spcall %s\n", VERSION);
            return 0;
        }
        else {
            return usage(c == 'h' ? stdout : stderr, c == 'h' ? 0 : 2);
        }
    }
    if (o.ncontacts == 0 || optind != argc - 2) {
        return usage(stderr, 2);
    }
    call.method = argv[optind];
    call.path = argv[optind + 1];
    signal(SIGPIPE, SIG_IGN);
    o.seed = uv_hrtime();
    web = SpWeb_New(loop, &wo);
    SpWeb_Start(web);
    caller = SpCaller_New(web, loop, &o);
    SpCaller_Call(caller, &call);
    uv_run(loop, UV_RUN_DEFAULT);
    SpCaller_Free(caller);
    return exit_status;
}
