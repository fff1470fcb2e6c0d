#include "fakes/caller/job.h"

#include <stdlib.h>
#include <string.h>

#include "fakes/caller/check.h"

#define BOOK_BYTES 200
/* Added to the deadline, so that a refusal at the deadline still arrives. */
#define ANSWER_MARGIN_MS 2000
#define BULK_TIMEOUT_MS	 120000
#define BACKOFF_MS	 100
#define BODY_VARIANTS	 4

struct job {
	struct job_env *env;
	struct workload *work;
	uint64_t number;
	uint32_t attempt;
	/* Index into the list of entry VMs, modulo its length. */
	uint32_t entry_index;
	uint32_t block;
	apr_time_t began;
	enum workload_outcome outcome;
	char key[DISCOVERY_TICKET_BYTES];
	char request_id[64];
	char entry[DISCOVERY_URL_BYTES];
	char sent_digest[DIG_TEXT_BYTES];
	char reason[64];
	struct discovery_wait wait;
	struct evloop_timer timer;
	struct httpcall_call call;
};

static void start_attempt(struct job *job);

static bool needs_key(const struct job *job)
{
	return job->work->kind == WORKLOAD_BOOK ||
	       job->work->kind == WORKLOAD_UPLOAD;
}

static void trace(const struct job *job, apr_interval_time_t took)
{
	static const char *const names[] = {
		[WORKLOAD_WHOLE] = "whole",
		[WORKLOAD_NOT_RUN] = "not_run",
		[WORKLOAD_UNKNOWN] = "unknown",
		[WORKLOAD_WRONG] = "wrong",
	};

	if (!job->env->trace)
		return;
	fprintf(job->env->trace, "%lld,%s,%s,%s,%lld,%s,%s,%s,%s,%u,%s\n",
		(long long)(job->began - job->env->started),
		job->work->name.ptr, rank_name(job->work->rank),
		names[job->outcome], (long long)took, job->call.served_by,
		job->entry, job->request_id, job->key, job->attempt,
		job->reason);
	fflush(job->env->trace);
}

static void end_job(struct job *job)
{
	struct job_env *env = job->env;
	struct workload *work = job->work;
	const apr_interval_time_t took = evloop_now(env->loop) - job->began;

	work->outcomes[job->outcome]++;
	work->open--;
	if (job->outcome == WORKLOAD_WHOLE) {
		if (took <= CLK_MS(work->deadline_ms))
			work->in_time++;
		if (job->began >= env->measure_from)
			workload_sample(&work->samples, took);
	}
	if (job->key[0])
		keyrec_note(env->keys, job->key, job->outcome);
	trace(job, took);
	free(job);
	env->ended(env, work);
}

static void on_backoff(struct evloop_timer *timer)
{
	start_attempt((struct job *)(void *)((char *)timer -
					     offsetof(struct job, timer)));
}

/* Retries at the next entry VM, or ends the job with its last outcome. */
static void next_attempt(struct job *job)
{
	struct job_env *env = job->env;

	if (job->attempt >= job->work->tries) {
		end_job(job);
		return;
	}
	job->entry_index++;
	/* A refused key can't be used again; one of unknown outcome is kept. */
	if (job->key[0] && job->outcome == WORKLOAD_NOT_RUN) {
		keyrec_note(env->keys, job->key, WORKLOAD_NOT_RUN);
		job->key[0] = '\0';
	}
	job->timer.fire = on_backoff;
	evloop_timer_set(env->loop, &job->timer,
			 evloop_now(env->loop) +
				 CLK_MS(BACKOFF_MS) * job->attempt);
}

static void count_reason(struct job_env *env, const char *reason)
{
	json_t *count = json_object_get(env->reasons, reason);

	if (count)
		json_integer_set(count, json_integer_value(count) + 1);
	else
		json_object_set_new(env->reasons, reason, json_integer(1));
}

static void on_done(struct httpcall_call *call)
{
	struct job *job = (struct job *)(void *)((char *)call -
						 offsetof(struct job, call));
	const struct verify_want want = {
		.kind = job->work->kind,
		.service = job->work->service.ptr,
		.request_id = job->request_id,
		.key = job->key,
		.bytes = call->body_len ? call->body_len : job->work->bytes,
		.sent_digest = job->sent_digest,
	};
	const struct verify_result result = verify_answer(call, &want);

	memcpy(job->reason, result.reason, sizeof(job->reason));
	if (result.reason[0])
		count_reason(job->env, result.reason);
	if (!result.no_verdict)
		job->outcome = result.outcome;
	if (result.outcome == WORKLOAD_WHOLE ||
	    result.outcome == WORKLOAD_WRONG)
		end_job(job);
	else
		next_attempt(job);
}

static void add_header(struct httpcall_call *call, const char *name,
		       const char *value)
{
	char line[256];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	call->headers = curl_slist_append(call->headers, line);
}

