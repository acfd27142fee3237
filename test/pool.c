/* Unit tests of the pool of connections, with a server in the same thread. */
#include <CUnit/Basic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "test/test.h"

#define WAIT_US (2 * SP_SEC)
#define HEAD "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

/* How an exchange has ended. */
typedef struct End {
    int ended;
    SpPoolStatus status;
} End;

static void
on_end(void *data, SpPoolStatus status, const SpMsg *m, const char *error)
{
    End *e = data;

    (void)m;
    (void)error;
    e->ended = 1;
    e->status = status;
}

/* Listens on a free port of loopback, which is printed to addr. */
static int
listen_somewhere(char *addr, size_t size)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    socklen_t n = sizeof sa;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&sa, sizeof sa), 0);
    CU_ASSERT_EQUAL_FATAL(listen(fd, 1), 0);
    getsockname(fd, (struct sockaddr *)&sa, &n);
    g_snprintf(addr, size, "127.0.0.1:%d", ntohs(sa.sin_port));
    return fd;
}

static void
send_request(SpPool *p, End *e)
{
    SpPoolRequest o = {
        .head = HEAD, .head_len = sizeof HEAD - 1, .done = on_end, .data = e};

    memset(e, 0, sizeof *e);
    SpPool_Send(p, &o);
}

static void
run_until_ended(uv_loop_t *loop, SpPool *p, const End *e)
{
    int64_t until = SpHttp_Now() + WAIT_US;

    while (!e->ended && SpHttp_Now() < until) {
        uv_run(loop, UV_RUN_NOWAIT);
        SpPool_Tick(p, SpHttp_Now());
    }
    CU_ASSERT(e->ended);
}

/* Takes the bytes of a request, which has been written. */
static void
receive(int fd)
{
    char buf[sizeof HEAD];

    CU_ASSERT_EQUAL(recv(fd, buf, sizeof HEAD - 1, MSG_WAITALL),
                    (ssize_t)(sizeof HEAD - 1));
}

/* The server answers once more and resets an idle connection. A request that
   is then written there is not sent: the answer is none to it. */
static void
test_answer_without_request(void)
{
    struct linger reset = {1, 0};
    SpPoolOpts o = {.connect_us = SP_SEC, .idle_us = SP_SEC};
    uv_loop_t loop;
    SpPool *p;
    End e;
    int listener = listen_somewhere(o.addr, sizeof o.addr), fd, i;

    uv_loop_init(&loop);
    p = SpPool_New(&loop, &o);
    send_request(p, &e);
    for (i = 0; i < 10; i++) {
        uv_run(&loop, UV_RUN_NOWAIT); /* connects and writes */
    }
    fd = accept(listener, NULL, NULL);
    receive(fd);
    CU_ASSERT_EQUAL(send(fd, ANSWER, sizeof ANSWER - 1, 0),
                    (ssize_t)(sizeof ANSWER - 1));
    run_until_ended(&loop, p, &e);
    CU_ASSERT_EQUAL(e.status, SP_POOL_OK);

    CU_ASSERT_EQUAL(send(fd, ANSWER, sizeof ANSWER - 1, 0),
                    (ssize_t)(sizeof ANSWER - 1));
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(fd);
    send_request(p, &e);
    run_until_ended(&loop, p, &e);
    CU_ASSERT_EQUAL(e.status, SP_POOL_NOT_SENT);

    SpPool_Free(p);
    uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
    close(listener);
}

const Unit pool_units[] = {
    {"pool", "answer without request", test_answer_without_request},
    {NULL, NULL, NULL}};
