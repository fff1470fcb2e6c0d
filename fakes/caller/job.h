/*
 * One request from its look-up to its last answer: choice of an entry VM,
 * ticket, retries at other entry VMs, and the check of the answer.
 */
#ifndef FAKES_CALLER_JOB_H
#define FAKES_CALLER_JOB_H

#include <stdio.h>

#include <jansson.h>

#include "fakes/caller/call.h"
#include "fakes/caller/keyrec.h"
#include "fakes/caller/look.h"
#include "fakes/caller/work.h"

/* State that all jobs share. */
struct job_env {
	struct evloop *loop;
	struct httpcall *httpcall;
	struct discovery *discovery;
	struct keyrec *keys;
	uint64_t seed;
	uint32_t blocks;
	/* Whether keys are made by the caller, without tickets. */
	bool own_keys;
	/* Whether requests go to an upstream: paths without /s/SERVICE. */
	bool direct;
	/* File that gets one line for each finished job, or NULL. */
	FILE *trace;
	/* Start of the latency samples; earlier jobs aren't sampled. */
	apr_time_t measure_from;
	apr_time_t started;
	uint64_t next_number;
	/* Counts of refused and failed attempts by reason, a JSON object. */
	json_t *reasons;
	/* Called when a job has ended. */
	void (*ended)(struct job_env *env, struct workload *work);
};

/* Starts a job of the stream; it frees itself when it has ended. */
void job_start(struct job_env *env, struct workload *work);

#endif
