/*
 * target: an application target of the platform, for the review. It runs SLOTS
 * requests at a time and queues QUEUE more, answers 503 "not executed" beyond
 * that, 421 to a request for another instance, and 504 at the time budget. It
 * drops a request whose connection closes. It echoes the attempt id in every
 * answer. A heartbeat goes to the control address every 1.5 s.
 *
 * The path says what the request costs: /w-MS/ work in ms, /k-KB/ size of the
 * answer in KB, /n-1/ one call of its own after the work, GET /leaf/, through the
 * node beside it, which costs /m-MS/. Faults: see usage.
 */
#include "net.h"

#define HEARTBEAT_MS 1500

static struct {
    const char *addr, *id, *service, *zone, *control, *faults, *outbound;
    int slots, queue;
    double shed;  /* share of the requests that it turns away */
    double extra; /* share of the answers that it sends once more, late */
    double hang;  /* share of the requests that get no answer */
    long long born_ms;
    FILE *out;
    int running, waiting;
    pthread_mutex_t lock;
    pthread_cond_t freed;
    unsigned seed;
    volatile sig_atomic_t end;
} t = {.slots = 8,
       .queue = 8,
       .zone = "z1",
       .lock = PTHREAD_MUTEX_INITIALIZER,
       .freed = PTHREAD_COND_INITIALIZER,
       .seed = 1};

static int
usage(void)
{
    fprintf(
        stderr,
        "target -l ADDR -i ID -s SERVICE -c CONTROL -o RECORD [-z ZONE]\n"
        " [-n SLOTS] [-q QUEUE] [-r SEED] [-O OUTBOUND]\n"
        "While FOLDER/NAME exists (-f FOLDER):\n"
        " [-S SHARE]  shed: it turns away that share of the requests\n"
        " [-X SHARE]  extra: it sends that share of its answers a second\n"
        "             time, where the next answer on the connection is due\n"
        " [-H SHARE]  hang: that share of the requests gets no answer\n");
    return 2;
}

/* 1 if the fault of that name is on and strikes now. */
static int
happens(const char *fault, double share)
{
    char path[512];
    int r;

    if (share <= 0 || !t.faults) {
        return 0;
    }
    snprintf(path, sizeof path, "%s/%s", t.faults, fault);
    if (access(path, F_OK) != 0) {
        return 0;
    }

    pthread_mutex_lock(&t.lock);
    r = rand_r(&t.seed) < share * RAND_MAX;
    pthread_mutex_unlock(&t.lock);
    return r;
}

static long
path_number(const char *path, const char *name)
{
    const char *s = strstr(path, name);

    return s ? strtol(s + strlen(name), NULL, 10) : 0;
}

/* Waits for a slot; returns 0 if the queue is full too. */
static int
take_slot(void)
{
    int ok = 1;

    pthread_mutex_lock(&t.lock);
    if (t.running >= t.slots && t.waiting >= t.queue) {
        ok = 0;
    }
    else {
        t.waiting++;
        while (t.running >= t.slots) {
            pthread_cond_wait(&t.freed, &t.lock);
        }
        t.waiting--;
        t.running++;
    }
    pthread_mutex_unlock(&t.lock);
    return ok;
}

static void
free_slot(void)
{
    pthread_mutex_lock(&t.lock);
    t.running--;
    pthread_cond_signal(&t.freed);
    pthread_mutex_unlock(&t.lock);
}

/* Works for that long; returns 0 if the connection closed meanwhile. */
static int
work(int fd, int64_t ms)
{
    struct pollfd p = {.fd = fd, .events = POLLRDHUP};
    int64_t end = now_ms() + ms, left;

    while ((left = end - now_ms()) > 0) {
        if (poll(&p, 1, (int)left) > 0) {
            return 0;
        }
    }
    return 1;
}

