/* fuzz: declarations shared by the files of the fuzz target. */
#ifndef SP_FUZZ_H
#define SP_FUZZ_H

#include <stddef.h>

/* Number of parsers that fuzz_wire selects from. */
#define SP_FUZZ_WIRE 6

/* First byte of an input that is a response. */
#define SP_FUZZ_RESPONSE '\x08'

void fuzz_wire(int which, const char *p, size_t n);

#endif
