/* The relays: real processes, with the command of the deploy file. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world.h"
#include "world_priv.h"

#define PROGRAM "target/sprelay"
#define NODES 64

static pid_t pids[NODES];

pid_t
relay_pid(int node)
{
    return pids[node];
}

/* As platform/settings.json.tmpl renders the fields of a small deployment. */
static void
write_settings(const char *path, int node, const NodeOpts *o)
{
    FILE *f = fopen(path, "w");
    const char *ip = world_ip(node);

    if (!f) {
        world_log("cannot write %s", path);
        world_end(CASE_UNUSABLE);
    }
    fprintf(f,
            "{\n  \"name\": \"%s\",\n  \"zone\": \"%s\",\n"
            "  \"service\": \"%s\",\n  \"interface\": \"platform\",\n"
            "  \"instance\": \"%s:%d\",\n  \"outbound\": \"%s:%d\",\n"
            "  \"inbound\": \"%s:%d\",\n  \"reports\": \"%s:%d\",\n"
            "  \"ready\": \"%s:%d\",\n  \"link\": \"%s:%d\",\n"
            "  \"metrics\": \"%s:%d\",\n  \"store\": \"%s:%d\",\n",
            o->name, o->zone, o->service, ip, WORLD_PORT_APP, ip,
            WORLD_PORT_OUTBOUND, ip, WORLD_PORT_INBOUND, ip,
            WORLD_PORT_CONTROL, ip, WORLD_PORT_READY, ip, WORLD_PORT_LINK, ip,
            WORLD_PORT_METRICS, world_ip(250), WORLD_PORT_STORE);
    fprintf(f,
            "  \"report_s\": 1.5,\n  \"drain_s\": 2,\n  \"stop_s\": 6.0,\n"
            "  \"retry_ratio\": 0.2,\n  \"retry_slack\": 49,\n"
            "  \"retry_window_s\": 10,\n  \"memory_mb\": 260,\n"
            "  \"max_fds\": 4100,\n  \"first_start\": %s\n}\n",
            o->first_start ? "true" : "false");
    fclose(f);
}

static void
settings_path(char *path, size_t size, int node)
{
    snprintf(path, size, "%s/node-%d.json", world_folder, node);
}

void
relay_restart(int node)
{
    char path[600], out[600];
    pid_t pid;
    int fd;

    settings_path(path, sizeof path, node);
    snprintf(out, sizeof out, "%s/relay-%d.out", world_folder, node);
    pid = fork();
    if (pid == 0) {
        fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execl(PROGRAM, PROGRAM, "-c", path, (char *)NULL);
        _exit(127);
    }
    pids[node] = pid;
    world_log("node %d (%s): relay started, pid %d", node, world_ip(node),
              (int)pid);
}

void
relay_start(int node, const NodeOpts *o)
{
    char path[600];

    settings_path(path, sizeof path, node);
    write_settings(path, node, o);
    relay_restart(node);
}

void
relay_kill(int node, int signum)
{
    if (pids[node] <= 0) {
        return;
    }
    kill(pids[node], signum);
    waitpid(pids[node], NULL, 0);
    pids[node] = 0;
    world_log("node %d: relay ended by signal %d", node, signum);
}

void
relay_kill_all(void)
{
    int i;

    for (i = 0; i < NODES; i++) {
        if (pids[i] > 0) {
            kill(pids[i], SIGKILL);
            waitpid(pids[i], NULL, 0);
            pids[i] = 0;
        }
    }
}

int
relay_is_ready(int node)
{
    return http_call(world_ip(node), WORLD_PORT_READY,
                     "GET /ready HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n",
                     NULL, 1) == 200;
}

int
relay_wait_ready(int node, double timeout_s)
{
    double until = world_now() + timeout_s;

    while (world_now() < until) {
        if (relay_is_ready(node)) {
            return 1;
        }
        world_sleep(0.05);
    }
    return 0;
}

double
relay_metric(int node, const char *name)
{
    Message m;
    double sum = 0;
    char *line, *save = NULL;
    size_t n = strlen(name);

    if (http_call(world_ip(node), WORLD_PORT_METRICS,
                  "GET /metrics HTTP/1.1\r\nHost: x\r\n"
                  "Connection: close\r\n\r\n",
                  &m, 2) != 200) {
        return -1;
    }
    for (line = strtok_r(m.body, "\n", &save); line;
         line = strtok_r(NULL, "\n", &save)) {
        if (strncmp(line, name, n) == 0 && (line[n] == ' ' || line[n] == '{')) {
            sum += strtod(strrchr(line, ' '), NULL);
        }
    }
    message_free(&m);
    return sum;
}
