/* Planned stop of a relay (flow/stop.h): what is in progress is finished,
   refused as not run or, at the end of the grace time, failed. */
#include "relay/relay.h"

/* The process ends once nothing has been in progress for this long: meanwhile
   it reads what its connections received, since closing one with unread bytes
   resets it and the peer may lose an answer. */
#define QUIET_US (100 * SP_MS)

int64_t
answer_by(const Relay *n)
{
    return SpStop_AnswerBy(&n->stop);
}

void
begin_stop(Relay *n, int signum)
{
    if (n->stop.since) {
        return;
    }
    n->stop.since = SpHttp_Now();
    n->stop.grace_us = (int64_t)(n->settings.stop_s * SP_SEC);
    SpLog(SP_LOG_INFO, "stopping", "signal=%d calls=%u jobs=%u", signum,
          n->calls.length, n->jobs.length);
    SpHttpServer_Drain(n->http);
    lower_queued_deadlines(n, answer_by(n));
    announce_end(n, answer_by(n));
    broadcast_state(n);
}

/* Sends each change of the accept state to the peers. */
static void
announce_accepts(Relay *n, int64_t now)
{
    SpAcceptState accepts = local_load(n, now).accepts;

    if (accepts != n->announced) {
        n->announced = accepts;
        broadcast_state(n);
    }
}

static int
is_quiet(const Relay *n)
{
    return !n->calls.length && !n->jobs.length && !has_unsent(n) &&
           SpHttpServer_Connections(n->http) == 0;
}

/* Time since which nothing has been in progress; 0 if something is. */
static int64_t
quiet_since(const Relay *n, int64_t now)
{
    if (!is_quiet(n)) {
        return 0;
    }
    return n->quiet_since ? n->quiet_since : now;
}

static void
finish(Relay *n, const char *how, int64_t now)
{
    SpLog(SP_LOG_INFO, "stopped",
          "how=%s calls=%u jobs=%u connections=%d ms=%" PRId64, how,
          n->calls.length, n->jobs.length, SpHttpServer_Connections(n->http),
          (now - n->stop.since) / SP_MS);
    fail_all_calls(n, SP_LEAVING);
    SpLog_Flush(now);
    uv_stop(n->loop);
}

void
tick_stop(Relay *n, int64_t now)
{
    if (!n->stop.since) {
        return;
    }
    announce_accepts(n, now);
    if (SpStop_IsNoticed(&n->stop, now)) {
        SpHttpServer_CloseIdle(n->http);
        n->quiet_since = quiet_since(n, now);
    }
    if (n->quiet_since && now - n->quiet_since >= QUIET_US) {
        finish(n, "drained", now);
    }
    else if (now >= SpStop_EndsAt(&n->stop)) {
        finish(n, "bound", now);
    }
}
