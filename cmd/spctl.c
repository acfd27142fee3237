/* spctl: command-line tool for operators. */
#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "cmd/ctl.h"
#include "web/web.h"

#define VERSION "0.1.0"
#define TIMEOUT_MS 15000

static struct {
    const char *node;
    const char *token;
    const char *reason;
    int replaces;
    uv_loop_t *loop;
    SpWeb *web;
    /* result of the last fetch */
    SpFetchStatus end;
    int status;
    char *body;
} ctl = {.replaces = -1};

typedef struct Command {
    const char *name;
    const char *args;
    const char *help;
    int (*run)(int argc, char **argv);
} Command;

static int
fail(const char *fmt, const char *a)
{
    fprintf(stderr, "spctl: ");
    fprintf(stderr, fmt, a);
    fprintf(stderr, "\n");
    return 1;
}

static void
on_fetched(void *data, const SpFetchResult *f)
{
    (void)data;
    ctl.end = f->end;
    ctl.status = f->status;
    g_free(ctl.body);
    ctl.body = g_strndup(f->body ? f->body : "", f->body_len);
    uv_stop(ctl.loop);
}

int
ctl_fetch(const char *node, const char *method, const char *path,
          const char *body)
{
    char *auth = g_strdup_printf("Bearer %s", ctl.token ? ctl.token : "");
    SpHeader hs[1] = {{"authorization", auth}};
    SpFetchOpts o = {.addr = node,
                     .method = method,
                     .path = path,
                     .headers = hs,
                     .nheaders = 1,
                     .body = body,
                     .body_len = body ? strlen(body) : 0,
                     .timeout_ms = TIMEOUT_MS,
                     .cb = on_fetched};

    SpWeb_Fetch(ctl.web, &o);
    uv_run(ctl.loop, UV_RUN_DEFAULT);
    g_free(auth);
    return ctl.end == SP_FETCH_OK;
}

int
ctl_status(void)
{
    return ctl.status;
}

const char *
ctl_body(void)
{
    return ctl.body;
}

/* Sends a request to the node of -n. Returns 1 if a response came, which is
   then in ctl. */
static int
fetch(const char *method, const char *path, const char *body)
{
    if (!ctl.node || !SpParse_Addr(ctl.node, NULL, 0, NULL)) {
        fail("%s", "name a node's admin address: -n IP:PORT");
        exit(2);
    }
    if (!ctl_fetch(ctl.node, method, path, body)) {
        fail("%s: no response", ctl.node);
        return 0;
    }
    return 1;
}

int
ctl_ask(const char *path)
{
    return fetch("GET", path, NULL);
}

static void
print_problems(const json_t *list, const char *file)
{
    size_t i;
    json_t *p;

    json_array_foreach((json_t *)list, i, p)
    {
        fprintf(stderr, "spctl: %s: %s: %s\n", file,
                json_string_value(json_object_get(p, "place")),
                json_string_value(json_object_get(p, "text")));
    }
}

static int
print_body(void)
{
    fputs(ctl.body, ctl.status < 300 ? stdout : stderr);
    return ctl.status < 300 ? 0 : 1;
}

static char *
read_file(const char *file)
{
    GError *err = NULL;
    char *text;

    if (!g_file_get_contents(file, &text, NULL, &err)) {
        fail("%s", err->message);
        exit(2);
    }
    return text;
}

static int
run_check(int argc, char **argv)
{
    SpProblems *ps = SpProblems_New();
    char *text;
    SpDoc *d;

    if (argc != 2) {
        return fail("usage: spctl %s", "check FILE");
    }
    text = read_file(argv[1]);
    d = SpDoc_Parse(text, strlen(text), ps);
    SpProblems_Print(ps, "spctl", argv[1], stderr);
    if (d) {
        printf("%s: correct: %d services, %d routes, %d classes\n", argv[1],
               d->nservices, d->nroutes, d->nclasses);
    }
    SpProblems_Free(ps);
    g_free(text);
    g_free(d);
    return d ? 0 : 2;
}

static int
current_version(void)
{
    json_t *j;
    int v;

    if (!fetch("GET", "/v1/config", NULL)) {
        exit(1);
    }
    if (ctl.status != 200) {
        exit(print_body());
    }
    j = json_loads(ctl.body, 0, NULL);
    v = (int)json_integer_value(json_object_get(j, "version"));
    json_decref(j);
    return v;
}

static int
run_publish(int argc, char **argv)
{
    json_t *j, *v;
    char *text, *body;
    const char *result;
    int ok;

    if (argc != 2 || !ctl.reason) {
        return fail("usage: spctl %s", "-r REASON [-v REPLACES] publish FILE");
    }
    text = read_file(argv[1]);
    if (ctl.replaces < 0) {
        ctl.replaces = current_version();
    }
    j = json_pack("{s:i, s:s, s:s}", "replaces", ctl.replaces, "reason",
                  ctl.reason, "document", text);
    if (!j) {
        return fail("%s: not UTF-8 text", argv[1]);
    }
    body = json_dumps(j, 0);
    json_decref(j);
    if (!fetch("POST", "/v1/config", body)) {
        return 1;
    }
    free(body);
    g_free(text);
    j = json_loads(ctl.body, 0, NULL);
    result = json_string_value(json_object_get(j, "result"));
    print_problems(json_object_get(j, "problems"), argv[1]);
    ok = result && strcmp(result, "accepted") == 0;
    fprintf(ok ? stdout : stderr, "%s: %s", argv[1],
            result ? result : ctl.body);
    v = json_object_get(j, "in_force");
    if (v) {
        fprintf(ok ? stdout : stderr, "; version %d by %s is in force: %s",
                (int)json_integer_value(json_object_get(v, "version")),
                json_string_value(json_object_get(v, "by")),
                json_string_value(json_object_get(v, "reason")));
    }
    fprintf(ok ? stdout : stderr, "\n");
    json_decref(j);
    return ok ? 0 : 1;
}

