/* Command line of a daemon. */
#include <getopt.h>

#include "conf/conf.h"

static int
print_usage(const SpProgram *p, FILE *f, int status)
{
    fprintf(f,
            "usage: %s [-t] -c SETTINGS\n"
            "  -c, --config FILE  settings, JSON\n"
            "  -t, --test         check the settings only\n"
            "  -h, --help         print this\n"
            "  -V, --version      print the version\n",
            p->name);
    return status;
}

int
SpOptions_Read(const SpProgram *p, int argc, char **argv, SpOptions *o)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'},
        {"test", no_argument, NULL, 't'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},
        {NULL, 0, NULL, 0}};
    int c;

    o->file = NULL;
    o->test = 0;
    argv[0] = (char *)p->name; /* printed by getopt_long in its messages */
    while ((c = getopt_long(argc, argv, "c:thV", options, NULL)) != -1) {
        switch (c) {
        case 'c':
            o->file = optarg;
            break;
        case 't':
            o->test = 1;
            break;
        case 'h':
            return print_usage(p, stdout, 0);
        case 'V':
            printf("%s %s\n", p->name, p->version);
            return 0;
        default:
            return print_usage(p, stderr, 2);
        }
    }
    return o->file && optind == argc ? -1 : print_usage(p, stderr, 2);
}
