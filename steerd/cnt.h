/* Latency histograms of requests by class of status. */
#ifndef STEERD_CNT_H
#define STEERD_CNT_H

#include <apr_time.h>

/* Records the time to a request's answer; status 0: the caller left. */
void cnt_record(unsigned status, apr_interval_time_t elapsed);

#endif
