/*
 * packed: validates msgpack data before it is unpacked. The msgpack library
 * allocates memory for as many items as a container's header announces, even
 * if the message is shorter; fuzzing found this.
 */
#ifndef SP_PACKED_H
#define SP_PACKED_H

#include "base/base.h"

/* SpPacked_Check returns 1 if p holds exactly one complete object of n
   bytes. */
int SpPacked_Check(const void *p, size_t n);

#endif
