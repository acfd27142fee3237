/* sprelay: relay daemon of an upstream instance. */
#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "platform/platform.h"
#include "relay/relay.h"

#define VERSION "0.2.0"
/* Part of retry_ratio that one hop may use, because the retries of the hops of
   a call chain multiply. */
#define HOP_RATIO_SHARE 0.22
/* The same when nested calls name their parent request, so that calls caused
   by a retry are counted as retries. */
#define KNOWN_RATIO_SHARE 0.85
/* Part of retry_slack divided among the nodes; the rest is a reserve, because
   a node that does not know all others yet takes too large a part. */
#define SLACK_SHARE 0.5
/* Bodies of requests and answers may take one part in this many of memory_mb:
   a body can exist twice while it is passed on. */
#define BODY_SHARE 4
/* What is held for others in all may take this share of memory_mb. */
#define HELD_SHARE 0.75
/* Client connections that do nothing may take one part in this many of
   memory_mb. */
#define CONNECTIONS_SHARE 8
#define CONNECTION_BYTES 4096
/* Descriptors kept for the instance, the links, the store and files: one part
   in FDS_SHARE, and some more. */
#define FDS_SHARE 4
#define FDS_KEPT 16
#define MB 1048576.0
/* Buffers from this size on are mapped on their own. */
#define MAPPED_BYTES (1 << 20)
/* A connection to the instance that has been idle for longer is not reused: if
   it no longer responds, only a request that is lost on it would show that. */
#define INSTANCE_IDLE_US (2 * SP_SEC)
/* Interval of the check of the settings file for changes. */
#define FILE_CHECK_US (2 * SP_SEC)
/* Size of the log buffer, and limit of lines per second. */
#define LOG_BYTES ((size_t)256 << 10)
#define LOG_PER_S 100
/* Interval of the load lines in the log of a node that runs requests. */
#define LOAD_LOG_INTERVAL_US (1 * SP_SEC)
/* A longer time since the last tick means that the process was suspended or
   blocked. */
#define STALL_US (300 * SP_MS)
/* After this time since its start a node is ready even without links. */
#define READY_DELAY_US (1500 * SP_MS)

static const SpAdapter *const adapters[] = {&SpPlatform_Adapter};

Service *
service_of(Relay *n, const char *name)
{
    Service *s = g_hash_table_lookup(n->services, name);
    SpRetryOpts o = {0, 0, (int64_t)(n->settings.retry_window_s * SP_SEC)};

    if (!s) {
        s = g_new0(Service, 1);
        s->name = g_strdup(name);
        s->upstreams = g_ptr_array_new();
        SpRetryBudget_Init(&s->retries, &o);
        g_hash_table_insert(n->services, (gpointer)s->name, s);
    }
    return s;
}

static void
apply_limits(Relay *n)
{
    const SpRouteLimits *l = &n->routes->limits;
    SpHttpLimits h = {(size_t)l->header_bytes, (size_t)l->body_bytes,
                      l->header_us, l->idle_us};

    SpHttpServer_SetLimits(n->http, &h);
}

int
apply_config(Relay *n, const char *p, size_t len, const char *from)
{
    GError *err = NULL;
    SpRoutes *rs = n->adapter->read_config(p, len, &err);

    if (!rs) {
        SpLog(SP_LOG_WARN, "config-unusable", "from=%.128s why=\"%s\"", from,
              err->message);
        g_error_free(err);
        return 0;
    }
    if (n->routes && rs->version <= n->routes->version) {
        SpRoutes_Unref(rs);
        return 1;
    }
    SpLog(SP_LOG_INFO, "config",
          "version=%" PRIu64 " was=%" PRIu64 " from=%.128s routes=%u",
          rs->version, n->routes ? n->routes->version : 0, from,
          SpRoutes_Count(rs));
    SpRoutes_Unref(n->routes);
    n->routes = rs;
    n->longest_run_us = MAX(n->longest_run_us, rs->longest_us);
    SpAdmission_SetRanks(&n->admission, &rs->ranks);
    apply_limits(n);
    configure_quotas(n);
    broadcast_state(n);
    return 1;
}

