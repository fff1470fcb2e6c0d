#include "steerd/reqstats.h"

#include <stdio.h>

#include "common/ctr.h"

/* Classes are the status divided by 100; 0 without an answer. */
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

void reqstats_record_cut(enum srv_end end, bool passed_on)
{
	static struct ctr *counters[SRV_ENDS][2];

	/* All appear with 0, so that one that is missing is noticed. */
	for (int i = 0; i < SRV_ENDS * 2 && !counters[i / 2][i % 2]; i++) {
		char labels[64];

		snprintf(labels, sizeof(labels),
			 "cause=\"%s\",passed_on=\"%d\"",
			 srv_end_name((enum srv_end)(i / 2)), i % 2);
		counters[i / 2][i % 2] =
			ctr_get("pst_requests_cut_total", labels,
				"Requests that were read and got no answer, "
				"by cause and whether they were passed on.");
	}
	ctr_add(counters[end][passed_on], 1);
}