/* An answer in memory; kb is the size of its body. */
static char *
make_answer(const Reader *r, int status, const char *lines, long kb, size_t *n)
{
    size_t body = kb ? (size_t)kb * 1024 : strlen(r->id) + 1, i;
    char *s = malloc(1024 + body);
    int head;

    head = snprintf(s, 1024,
                    "HTTP/1.1 %d x\r\nSiskinpond-Attempt-Id: %s\r\n"
                    "%sContent-Length: %zu\r\n\r\n",
                    status, r->id, lines, body);
    for (i = 0; i < body; i++) {
        s[head + (int)i] = r->id[i % (strlen(r->id) + 1)];
        if (!s[head + (int)i]) {
            s[head + (int)i] = '\n';
        }
    }
    *n = (size_t)head + body;
    return s;
}

/* Makes a call on behalf of the request; returns 0 if it fails. */
static int
call_leaf(const Reader *parent, long left_ms)
{
    Reader *r = calloc(1, sizeof *r);
    char s[1024];
    int n, ok;

    n = snprintf(s, sizeof s,
                 "GET /leaf/w-%ld/%s HTTP/1.1\r\nHost: h.example\r\n"
                 "Siskinpond-Attempt-Id: %s.1\r\n"
                 "Siskinpond-Deadline-Ms: %ld\r\nConnection: close\r\n\r\n",
                 path_number(parent->path, "/m-"), parent->id, parent->id,
                 left_ms);
    r->time_out_at = now_ms() + left_ms;
    r->fd = dial(t.outbound, 0);
    record(t.out, "calls %s.1 from %s", parent->id, t.id);
    ok = r->fd >= 0 && send_all(r->fd, s, (size_t)n) && read_head(r) &&
         r->status == 200 && skip_body(r, 0) == r->body_len;
    record(t.out, "called %s.1 from %s: %s", parent->id, t.id,
           ok          ? "200"
           : r->status ? "refused or failed"
           : now_ms() >= r->time_out_at ? "no answer in time"
                                        : "cut off");
    if (r->fd >= 0) {
        close(r->fd);
    }
    free(r);
    return ok;
}

/* Runs the request and makes its answer; NULL: the connection closed. */
static char *
run(const Reader *r, size_t *n)
{
    long ms = path_number(r->path, "/w-"), kb = path_number(r->path, "/k-");
    char lines[400];
    int whole;

    record(t.out, "run %s at %s", r->id, t.id);
    if (happens("hang", t.hang)) {
        record(t.out, "hangs %s at %s", r->id, t.id);
        work(r->fd, 60000);
        return NULL;
    }
    whole = r->deadline_ms <= 0 || ms < r->deadline_ms;
    if (!work(r->fd, whole ? ms : r->deadline_ms)) {
        record(t.out, "dropped %s at %s", r->id, t.id);
        return NULL;
    }
    snprintf(lines, sizeof lines, "Siskinpond-Response-Signature: sig.%s\r\n",
             r->id);
    if (whole && t.outbound && path_number(r->path, "/n-") &&
        !call_leaf(r, r->deadline_ms - ms)) {
        record(t.out, "failed %s at %s", r->id, t.id);
        return make_answer(r, 500, lines, 0, n);
    }
    record(t.out, "ran %s at %s", r->id, t.id);
    return make_answer(r, whole ? 200 : 504, lines, whole ? kb : 0, n);
}

static char *
respond(const Reader *r, size_t *n)
{
    static const char not_run[] = "Siskinpond-Not-Executed: 1\r\n";
    char *s;

    if (r->expect[0] && strcmp(r->expect, t.id) != 0) {
        return make_answer(r, 421, "", 0, n);
    }
    if (happens("shed", t.shed) || !take_slot()) {
        record(t.out, "rejected %s at %s", r->id, t.id);
        return make_answer(r, 503, not_run, 0, n);
    }
    s = run(r, n);
    free_slot();
    return s;
}

static char *
respond_health(size_t *n)
{
    char *s = malloc(256);

    *n = (size_t)snprintf(s, 256,
                          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                          "Siskinpond-Instance-Id: %s\r\n\r\n",
                          t.id);
    return s;
}

