/* Generates arrivals: Poisson streams or closed loops for a limited time. */
#ifndef FAKES_CALLER_LOAD_H
#define FAKES_CALLER_LOAD_H

#include "fakes/caller/job.h"

struct loadgen_config {
	struct workload *works;
	size_t count;
	apr_interval_time_t duration;
	/* Time from the last arrival until unfinished jobs are given up. */
	apr_interval_time_t drain;
};

/* Runs the whole load. Returns the number of unfinished jobs. */
uint64_t loadgen_run(struct job_env *env, const struct loadgen_config *config);

#endif
