#include "steerd/calls.h"

#include "common/ctr.h"

void calls_count(enum calls_cause cause)
{
	static const char *const labels[CALLS_CAUSES] = {
		[CALLS_START] = "cause=\"start\"",
		[CALLS_NEWS] = "cause=\"news\"",
		[CALLS_RENEWAL] = "cause=\"renewal\"",
		[CALLS_OUTAGE] = "cause=\"outage\"",
		[CALLS_RELAY_LOST] = "cause=\"relay_lost\"",
		[CALLS_STOP] = "cause=\"stop\"",
	};
	static struct ctr *counters[CALLS_CAUSES];

	/* All appear with 0, so that one that is missing is noticed. */
	for (int i = 0; i < CALLS_CAUSES && !counters[i]; i++)
		counters[i] = ctr_get("pst_store_causes_total", labels[i],
				      "Calls to the metadata store by cause.");
	ctr_add(counters[cause], 1);
}
