/*
 * proxy: passes connections on to another address, for the review. After
 * SIGUSR1 the connections that are open then are silent for good: nothing is
 * read from either side or sent, and neither side sees an end. New ones work.
 *
 *   proxy LISTEN TO
 */
#include "net.h"

typedef struct Pair {
    int in, out;
} Pair;

static volatile sig_atomic_t generation;

static void
on_signal(int sig)
{
    (void)sig;
    generation++;
}

/* Passes on what is readable; returns 0 at the end of the connection. */
static int
pass(int from, int to)
{
    char buf[65536];
    ssize_t n = recv(from, buf, sizeof buf, 0);

    return n > 0 && send_all(to, buf, (size_t)n);
}

static void *
serve(void *arg)
{
    Pair *p = arg;
    int born = generation;
    struct pollfd f[2] = {{.fd = p->in, .events = POLLIN},
                          {.fd = p->out, .events = POLLIN}};

    for (;;) {
        if (poll(f, 2, 20) < 0 && errno != EINTR) {
            break;
        }
        if (generation != born) {
            for (;;) {
                pause();
            }
        }
        if ((f[0].revents && !pass(p->in, p->out)) ||
            (f[1].revents && !pass(p->out, p->in))) {
            break;
        }
    }
    close(p->in);
    close(p->out);
    free(p);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct sigaction sa = {.sa_handler = on_signal};
    int fd;

    if (argc != 3) {
        fprintf(stderr, "proxy LISTEN TO\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    sigaction(SIGUSR1, &sa, NULL);
    fd = listen_on(argv[1]);
    for (;;) {
        pthread_t th;
        Pair *p;
        int one = 1, conn = accept(fd, NULL, NULL);
        if (conn < 0) {
            continue;
        }
        p = malloc(sizeof *p);
        p->in = conn;
        p->out = dial(argv[2], 0);
        if (p->out < 0) {
            close(conn);
            free(p);
            continue;
        }
        setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        pthread_create(&th, NULL, serve, p);
        pthread_detach(th);
    }
}
