/* Time, record and addresses of a case. */
#define _GNU_SOURCE
#include <dirent.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "world.h"
#include "world_priv.h"

/* A case never lasts longer. */
#define LIMIT_S 110

int world_trouble = 1;
char world_folder[512];
static FILE *record;
static struct timespec began;
static char ips[256][20]; /* written before any thread begins */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double
world_now(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)(t.tv_sec - began.tv_sec) +
           (double)(t.tv_nsec - began.tv_nsec) / 1e9;
}

int64_t
wall_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
world_sleep(double s)
{
    struct timespec t = {(time_t)s, (long)((s - (double)(time_t)s) * 1e9)};

    if (s > 0) {
        nanosleep(&t, NULL);
    }
}

void
world_wait_until(double at)
{
    world_sleep(at - world_now());
}

void
world_log(const char *fmt, ...)
{
    char line[4096];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(line, sizeof line, fmt, ap);
    va_end(ap);
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f %s\n", world_now(), line);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

const char *
world_ip(int node)
{
    return ips[node];
}

/* A net on which nobody uses the port of the store. */
static void
take_net(void)
{
    int i, k, a, b, fd;

    srand((unsigned)getpid() ^ (unsigned)time(NULL));
    for (i = 0; i < 100; i++) {
        a = 20 + rand() % 200;
        b = 1 + rand() % 250;
        for (k = 0; k < 256; k++) {
            snprintf(ips[k], sizeof ips[k], "127.%d.%d.%d", a, b, k);
        }
        fd = http_listen(world_ip(250), WORLD_PORT_STORE);
        if (fd >= 0) {
            close(fd);
            return;
        }
    }
    fprintf(stderr, "no free address\n");
    exit(CASE_UNUSABLE);
}

static void
on_limit(int signum)
{
    (void)signum;
    relay_kill_all();
    _exit(CASE_UNUSABLE);
}

void
world_begin(const char *folder)
{
    const char *trouble = getenv("TROUBLE");
    char path[600];

    clock_gettime(CLOCK_MONOTONIC, &began);
    world_trouble = !trouble || strcmp(trouble, "0") != 0;
    snprintf(path, sizeof path, "%s/record.txt", folder);
    record = fopen(path, "w");
    if (!record) {
        perror(path);
        exit(CASE_UNUSABLE);
    }
    strcpy(world_folder, "/tmp/review-XXXXXX");
    if (!mkdtemp(world_folder)) {
        perror("mkdtemp");
        exit(CASE_UNUSABLE);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_limit);
    signal(SIGTERM, on_limit);
    signal(SIGINT, on_limit);
    alarm(LIMIT_S);
    take_net();
    world_log("begins, disruption %s", world_trouble ? "on" : "off");
}

static void
remove_folder(void)
{
    DIR *d = opendir(world_folder);
    struct dirent *e;
    char path[1024];

    if (getenv("KEEP")) {
        fprintf(stderr, "kept: %s\n", world_folder);
        return;
    }
    while (d && (e = readdir(d)) != NULL) {
        snprintf(path, sizeof path, "%s/%s", world_folder, e->d_name);
        unlink(path);
    }
    if (d) {
        closedir(d);
    }
    rmdir(world_folder);
}

void
world_end(int code)
{
    static const char *const results[] = {"the rule held", "THE RULE IS BROKEN",
                                          "the case could not run"};

    relay_kill_all();
    world_log("result: %s", results[code]);
    printf("%s\n", results[code]);
    fflush(stdout);
    remove_folder();
    _exit(code);
}
