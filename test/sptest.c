/* sptest: unit tests. */
#include <stdio.h>
#include <string.h>

#include "test/test.h"

int
main(int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[1], "unit") == 0) {
        return run_units();
    }
    fprintf(stderr, "usage: sptest unit\n");
    return 2;
}
