/*
 * The clients of the server: which of them are closed when what was read of
 * requests holds too much memory, or their connections too many descriptors.
 *
 * h2o reads whole requests into a buffer of each connection. They are looked
 * at between the turns of the loop. A client is closed by shutting down its
 * socket, which h2o takes for a close by the client.
 */
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "flow/eviction.h"
#include "web/priv.h"

#define LOOK_US (1 * SP_MS)
/* Descriptors kept for the instance, the other nodes and the log: one part in
   FDS_SHARE, and some more. */
#define FDS_SHARE 4
#define FDS_KEPT 32
/* Clients that are closed at a time for their descriptors. */
#define MAX_ENDING 8
/* With nobody late, the newest request above this size is given up. */
#define SMALL_BYTES ((size_t)64 << 10)

void
watch_client(Client *c, h2o_socket_t *sock)
{
    c->sock = sock;
    c->began = c->moved_at = SpClock_Now();
    g_ptr_array_add(c->l->web->clients, c);
}

void
forget_client(Client *c)
{
    SpWeb *w = c->l->web;

    if (c->sock) {
        g_ptr_array_remove_fast(w->clients, c);
        w->nending -= c->ending;
    }
}

/* Returns 1 if h2o has the connection open. */
static int
is_open(const Client *c)
{
    return !c->ending && !uv_is_closing((const uv_handle_t *)&c->tcp) &&
           c->sock->input;
}

static size_t
held_for(const Client *c)
{
    return c->sock->input->size ? c->sock->input->capacity : 0;
}

static void
end_client(Client *c, const char *why)
{
    uv_os_fd_t fd;

    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0) {
        (void)shutdown(fd, SHUT_RDWR);
    }
    c->ending = 1;
    c->l->web->nending++;
    SpLog(SP_LOG_INFO, "client-closed", "why=%s bytes=%zu still_ms=%" PRId64,
          why, held_for(c), (SpClock_Now() - c->moved_at) / SP_MS);
}

static int
is_head_too_large(Client *c)
{
    size_t n = c->sock->input->size, limit = c->l->web->o.header_bytes;

    if (c->head_ended || n <= limit) {
        return 0;
    }
    c->head_ended = memmem(c->sock->input->bytes, n, "\r\n\r\n", 4) != NULL;
    return !c->head_ended;
}

/* Notes what has been read since the last look. */
static void
look_at(Client *c, int64_t now)
{
    if (c->sock->bytes_read != c->seen) {
        if (c->moved_at == c->began || !c->sock->input->size) {
            c->before = c->seen;
        }
        c->seen = c->sock->bytes_read;
        c->moved_at = now;
    }
    if (!c->sock->input->size) {
        c->began = now;
        c->before = c->seen;
        c->head_ended = 0;
    }
}

static SpHolder
holder_of(Client *c)
{
    SpHolder h = {.step = SP_HOLDER_SENDING,
                  .bytes = held_for(c),
                  .moved = c->seen - c->before,
                  .began = c->began,
                  .moved_at = c->moved_at,
                  .user = c};

    if (g_hash_table_contains(c->l->web->req_by_sock, c->sock) ||
        c->sock->_cb.write) {
        h.step = SP_HOLDER_WAITING;
    }
    else if (!h.bytes) {
        h.step = c->seen ? SP_HOLDER_IDLE : SP_HOLDER_SILENT;
        h.began = h.moved_at;
    }
    return h;
}

static Client *
choose(const SpWeb *w, SpNeed need)
{
    SpEviction e;
    guint i;

    SpEviction_Begin(&e, need, SpClock_Now());
    for (i = 0; i < w->clients->len; i++) {
        Client *c = g_ptr_array_index(w->clients, i);
        if (is_open(c)) {
            SpHolder h = holder_of(c);
            SpEviction_Consider(&e, &h);
        }
    }
    return e.chosen;
}

/* Returns the client that began to send a large request last. */
static Client *
newest(const SpWeb *w)
{
    Client *best = NULL;
    guint i;

    for (i = 0; i < w->clients->len; i++) {
        Client *c = g_ptr_array_index(w->clients, i);
        if (is_open(c) && held_for(c) > SMALL_BYTES &&
            holder_of(c).step == SP_HOLDER_SENDING &&
            (!best || c->began > best->began)) {
            best = c;
        }
    }
    return best;
}

int
SpWeb_FreeDescriptor(SpWeb *w)
{
    Client *c;

    if (w->nconns - w->nending <= w->max_clients) {
        return 1;
    }
    c = w->nending < MAX_ENDING ? choose(w, SP_NEED_DESCRIPTOR) : NULL;
    if (c) {
        end_client(c, "descriptors");
    }
    return c != NULL;
}

static void
make_memory(SpWeb *w, size_t held)
{
    Client *c;

    while (held > w->o.memory_bytes) {
        c = choose(w, SP_NEED_MEMORY);
        c = c ? c : newest(w);
        if (!c) {
            return;
        }
        held -= held_for(c);
        end_client(c, "memory");
    }
}

static void
on_check(uv_check_t *check)
{
    SpWeb *w = check->data;
    int64_t now = SpClock_Now();
    size_t held = 0;
    guint i;

    if (now - w->checked_at < LOOK_US) {
        return;
    }
    w->checked_at = now;
    for (i = 0; i < w->clients->len; i++) {
        Client *c = g_ptr_array_index(w->clients, i);
        if (!is_open(c)) {
            continue;
        }
        look_at(c, now);
        if (is_head_too_large(c)) {
            end_client(c, "head");
            continue;
        }
        held += held_for(c);
    }
    if (w->o.memory_bytes) {
        make_memory(w, held);
    }
}

void
watch_clients(SpWeb *w)
{
    struct rlimit r;

    w->max_clients = G_MAXINT;
    if (getrlimit(RLIMIT_NOFILE, &r) == 0 && r.rlim_cur < G_MAXINT) {
        int fds = (int)r.rlim_cur;
        w->max_clients = MAX(fds - fds / FDS_SHARE - FDS_KEPT, 1);
    }
    uv_check_init(w->loop, &w->check);
    w->check.data = w;
    uv_check_start(&w->check, on_check);
    uv_unref((uv_handle_t *)&w->check);
}