static void *
serve(void *arg)
{
    Reader *r = arg;
    char *late = NULL; /* to be sent where the next answer is due */
    size_t late_n = 0;

    while (read_head(r)) {
        size_t n = 0, need = r->body_len;
        char *s;
        if (skip_body(r, 0) < need) {
            break;
        }
        if (late) {
            send_all(r->fd, late, late_n);
            free(late);
            late = NULL;
        }
        s = strcmp(r->path, "/health") == 0 ? respond_health(&n)
                                            : respond(r, &n);
        if (!s || !send_all(r->fd, s, n)) {
            free(s);
            break;
        }
        if (happens("extra", t.extra)) {
            record(t.out, "twice %s at %s", r->id, t.id);
            late = s;
            late_n = n;
        }
        else {
            free(s);
        }
    }
    free(late);
    close(r->fd);
    free(r);
    return NULL;
}

/* Sends one report; the answer is not looked at. */
static void
report(int seq)
{
    char body[512], head[256];
    static Reader r;
    int n, k, fd = dial(t.control, 0);

    if (fd < 0) {
        return;
    }
    n = snprintf(body, sizeof body,
                 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
                 "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
                 "\"status\":{\"state\":\"ready\",\"seq\":%d,"
                 "\"warmup_left_s\":0}}",
                 t.addr, t.born_ms, t.service, t.zone, t.slots, seq);
    k = snprintf(head, sizeof head,
                 "POST /Instances.Heartbeat/%s HTTP/1.1\r\nHost: %s\r\n"
                 "Content-Type: application/json\r\nConnection: close\r\n"
                 "Content-Length: %d\r\n\r\n",
                 t.id, t.control, n);
    r.fd = fd;
    r.len = 0;
    r.time_out_at = now_ms() + 1000;
    if (send_all(fd, head, (size_t)k) && send_all(fd, body, (size_t)n) &&
        read_head(&r)) {
        skip_body(&r, 0);
    }
    close(fd);
}

static void *
send_reports(void *arg)
{
    int seq;

    (void)arg;
    for (seq = 1;; seq++) {
        report(seq);
        sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

static int
read_options(int argc, char **argv)
{
    int c;

    while ((c = getopt(argc, argv, "l:i:s:z:c:o:n:q:r:S:X:H:f:O:")) != -1) {
        switch (c) {
        case 'l': t.addr = optarg; break;
        case 'i': t.id = optarg; break;
        case 's': t.service = optarg; break;
        case 'z': t.zone = optarg; break;
        case 'c': t.control = optarg; break;
        case 'o': t.out = fopen(optarg, "a"); break;
        case 'n': t.slots = atoi(optarg); break;
        case 'q': t.queue = atoi(optarg); break;
        case 'r': t.seed = (unsigned)atoi(optarg); break;
        case 'S': t.shed = atof(optarg); break;
        case 'X': t.extra = atof(optarg); break;
        case 'H': t.hang = atof(optarg); break;
        case 'f': t.faults = optarg; break;
        case 'O': t.outbound = optarg; break;
        default: return 0;
        }
    }
    return t.addr && t.id && t.service && t.control && t.out;
}

int
main(int argc, char **argv)
{
    pthread_attr_t small;
    pthread_t th;
    struct timespec now;
    int fd;

    if (!read_options(argc, argv)) {
        return usage();
    }
    signal(SIGPIPE, SIG_IGN);
    clock_gettime(CLOCK_REALTIME, &now);
    t.born_ms = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    fd = listen_on(t.addr);
    pthread_attr_init(&small);
    pthread_attr_setstacksize(&small, 256 * 1024);
    pthread_attr_setdetachstate(&small, PTHREAD_CREATE_DETACHED);
    pthread_create(&th, &small, send_reports, NULL);
    for (;;) {
        int one = 1, conn = accept(fd, NULL, NULL);
        Reader *r;
        if (conn < 0) {
            continue;
        }
        setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        r = calloc(1, sizeof *r);
        r->fd = conn;
        pthread_create(&th, &small, serve, r);
    }
}