static void add_headers(struct job *job)
{
	static const char *const urgencies[RANK_COUNT] = {
		[RANK_URGENT] = "u=1",
		[RANK_NORMAL] = "u=3",
		[RANK_BULK] = "u=6",
	};
	char number[32];

	snprintf(number, sizeof(number), "%u", job->work->deadline_ms);
	add_header(&job->call, "X-Request-Id", job->request_id);
	add_header(&job->call, "Priority", urgencies[job->work->rank]);
	add_header(&job->call, "X-Deadline-Ms", number);
	if (job->key[0])
		add_header(&job->call, "Idempotency-Key", job->key);
}

static void set_body(struct job *job)
{
	struct httpcall_call *call = &job->call;

	if (!needs_key(job))
		return;
	call->has_body = true;
	call->body_len = job->work->kind == WORKLOAD_UPLOAD ? job->work->bytes
							    : BOOK_BYTES;
	/* There are few variants, so that each digest is computed once. */
	call->body_seed = job->env->seed + job->number % BODY_VARIANTS;
	dig_of_fill(call->body_seed, call->body_len, job->sent_digest);
	add_header(call, "Content-Digest", job->sent_digest);
}

static void set_url(struct job *job)
{
	static const char *const paths[] = {
		[WORKLOAD_GET] = "item",
		[WORKLOAD_BOOK] = "book",
		[WORKLOAD_UPLOAD] = "scan",
		[WORKLOAD_BLOB] = "blob",
	};
	const struct workload *work = job->work;
	struct httpcall_call *call = &job->call;
	int used;

	used = snprintf(call->url, sizeof(call->url), "%s%s%s/%s?n=%llu",
			job->entry, job->env->direct ? "" : "/s/",
			job->env->direct ? "" : work->service.ptr,
			paths[work->kind], (unsigned long long)job->number);
	if (work->ms != UINT32_MAX)
		used += snprintf(call->url + used,
				 sizeof(call->url) - (size_t)used, "&ms=%u",
				 work->ms);
	if (work->kind == WORKLOAD_BLOB)
		snprintf(call->url + used, sizeof(call->url) - (size_t)used,
			 "&bytes=%llu", (unsigned long long)work->bytes);
}

static void send_attempt(struct job *job)
{
	static const char *const methods[] = {
		[WORKLOAD_GET] = "GET",
		[WORKLOAD_BOOK] = "POST",
		[WORKLOAD_UPLOAD] = "PUT",
		[WORKLOAD_BLOB] = "GET",
	};
	const bool bulk = job->work->kind == WORKLOAD_UPLOAD ||
			  job->work->kind == WORKLOAD_BLOB;
	struct httpcall_call *call = &job->call;

	memset(call, 0, sizeof(*call));
	job->attempt++;
	job->work->attempts++;
	snprintf(job->request_id, sizeof(job->request_id), "c%llu-%llu-%u",
		 (unsigned long long)job->env->seed,
		 (unsigned long long)job->number, job->attempt);
	set_url(job);
	add_headers(job);
	set_body(job);
	call->method = methods[job->work->kind];
	call->timeout_ms =
		bulk ? BULK_TIMEOUT_MS
		     : (long)job->work->deadline_ms + ANSWER_MARGIN_MS;
	call->idle_s = bulk ? call->timeout_ms / 1000 : 0;
	call->done = on_done;
	httpcall_start(job->env->httpcall, call);
}

static void on_wait(struct discovery_wait *wait, bool ok)
{
	struct job *job = (struct job *)(void *)((char *)wait -
						 offsetof(struct job, wait));

	if (ok) {
		start_attempt(job);
		return;
	}
	job->attempt++;
	count_reason(job->env, "no_entry_or_ticket");
	next_attempt(job);
}

/* Returns false if the job must wait for a ticket. */
static bool has_key(struct job *job)
{
	if (!needs_key(job) || job->key[0])
		return true;
	if (job->env->own_keys || job->env->direct) {
		snprintf(job->key, sizeof(job->key), "own-%llu-%llu-%u",
			 (unsigned long long)job->env->seed,
			 (unsigned long long)job->number, job->attempt);
		return true;
	}
	return discovery_ticket(job->env->discovery, job->entry, job->key,
				&job->wait);
}

static void start_attempt(struct job *job)
{
	const char *urls[DISCOVERY_ENTRIES];
	const size_t count = discovery_entries(job->env->discovery,
					       strbuf_str(&job->work->service),
					       job->block, urls, &job->wait);

	if (!count)
		return;
	snprintf(job->entry, sizeof(job->entry), "%s",
		 urls[job->entry_index % count]);
	if (has_key(job))
		send_attempt(job);
}

void job_start(struct job_env *env, struct workload *work)
{
	struct job *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	job->env = env;
	job->work = work;
	job->number = ++env->next_number;
	job->block = (uint32_t)(job->number % env->blocks);
	job->began = evloop_now(env->loop);
	/* Nothing has been sent yet. */
	job->outcome = WORKLOAD_NOT_RUN;
	job->wait.ready = on_wait;
	work->sent++;
	work->open++;
	start_attempt(job);
}
