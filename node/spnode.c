/* spnode: the node daemon. One runs beside each upstream instance. */
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "node/fns.h"

#define VERSION "0.1.0"
/* Longest graceful stop while there is no configuration to set one. */
#define DEFAULT_STOP_MS 15000
/* Buffers from this size on are mapped on their own. */
#define MAPPED_BYTES (128 << 10)
/* Requests that are being read may take one part in this many of memory_mb. */
#define REQUESTS_SHARE 4
/* A drained node exits no earlier than this after it announced the stop, so
   that other nodes learn of it before the listeners close. */
#define NOTICE_US (1500 * SP_MS)

static void
on_event(void *ctx, const SpEvent *e)
{
    (void)ctx;
    SpLog(SP_LOG_INFO, e->kind, "hlc=%" PRIu64 ".%u %s", e->hlc >> 16,
          (unsigned)(e->hlc & 0xffff), e->text);
}

static const SpCoreOps core_ops = {
    .run = run_call,
    .send = send_call,
    .cancel = cancel_call,
    .answer = answer_call,
    .done = free_call,
    .peer = send_peer,
    .append = append_log,
    .read = read_log,
    .event = on_event,
};

static void
finish(Node *n, const char *how)
{
    SpLog(SP_LOG_INFO, "stopped", "how=%s requests=%zu ms=%" PRId64, how,
          SpCore_Requests(n->core),
          n->stop_at ? (SpClock_Now() - n->stop_at) / SP_MS : 0);
    fflush(NULL);
    uv_stop(n->loop);
}

static int64_t
max_stop_us(const Node *n)
{
    const SpDoc *d = SpCore_Doc(n->core);

    if (n->set.stop_ms) {
        return n->set.stop_ms * SP_MS;
    }
    return (d ? d->limits.stop_ms : DEFAULT_STOP_MS) * SP_MS;
}

static void
check_stop(Node *n, int64_t now)
{
    if (!n->stop_at) {
        return;
    }
    if (SpCore_Idle(n->core) && now - n->stop_at > NOTICE_US) {
        finish(n, "drained");
    }
    else if (now - n->stop_at > max_stop_us(n)) {
        finish(n, "bound");
    }
}

static void
on_tick(uv_timer_t *t)
{
    Node *n = t->data;
    int64_t now = SpClock_Now();

    poll_peers(n->peers);
    SpCore_Tick(n->core, now);
    check_stop(n, now);
}

static void
on_signal(uv_signal_t *s, int signum)
{
    Node *n = s->data;

    if (n->stop_at) {
        finish(n, "second-signal");
        return;
    }
    n->stop_at = SpClock_Now();
    SpLog(SP_LOG_INFO, "stopping",
          "signal=%d bound_ms=%" PRId64 " requests=%zu", signum,
          max_stop_us(n) / SP_MS, SpCore_Requests(n->core));
    SpCore_Leave(n->core, n->stop_at);
}

static uint64_t
random_u64(void)
{
    uint64_t v;

    if (getrandom(&v, sizeof v, 0) != (ssize_t)sizeof v) {
        v = (uint64_t)SpClock_Wall() ^ uv_hrtime();
    }
    return v;
}

static SpCore *
make_core(Node *n)
{
    const SpNodeSettings *s = &n->set;
    SpCoreOpts o = {.ncontacts = s->ncontacts,
                    .seed = random_u64(),
                    .slots = s->slots,
                    .ops = &core_ops,
                    .ctx = n};
    int64_t wall = SpClock_Wall();

    g_strlcpy(o.name, s->name, sizeof o.name);
    g_strlcpy(o.zone, s->zone, sizeof o.zone);
    g_strlcpy(o.service, s->service, sizeof o.service);
    g_strlcpy(o.mesh, s->mesh, sizeof o.mesh);
    g_strlcpy(o.peer, s->peer, sizeof o.peer);
    memcpy(o.contacts, s->contacts, sizeof o.contacts);
    o.wall_offset = wall - SpClock_Now();
    /* milliseconds since the epoch in the high bits; the random low bits
       keep it unique if the clock is set back */
    o.inc = (uint64_t)(wall / 1000) << 16 | (random_u64() & 0xffff);
    return SpCore_New(&o, SpClock_Now());
}

static int
start_node(Node *n, GError **err)
{
    SpWebOpts wo = {SP_DOC_BYTES * 2, (size_t)n->set.header_bytes,
                    n->set.idle_ms, n->set.max_connections,
                    ((size_t)n->set.memory_mb << 20) / REQUESTS_SHARE};

    n->web = SpWeb_New(n->loop, &wo);
    n->core = make_core(n);
    g_snprintf(n->form_secret, sizeof n->form_secret,
               "%016" PRIx64 "%016" PRIx64, random_u64(), random_u64());
    if (!listen_calls(n, err) || !listen_admin(n, err)) {
        return 0;
    }
    n->peers = open_peers(n, err);
    if (!n->peers) {
        return 0;
    }
    SpWeb_Start(n->web);
    uv_timer_init(n->loop, &n->tick);
    n->tick.data = n;
    uv_timer_start(&n->tick, on_tick, 1, SP_CORE_TICK_US / SP_MS);
    uv_signal_init(n->loop, &n->term);
    uv_signal_init(n->loop, &n->intr);
    n->term.data = n->intr.data = n;
    uv_signal_start(&n->term, on_signal, SIGTERM);
    uv_signal_start(&n->intr, on_signal, SIGINT);
    return 1;
}

static int
load_settings(Node *n, const char *file)
{
    SpProblems *ps = SpProblems_New();
    int ok = SpNodeSettings_Load(file, &n->set, ps);

    SpProblems_Print(ps, "spnode", file, stderr);
    SpProblems_Free(ps);
    return ok;
}

int
main(int argc, char **argv)
{
    static const SpProgram program = {"spnode", VERSION};
    static Node n;
    SpOptions o;
    SpLevel level = SP_LOG_INFO;
    GError *err = NULL;
    int status = SpOptions_Read(&program, argc, argv, &o);

    if (status >= 0) {
        return status;
    }
    if (!load_settings(&n, o.file)) {
        return 2;
    }
    if (o.test) {
        printf("spnode: %s: settings are correct\n", o.file);
        return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    /* a large buffer goes back to the system when it is freed */
    (void)mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
    setvbuf(stderr, NULL, _IOLBF, 0);
    SpLevel_Parse(n.set.log_level, &level); /* validated by load_settings */
    SpLog_Init("spnode", n.set.name, level, stderr, SpClock_Wall);
    n.loop = uv_default_loop();
    if (!start_node(&n, &err)) {
        fprintf(stderr, "spnode: %s\n", err->message);
        return 1;
    }
    SpLog(SP_LOG_INFO, "started", "zone=%s service=%s inbound=%s mesh=%s",
          n.set.zone, n.set.service, n.set.inbound, n.set.mesh);
    uv_run(n.loop, UV_RUN_DEFAULT);
    return 0;
}
