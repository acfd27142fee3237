/*
 * packed: a look over msgpack bytes before they are unpacked. The library
 * sets memory aside for as many items as a header announces, however short
 * the message is; found by fuzzing.
 */
#ifndef SP_PACKED_H
#define SP_PACKED_H

#include "base/base.h"

/* SpPacked_Check returns 1 if p holds one whole object of n bytes. */
int SpPacked_Check(const void *p, size_t n);

#endif
