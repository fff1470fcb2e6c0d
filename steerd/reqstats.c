#include "steerd/reqstats.h"

#include <stdbool.h>
#include <stdio.h>

#include "common/ctr.h"

/* Classes are the status divided by 100; 0 for callers that left. */
#define STATUS_CLASSES 6

void reqstats_record(unsigned status, apr_interval_time_t elapsed)
{
	static struct hist *latencies[STATUS_CLASSES];
	const unsigned class = status / 100 < STATUS_CLASSES ? status / 100 : 5;

	if (!latencies[class]) {
		char labels[32];

		snprintf(labels, sizeof(labels), "status=\"%uxx\"", class);
		latencies[class] =
			hist_get("pst_request_us", labels,
				 "Time from a request's first byte to "
				 "its answer, in microseconds.");
	}
	hist_record(latencies[class], elapsed > 0 ? (uint64_t)elapsed : 0);
}
