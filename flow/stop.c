/* Phases of a planned stop. */
#include "flow/stop.h"

/* For this long after the signal other nodes may send as before. */
#define ACCEPT_ALL_US (2000 * SP_MS)
/* Time after the signal from which new requests of callers are refused. */
#define REFUSE_NEW_AFTER_US (2900 * SP_MS)
/* Minimum time for which the node goes on, so that its callers can turn to
   another one. */
#define NOTICE_US (3200 * SP_MS)
/* Time between the end of the process and the kill. */
#define EXIT_SLACK_US (100 * SP_MS)
/* Time for an answer to pass through the nodes to the caller. */
#define ANSWER_SLACK_US (200 * SP_MS)

static int64_t
age_of(const SpStop *s, int64_t now)
{
    return s->since ? now - s->since : 0;
}

SpAcceptState
SpStop_Accepts(const SpStop *s, int64_t now)
{
    int64_t age = age_of(s, now);

    if (age > NOTICE_US) {
        return SP_ACCEPT_NONE;
    }
    return age > ACCEPT_ALL_US ? SP_ACCEPT_LAST_RESORT : SP_ACCEPT_ALL;
}

int
SpStop_AdmitsNew(const SpStop *s, int64_t now)
{
    return age_of(s, now) <= REFUSE_NEW_AFTER_US;
}

int
SpStop_IsNoticed(const SpStop *s, int64_t now)
{
    return age_of(s, now) > NOTICE_US;
}

int64_t
SpStop_EndsAt(const SpStop *s)
{
    return s->since ? s->since + s->grace_us - EXIT_SLACK_US : INT64_MAX;
}

int64_t
SpStop_AnswerBy(const SpStop *s)
{
    return s->since ? SpStop_EndsAt(s) - ANSWER_SLACK_US : INT64_MAX;
}