int64_t
stall_us(const Relay *n)
{
    int64_t gap = SpHttp_Now() - n->last_tick;

    return gap > STALL_US ? gap : 0;
}

int
is_relay_ready(const Relay *n)
{
    int64_t age = SpHttp_Now() - n->started;

    if (n->stop.since || !n->routes) {
        return 0;
    }
    return count_links(n) > 0 || age > READY_DELAY_US;
}

/* The slack of the retry budget is shared by all nodes. */
static void
update_retry_budgets(Relay *n)
{
    double ratio = n->settings.retry_ratio *
                   (n->parents_known ? KNOWN_RATIO_SHARE : HOP_RATIO_SHARE);
    double slack = n->settings.retry_slack * SLACK_SHARE /
                   MAX(1, SpDirectory_Count(n->directory));
    GHashTableIter it;
    gpointer s;

    g_hash_table_iter_init(&it, n->services);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        SpRetryBudget_SetBounds(&((Service *)s)->retries, ratio, slack);
    }
}

/* Logs the state of the local instance if requests have run since the last
   time. */
static void
log_load(Relay *n, int64_t now)
{
    if (now - n->logged_at < LOAD_LOG_INTERVAL_US ||
        n->counters.jobs == n->logged_jobs) {
        return;
    }
    SpLog(SP_LOG_INFO, "load",
          "running=%d queued=%d limit=%.0f run_ms=%.1f room=%.1f "
          "shares=%016" PRIx64 " jobs=%" PRIu64 " refused=%" PRIu64
          " retries=%" PRIu64 " opened=%" PRIu64,
          n->limiter.running, n->limiter.queued, n->limiter.limit,
          n->limiter.run_us / SP_MS, n->admission.local.capacity,
          SpShares_Pack(&n->admission.shares),
          n->counters.jobs - n->logged_jobs, n->counters.jobs_refused,
          n->counters.retries, SpPool_Counts(n->pool).opened);
    n->logged_at = now;
    n->logged_jobs = n->counters.jobs;
}

/*
 * Applies the bounds in the settings file to the running process. Changes of
 * names and addresses take effect at the next start. An invalid file changes
 * nothing.
 */
static void
reload(Relay *n, const char *why)
{
    SpProblems *ps = SpProblems_New();
    SpRelaySettings s;
    guint i;

    if (!SpRelaySettings_Load(n->file, &s, ps)) {
        for (i = 0; i < SpProblems_Count(ps); i++) {
            SpLog(SP_LOG_ERROR, "reload-refused",
                  "why=%s place=%s text=\"%s\"", why,
                  SpProblems_At(ps, i)->place, SpProblems_At(ps, i)->text);
        }
        SpProblems_Free(ps);
        SpRelaySettings_Clear(&s);
        return;
    }
    SpProblems_Free(ps);
    SpRelaySettings_Clear(&s);
    n->settings.report_s = s.report_s;
    n->settings.drain_s = s.drain_s;
    n->settings.stop_s = s.stop_s;
    n->settings.retry_ratio = s.retry_ratio;
    n->settings.retry_slack = s.retry_slack;
    SpLog(SP_LOG_INFO, "reload",
          "why=%s drain_s=%g stop_s=%g retry_ratio=%g retry_slack=%g", why,
          s.drain_s, s.stop_s, s.retry_ratio, s.retry_slack);
}

/* Reloads the settings file when its modification time changes. */
static void
tick_reload(Relay *n, int64_t now)
{
    struct stat st;
    int64_t at;

    if (now - n->file_checked_at < FILE_CHECK_US || stat(n->file, &st) != 0) {
        return;
    }
    n->file_checked_at = now;
    at = (int64_t)st.st_mtim.tv_sec * SP_SEC + st.st_mtim.tv_nsec / 1000;
    if (n->file_mtime && at != n->file_mtime) {
        reload(n, "file");
    }
    n->file_mtime = at;
}

/* Returns 1 if the process stood still before this tick. Time limits are then
   judged at the next one, after the sockets have been read: what arrived
   meanwhile is in time. */
