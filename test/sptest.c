/* sptest: unit tests, scenarios, load patterns and random fault schedules. */
#include <stdio.h>
#include <string.h>

#include "test/test.h"

int
main(int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[1], "unit") == 0) {
        return run_units();
    }
    if (argc == 3 && strcmp(argv[1], "run") == 0) {
        return run_script(argv[2]);
    }
    if (argc == 3 && strcmp(argv[1], "load") == 0) {
        return run_load(argv[2]);
    }
    if (argc >= 2 && strcmp(argv[1], "soak") == 0) {
        return run_soak(argc - 1, argv + 1);
    }
    if (argc == 3 && strcmp(argv[1], "seeds") == 0) {
        return write_seeds(argv[2]);
    }
    if (argc == 2 && strcmp(argv[1], "routes") == 0) {
        return run_routes();
    }
    fprintf(stderr, "usage: sptest unit | run FILE | load FILE | seeds DIR | "
                    "routes | "
                    "soak [-s SEED] [-n SCHEDULES] [-v]\n");
    return 2;
}
