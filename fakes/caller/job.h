/*
 * One piece of work from look-up to its last answer: entry VM, ticket,
 * attempts at other entry VMs, and the check of the answer.
 */
#ifndef FAKES_CALLER_JOB_H
#define FAKES_CALLER_JOB_H

#include <stdio.h>

#include <jansson.h>

#include "fakes/caller/call.h"
#include "fakes/caller/keyrec.h"
#include "fakes/caller/look.h"
#include "fakes/caller/work.h"

/* What all jobs share. */
struct job_env {
	struct flp *loop;
	struct cll *cll;
	struct luk *luk;
	struct krc *keys;
	uint64_t seed;
	uint32_t blocks;
	/* Keys are the caller's own instead of tickets. */
	bool own_keys;
	/* Straight to an upstream: paths without /s/SERVICE. */
	bool direct;
	/* One line for each finished job, or NULL. */
	FILE *trace;
	/* Jobs that start earlier are not in the latencies. */
	apr_time_t measure_from;
	apr_time_t started;
	uint64_t next_number;
	/* Refusals by reason, a JSON object. */
	json_t *reasons;
	/* Called when a job has ended. */
	void (*ended)(struct job_env *env, struct wdl *work);
};

/* Starts a job of the work; it frees itself when it has ended. */
void job_start(struct job_env *env, struct wdl *work);

#endif
