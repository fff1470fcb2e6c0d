/* Latency histograms of requests by class of status. */
#ifndef STEERD_REQSTATS_H
#define STEERD_REQSTATS_H

#include <apr_time.h>

/* Records the time to a request's answer; status 0: the caller left. */
void reqstats_record(unsigned status, apr_interval_time_t elapsed);

#endif
