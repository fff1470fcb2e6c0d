/* Latency histograms of requests by class of status; unanswered requests. */
#ifndef STEERD_REQSTATS_H
#define STEERD_REQSTATS_H

#include <stdbool.h>

#include <apr_time.h>

#include "steerd/srv.h"

/* Records the time to a request's answer; status 0: it has none. */
void reqstats_record(unsigned status, apr_interval_time_t elapsed);

/* Counts a request that ended without an answer, by cause. */
void reqstats_record_cut(enum srv_end end, bool passed_on);

#endif
