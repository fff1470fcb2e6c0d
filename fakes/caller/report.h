/* The caller's report: a table on standard output and a CSV file. */
#ifndef FAKES_CALLER_REPORT_H
#define FAKES_CALLER_REPORT_H

#include <jansson.h>

#include "fakes/caller/keyrec.h"
#include "fakes/caller/work.h"

struct rpt {
	struct workload *works;
	size_t count;
	const json_t *reasons;
	/* NULL when the journals were not read. */
	const struct keyrec_result *keys;
	uint64_t seed;
	double seconds;
	uint64_t stale_lookups;
	/* Jobs that hadn't ended when the time ran out. */
	uint64_t unfinished;
};

void rpt_print(const struct rpt *report);

/* Returns 0 or PST_ERR_IO. */
int rpt_write_csv(const struct rpt *report, const char *path);

/* Returns whether no job was lost, executed twice or answered wrongly. */
bool rpt_clean(const struct rpt *report);

#endif
