/* spctl where: where a request would go now, according to one relay. */
#include <string.h>

#include "cmd/ctl.h"

int
run_where(int argc, char **argv)
{
    char *host, *path, *workspace, *target;
    int ok;

    if (argc < 3) {
        fprintf(stderr, "spctl: where needs a host and a path, and may have "
                        "the name of a workspace\n");
        return 2;
    }
    host = g_uri_escape_string(argv[1], NULL, FALSE);
    path = g_uri_escape_string(argv[2], "/", FALSE);
    workspace = g_uri_escape_string(argc > 3 ? argv[3] : "", NULL, FALSE);
    target = g_strdup_printf("/where?host=%s&path=%s%s%s", host, path,
                             *workspace ? "&workspace=" : "", workspace);
    ok = ctl_ask(target);
    if (ok) {
        fputs(ctl_body(), ctl_status() == 200 ? stdout : stderr);
    }
    g_free(host);
    g_free(path);
    g_free(workspace);
    g_free(target);
    return ok && ctl_status() == 200 ? 0 : 1;
}
