/* Where a client's connection comes from, and what its user noted of it. */
#include "http/conn.h"

int
SpHttp_IsLocalPeer(uint32_t peer, uint32_t own)
{
    return peer == own || (peer == INADDR_LOOPBACK &&
                           own >> IN_CLASSA_NSHIFT == IN_LOOPBACKNET);
}

static int
is_local_conn(const Conn *c)
{
    struct sockaddr_in peer, own;
    int peer_len = sizeof peer, own_len = sizeof own;

    if (uv_tcp_getpeername(&c->tcp, (struct sockaddr *)&peer, &peer_len) !=
            0 ||
        uv_tcp_getsockname(&c->tcp, (struct sockaddr *)&own, &own_len) != 0) {
        return 0;
    }
    return SpHttp_IsLocalPeer(ntohl(peer.sin_addr.s_addr),
                              ntohl(own.sin_addr.s_addr));
}

int
SpHttpReq_IsLocal(const SpHttpReq *r)
{
    Conn *c = r->c;

    if (!c->local) {
        c->local = is_local_conn(c) ? 1 : -1;
    }
    return c->local > 0;
}

void
SpHttpReq_MarkConn(SpHttpReq *r)
{
    r->c->marked = 1;
}

int
SpHttpReq_IsConnMarked(const SpHttpReq *r)
{
    return r->c->marked;
}
