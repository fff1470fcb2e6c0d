#include "agent/tkt_count.h"

#include <pthread.h>

#include "common/ctr.h"

static struct ctr *verdicts[TKT_REFUSED + 1];
static pthread_once_t once = PTHREAD_ONCE_INIT;

static void register_counters(void)
{
	static const char *const labels[] = {
		[TKT_RUN] = "verdict=\"run\"",
		[TKT_NOT_RUN] = "verdict=\"not_run\"",
		[TKT_UNKNOWN] = "verdict=\"unknown\"",
		[TKT_REFUSED] = "verdict=\"refused\"",
	};

	for (int i = TKT_RUN; i <= TKT_REFUSED; i++)
		verdicts[i] = ctr_get("pst_ticket_verdicts_total", labels[i],
				      "Keyed requests by verdict.");
}

void tkt_count_verdict(enum tkt_verdict verdict)
{
	pthread_once(&once, register_counters);
	ctr_add(verdicts[verdict], 1);
}