static int
run_get(const char *path)
{
    return fetch("GET", path, NULL) ? print_body() : 1;
}

static int
run_show(int argc, char **argv)
{
    json_t *j;
    const char *text;

    (void)argc;
    (void)argv;
    if (!fetch("GET", "/v1/config", NULL)) {
        return 1;
    }
    if (ctl.status != 200) {
        return print_body();
    }
    j = json_loads(ctl.body, 0, NULL);
    text = json_string_value(json_object_get(j, "document"));
    if (text) {
        fputs(text, stdout);
    }
    json_decref(j);
    return text ? 0 : fail("%s: the node has no configuration yet", ctl.node);
}

static int
run_status(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return run_get("/v1/status");
}

static int
run_history(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return run_get("/v1/history");
}

static int
run_members(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return run_get("/v1/members");
}

static int
run_events(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return run_get("/v1/events");
}

static int
run_drain(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return fetch("POST", "/v1/drain", NULL) ? print_body() : 1;
}

static int
run_undrain(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return fetch("POST", "/v1/undrain", NULL) ? print_body() : 1;
}

/* Prints a new key pair for the traffic between nodes, as lines for their
   settings. */
static int
run_keys(int argc, char **argv)
{
    char public[41], secret[41];

    (void)argc;
    (void)argv;
    if (zmq_curve_keypair(public, secret) != 0) {
        return fail("%s", "this ZeroMQ lacks CURVE support");
    }
    printf("\"peer_public\": \"%s\",\n\"peer_secret\": \"%s\"\n", public,
           secret);
    return 0;
}

static const Command commands[] = {
    {"check", "FILE", "check a configuration document", run_check},
    {"publish", "FILE", "publish one (-r REASON)", run_publish},
    {"show", "", "print the document in force at a node", run_show},
    {"status", "", "print a node's state", run_status},
    {"history", "", "print the versions that were in force", run_history},
    {"members", "", "print the members that a node knows", run_members},
    {"events", "", "print a node's events", run_events},
    {"timeline", "ADDR..", "merge the events of nodes and log files",
     run_timeline},
    {"review", "ADDR..", "what was in force, what was refused and why",
     run_review},
    {"trace", "ID FILE..", "print what log files say of a request", run_trace},
    {"explain", "ID FILE..", "say what became of a request, and why",
     run_explain},
    {"where", "HOST PATH",
     "[WORKSPACE]: where a request would go now (-n METRICS)", run_where},
    {"keys", "", "make a pair of keys for the nodes' settings", run_keys},
    {"drain", "", "let a node's instance leave", run_drain},
    {"undrain", "", "let it take work again", run_undrain},
};

static int
usage(FILE *f, int status)
{
    size_t i;

    fprintf(f, "usage: spctl [options] COMMAND [FILE]\n"
               "  -n, --node ADDR      admin address of a node\n"
               "  -k, --token-file F   file with the token;"
               " else SP_TOKEN is used\n"
               "  -r, --reason TEXT    why, for the record\n"
               "  -v, --replaces N     the version that you have seen\n"
               "  -h, --help           print this\n"
               "  -V, --version        print the version\n");
    for (i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(f, "  %-8s %-9s %s\n", commands[i].name, commands[i].args,
                commands[i].help);
    }
    return status;
}

static void
handle_option(int c)
{
    int64_t v;

    switch (c) {
    case 'n':
        ctl.node = optarg;
        break;
    case 'k':
        ctl.token = g_strstrip(read_file(optarg));
        break;
    case 'r':
        ctl.reason = optarg;
        break;
    case 'v':
        if (!SpParse_Int(optarg, strlen(optarg), 0, 1 << 30, &v)) {
            exit(usage(stderr, 2));
        }
        ctl.replaces = (int)v;
        break;
    case 'h':
        exit(usage(stdout, 0));
    case 'V':
        printf("spctl %s\n", VERSION);
        exit(0);
    default:
        exit(usage(stderr, 2));
    }
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"node", required_argument, NULL, 'n'},
        {"token-file", required_argument, NULL, 'k'},
        {"reason", required_argument, NULL, 'r'},
        {"replaces", required_argument, NULL, 'v'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},
        {NULL, 0, NULL, 0}};
    SpWebOpts wo = {1 << 20, 65536, 60000, 10, 0};
    size_t i;
    int c;

    ctl.token = getenv("SP_TOKEN");
    argv[0] = "spctl"; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "n:k:r:v:hV", options, NULL)) != -1) {
        handle_option(c);
    }
    if (optind >= argc) {
        return usage(stderr, 2);
    }
    signal(SIGPIPE, SIG_IGN);
    ctl.loop = uv_default_loop();
    ctl.web = SpWeb_New(ctl.loop, &wo);
    SpWeb_Start(ctl.web);
    for (i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, argv[optind]) == 0) {
            return commands[i].run(argc - optind, argv + optind);
        }
    }
    fail("no command \"%s\"", argv[optind]);
    return usage(stderr, 2);
}
