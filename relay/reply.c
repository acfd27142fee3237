/* The answer of another relay to a call: what of its fields is taken. */
#include <string.h>

#include "relay/reply.h"

#define FINAL_MIN 200
#define FINAL_MAX 599

/* An answer of an instance is passed on with its status, so it needs one that
   ends a request (RFC 9110 15). */
static int
is_valid(uint64_t kind, uint64_t outcome, uint64_t status)
{
    if (kind >= SP_NKINDS || outcome > SP_UNKNOWN || status > FINAL_MAX) {
        return 0;
    }
    return kind != SP_OK || status >= FINAL_MIN;
}

int
read_reply(FrameIn *f, Result *r)
{
    uint64_t kind = get_uint(f), outcome = get_uint(f), status;

    memset(r, 0, sizeof *r);
    r->reached = get_uint(f) != 0;
    r->nested_failed = get_uint(f) != 0;
    r->path = SpShares_Unpack(get_uint(f));
    r->calls = get_real(f);
    status = get_uint(f);
    r->lines = get_bin(f, &r->lines_len);
    r->body = get_bin(f, &r->body_len);
    if (f->bad || !is_valid(kind, outcome, status)) {
        return 0;
    }
    r->kind = (SpKind)kind;
    r->outcome = (SpOutcome)outcome;
    r->status = (int)status;
    return 1;
}