static int
has_just_woken(Relay *n, int64_t now)
{
    int64_t stall = stall_us(n);
    int again = n->last_tick == n->woke_at;

    n->last_tick = now;
    if (!stall) {
        return 0;
    }
    SpLog(SP_LOG_WARN, "stood-still", "ms=%" PRId64, stall / SP_MS);
    n->woke_at = now;
    return !again;
}

static void
on_tick(uv_timer_t *t)
{
    Relay *n = t->data;
    int64_t now = SpHttp_Now();

    if (has_just_woken(n, now)) {
        return;
    }
    update_retry_budgets(n);
    tick_store(n, now);
    tick_check(n, now);
    tick_instance(n, now);
    tick_calls(n, now);
    expire_past_runs(n->past_runs, now);
    tick_fair(n, now);
    tick_links(n, now);
    tick_quotas(n, now);
    SpHttpServer_Tick(n->http, now);
    log_load(n, now);
    tick_reload(n, now);
    SpLog_Flush(now);
    tick_stop(n, now);
}

static void
on_prepare(uv_prepare_t *p)
{
    flush_links(p->data);
}

static void
on_signal(uv_signal_t *s, int signum)
{
    begin_stop(s->data, signum);
}

static void
on_hup(uv_signal_t *s, int signum)
{
    (void)signum;
    reload(s->data, "signal");
}

static int64_t
wall_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * SP_SEC + t.tv_nsec / 1000;
}

static uint64_t
random_u64(void)
{
    uint64_t v;

    if (getrandom(&v, sizeof v, 0) != (ssize_t)sizeof v) {
        v = uv_hrtime();
    }
    return v;
}

static void
start_signal(Relay *n, uv_signal_t *s, int signum, uv_signal_cb cb)
{
    uv_signal_init(n->loop, s);
    s->data = n;
    uv_signal_start(s, cb, signum);
}

static void
init_self(Relay *n)
{
    SpUpstream *u = &n->self;
    SpNodeInfo m = {.started_us = n->incarnation};

    m.name = n->settings.name;
    m.zone = n->settings.zone;
    m.service = n->settings.service;
    g_strlcpy(m.addr, n->settings.link, sizeof m.addr);
    SpDirectory_Put(n->directory, &m, n->started);
    u->name = n->settings.name;
    u->same_zone = 1;
    g_ptr_array_add(service_of(n, n->settings.service)->upstreams, u);
}

/* The limit of the connections of clients. */
static int
max_clients(const Relay *n)
{
    double most =
        n->settings.memory_mb * MB / CONNECTIONS_SHARE / CONNECTION_BYTES;
    struct rlimit r;
    double fds = n->settings.max_fds;

    if (getrlimit(RLIMIT_NOFILE, &r) == 0 && r.rlim_cur != RLIM_INFINITY &&
        (fds == 0 || (double)r.rlim_cur < fds)) {
        fds = (double)r.rlim_cur;
    }
    fds -= fds / FDS_SHARE + FDS_KEPT;
    return (int)MAX(MIN(fds, most), 1);
}

static void
limit_memory(Relay *n)
{
    size_t all = (size_t)(n->settings.memory_mb * MB);
    size_t part = all / BODY_SHARE;

    n->held.limit = (size_t)(HELD_SHARE * (double)all);
    n->body_memory = (SpBodyMemory){part, 0, &n->held, SP_HELD_BODIES};
    n->job_memory = (SpBodyMemory){part, 0, &n->held, SP_HELD_COPIES};
    n->answer_memory = (SpBodyMemory){part, 0, &n->held, SP_HELD_ANSWERS};
    n->frame_memory = (SpBodyMemory){part, 0, &n->held, SP_HELD_FRAMES};
    n->link_memory = (SpBodyMemory){part / 2, 0, &n->held, SP_HELD_FRAMES};
    n->reply_memory = (SpBodyMemory){part / 2, 0, &n->held, SP_HELD_FRAMES};
}

