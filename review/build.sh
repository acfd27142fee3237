#!/bin/bash
# build.sh: builds every stand-in that the scripts of the review start, into
# out/review/. Runs after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out/review
make -s out/spstore
cp out/spstore out/review/spstore
for p in target clients store; do
    ${CC:-gcc} -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra \
        -o "out/review/$p" "review/standin/$p.c" -lpthread
done
