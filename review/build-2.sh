#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: a program a case, which plays the
# store, the targets and their clients. They go into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for c in review/*/case.c; do
    n=$(basename "$(dirname "$c")")
    gcc -std=c11 -O2 -g -Wall -Wextra -Ireview/world-2 -o "target/review-2/case-$n" \
        "$c" review/world-2/*.c -lpthread
done
