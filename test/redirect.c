/*
 * Loaded into relays by test/redirected.sh: connections to MESH_LINK_PORT go
 * to MESH_PROXY_PORT of the same address, where spmesh passes them on.
 */
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "standin/meshport.h"

typedef int (*Connect)(int fd, const struct sockaddr *sa, socklen_t len);

int
connect(int fd, const struct sockaddr *sa, socklen_t len)
{
    union {
        void *p;
        Connect f;
    } next = {dlsym(RTLD_NEXT, "connect")};
    struct sockaddr_in to;

    if (sa->sa_family != AF_INET || len != sizeof to) {
        return next.f(fd, sa, len);
    }
    to = *(const struct sockaddr_in *)sa;
    if (to.sin_port == htons(MESH_LINK_PORT)) {
        to.sin_port = htons(MESH_PROXY_PORT);
    }
    return next.f(fd, (const struct sockaddr *)&to, len);
}