static int
start_relay(Relay *n, GError **err)
{
    static const SpHttpLimits limits = {16384, 64 << 20, 5 * SP_SEC,
                                        60 * SP_SEC};
    SpHttpOpts ho = {&n->body_memory, &n->answer_memory, max_clients(n)};
    SpPoolOpts po = {.connect_us = 1 * SP_SEC,
                     .idle_us = INSTANCE_IDLE_US,
                     .body_bytes = 64 << 20,
                     .memory = &n->body_memory};

    n->started = n->last_tick = SpHttp_Now();
    n->incarnation = (uint64_t)wall_us();
    n->directory = SpDirectory_New();
    n->rand = random_u64();
    n->inst.id = g_strdup("");
    n->services = g_hash_table_new(g_str_hash, g_str_equal);
    n->metrics = Metrics_New();
    n->paths = SpPaths_New();
    n->fair = SpFairShare_New();
    open_quotas(n);
    g_queue_init(&n->jobs);
    g_queue_init(&n->calls);
    n->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    n->past_runs = new_past_runs();
    SpLimiter_Init(&n->limiter);
    n->learns = strcmp(n->settings.capacity, "learned") == 0;
    SpAdmission_Init(&n->admission);
    limit_memory(n);
    n->http = SpHttpServer_New(n->loop, &limits, &ho);
    n->held.make_room = SpHttpServer_MakeRoom;
    n->held.ctx = n->http;
    g_strlcpy(po.addr, n->settings.instance, sizeof po.addr);
    n->pool = SpPool_New(n->loop, &po);
    init_self(n);
    if (!open_links(n, err) || !open_store(n, err) ||
        !listen_callers(n, err) || !listen_reports(n, err) ||
        !listen_metrics(n, err)) {
        return 0;
    }
    uv_timer_init(n->loop, &n->tick);
    n->tick.data = n;
    uv_timer_start(&n->tick, on_tick, 1, SP_RELAY_TICK_US / SP_MS);
    uv_prepare_init(n->loop, &n->prepare);
    n->prepare.data = n;
    uv_prepare_start(&n->prepare, on_prepare);
    start_signal(n, &n->term, SIGTERM, on_signal);
    start_signal(n, &n->intr, SIGINT, on_signal);
    start_signal(n, &n->hup, SIGHUP, on_hup);
    return 1;
}

static const SpAdapter *
find_adapter(const char *name)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(adapters); i++) {
        if (strcmp(adapters[i]->name, name) == 0) {
            return adapters[i];
        }
    }
    return NULL;
}

static int
load_settings(Relay *n, const char *file)
{
    SpProblems *ps = SpProblems_New();
    int ok = SpRelaySettings_Load(file, &n->settings, ps);

    n->adapter = ok ? find_adapter(n->settings.interface) : NULL;
    if (ok && !n->adapter) {
        SpProblems_Add(ps, "interface", "no interface has this name");
    }
    SpProblems_Print(ps, "sprelay", file, stderr);
    SpProblems_Free(ps);
    return ok && n->adapter;
}

int
main(int argc, char **argv)
{
    static const SpProgram program = {"sprelay", VERSION};
    static Relay n;
    SpOptions o;
    SpLevel level = SP_LOG_INFO;
    GError *err = NULL;
    int status = SpOptions_Read(&program, argc, argv, &o);

    if (status >= 0) {
        return status;
    }
    n.file = o.file;
    if (!load_settings(&n, o.file)) {
        return 2;
    }
    if (o.test) {
        printf("sprelay: %s: settings are correct\n", o.file);
        return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    /* a large buffer goes back to the system when it is freed */
    (void)mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
    SpLevel_Parse(n.settings.log_level,
                  &level); /* the settings were checked */
    SpLog_Init("sprelay", n.settings.name, level, stdout, wall_us);
    SpLog_UseBuffer(STDOUT_FILENO, LOG_BYTES, LOG_PER_S);
    n.loop = uv_default_loop();
    if (!start_relay(&n, &err)) {
        fprintf(stderr, "sprelay: %s\n", err->message);
        return 1;
    }
    SpLog_Flush(SpHttp_Now());
    SpLog(SP_LOG_INFO, "started",
          "zone=%.128s service=%.128s outbound=%s link=%s", n.settings.zone,
          n.settings.service, n.settings.outbound, n.settings.link);
    uv_run(n.loop, UV_RUN_DEFAULT);
    return 0;
}
