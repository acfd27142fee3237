/* fuzz: what the files of the fuzzer share. */
#ifndef SP_FUZZ_H
#define SP_FUZZ_H

#include <stddef.h>

/* Parsers that fuzz_wire chooses from, 0 to SP_FUZZ_WIRE - 1. */
#define SP_FUZZ_WIRE 6

void fuzz_wire(int which, const char *p, size_t n);

#endif
