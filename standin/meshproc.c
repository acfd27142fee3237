/* Relays and the store as processes of spmesh. */
#include <fcntl.h>
#include <signal.h>
#include <string.h>

#include "standin/mesh.h"

static int
spawn(Mesh *m, uv_process_t *proc, const char *name, char **args,
      uv_exit_cb on_exit)
{
    char *file = g_strdup_printf("%s/%s.log", m->o.dir, name);
    int fd = open(file, O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644), e;
    uv_stdio_container_t io[3];
    uv_process_options_t o;

    memset(&o, 0, sizeof o);
    io[0].flags = UV_IGNORE;
    io[1].flags = io[2].flags = UV_INHERIT_FD;
    io[1].data.fd = io[2].data.fd = fd;
    o.file = args[0];
    o.args = args;
    o.stdio = io;
    o.stdio_count = 3;
    o.exit_cb = on_exit;
    e = uv_spawn(m->loop, proc, &o);
    close(fd);
    g_free(file);
    if (e != 0) {
        fprintf(stderr, "spmesh: cannot start %s: %s\n", args[0],
                uv_strerror(e));
    }
    return e == 0;
}

static void
on_store_exit(uv_process_t *p, int64_t status, int signum)
{
    (void)p;
    (void)status;
    (void)signum;
}

int
start_store(Mesh *m)
{
    char *args[] = {(char *)m->o.store, "-l", m->store_addr, NULL};

    return spawn(m, &m->store_proc, "store", args, on_store_exit);
}

static void
on_relay_exit(uv_process_t *p, int64_t status, int signum)
{
    Node *n = p->data;

    n->running = 0;
    if (!n->ends) {
        record_note(n->m, "ended by itself: %s status %" PRId64 " signal %d",
                    n->name, status, signum);
        n->m->own_ends++;
    }
    uv_close((uv_handle_t *)p, NULL);
}

int
start_relay(Node *n)
{
    GError *err = NULL;
    char *file = write_settings(n, &err);
    char *args[] = {(char *)n->m->o.relay, "-c", file, NULL};

    if (!file) {
        fprintf(stderr, "spmesh: %s\n", err->message);
        return 0;
    }
    n->ends = n->frozen = 0;
    n->signaled_at = SpHttp_Now();
    n->running = spawn(n->m, &n->proc, n->name, args, on_relay_exit);
    n->proc.data = n;
    g_free(file);
    return n->running;
}

void
signal_relay(Node *n, int signum)
{
    if (!n->running) {
        return;
    }
    n->signaled_at = SpHttp_Now();
    n->frozen = signum == SIGSTOP;
    n->ends |= signum == SIGKILL || signum == SIGTERM;
    uv_process_kill(&n->proc, signum);
}

void
end_all(Mesh *m)
{
    guint i;

    for (i = 0; i < m->nodes->len; i++) {
        signal_relay(g_ptr_array_index(m->nodes, i), SIGKILL);
    }
    uv_process_kill(&m->store_proc, SIGKILL);
}
