/*
 * stop: what a node that is being stopped still lets in, and by when its work
 * has to be done.
 *
 * The node is killed at the end of its grace time, whatever it does. So what
 * it lets in has to be answered before: targets get no more time than that,
 * and what still waits in a queue then is refused as not run. Times are in
 * microseconds of the caller's clock. docs/design/stop.md has the phases.
 */
#ifndef SP_STOP_H
#define SP_STOP_H

#include "flow/flow.h"

typedef struct SpStop {
    int64_t since;    /* time of the signal; 0: the node is not being stopped
                       */
    int64_t grace_us; /* from the signal to the kill */
} SpStop;

/* SpStop_Accepts returns what other nodes may send to this one. */
SpAcceptState SpStop_Accepts(const SpStop *s, int64_t now);
/* SpStop_AdmitsNew returns 1 if a new request of a caller is let in. Calls of
   running requests are let in as long as they can be answered. */
int SpStop_AdmitsNew(const SpStop *s, int64_t now);
/* SpStop_IsNoticed returns 1 once the callers have had the time to turn to
   another node: idle connections may be closed. */
int SpStop_IsNoticed(const SpStop *s, int64_t now);
/* SpStop_AnswerBy returns the time by which a target has to have answered;
   INT64_MAX if the node is not being stopped. */
int64_t SpStop_AnswerBy(const SpStop *s);
/* SpStop_EndsAt returns the time at which the process ends even with work in
   progress; INT64_MAX if the node is not being stopped. */
int64_t SpStop_EndsAt(const SpStop *s);

#endif
