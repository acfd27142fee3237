/*
 * metrics: counters and latency histograms of a relay, as Prometheus text.
 *
 * Labels are bounded: routes by their name in the configuration, at most
 * METRIC_ROUTES of them (the rest count under "other"), outcomes by the
 * closed list of error kinds.
 */
#ifndef SP_METRICS_H
#define SP_METRICS_H

#include "flow/flow.h"

#define METRIC_ROUTES 64

typedef struct Metrics Metrics;

/* What a histogram measures. */
typedef enum {
    METRIC_TOTAL, /* from a request's arrival to its answer, by route */
    METRIC_WAIT,  /* in the queue of the own instance */
    METRIC_RUN,   /* in the own instance */
    METRIC_NTIMES
} MetricTime;

Metrics *Metrics_New(void);
/* Metrics_Answer counts the end of a request. */
void Metrics_Answer(Metrics *m, const char *route, SpKind k, int64_t us);
void Metrics_Time(Metrics *m, MetricTime t, int64_t us);
/* Metrics_Print appends all of them. */
void Metrics_Print(const Metrics *m, GString *s);

#endif
