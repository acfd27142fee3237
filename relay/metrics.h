/*
 * metrics: counters and latency histograms of a relay, in the Prometheus text
 * format.
 *
 * The number of label values is bounded: at most METRIC_ROUTES route names
 * from the configuration (the others count under "other"), and the error
 * kinds.
 */
#ifndef SP_METRICS_H
#define SP_METRICS_H

#include "flow/flow.h"

#define METRIC_ROUTES 64
/* Bytes of their names in all. */
#define METRIC_NAME_BYTES 65536

typedef struct Metrics Metrics;

/* Durations with a histogram. */
typedef enum {
    METRIC_TOTAL, /* from the arrival of a request to its answer; also by
                     route */
    METRIC_WAIT,  /* in the queue of the local instance */
    METRIC_RUN,   /* in the local instance */
    METRIC_NTIMES
} MetricTime;

Metrics *Metrics_New(void);
/* Metrics_Answer counts an answered request by route and kind; route may be
   NULL. */
void Metrics_Answer(Metrics *m, const char *route, SpKind k, int64_t us);
void Metrics_Time(Metrics *m, MetricTime t, int64_t us);
/* Metrics_Print appends all metrics to s. */
void Metrics_Print(const Metrics *m, GString *s);

#endif
