#include "fakes/caller/check.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "common/evt.h"

#define LOG_MODULE   "fake-caller"

#define PROBLEM_TYPE "application/problem+json"
/* Seed of the upstream's download bytes. */
#define BLOB_SEED 7

static struct verify_result make(enum workload_outcome outcome,
				 const char *reason)
{
	struct verify_result result = {.outcome = outcome};

	snprintf(result.reason, sizeof(result.reason), "%s", reason);
	return result;
}

static struct verify_result wrong(const struct verify_want *want,
				  const char *got, const char *reason)
{
	evt_log(FAKE_WRONG_ANSWER, "request_id=%s want=%s got=%.64s reason=%s",
		want->request_id, want->service, got, reason);
	return make(WORKLOAD_WRONG, reason);
}

static bool same_text(const json_t *root, const char *name, const char *want)
{
	const char *text = json_string_value(json_object_get(root, name));

	return text && !strcmp(text, want);
}

static const char *echo_fault(const struct verify_want *want,
			      const json_t *root)
{
	const json_t *received = json_object_get(root, "received");

	if (!root)
		return "body_not_json";
	if (!same_text(root, "request_id", want->request_id))
		return "body_of_another_request";
	if (!same_text(root, "service", want->service))
		return "other_service";
	if (want->key[0] && !same_text(root, "key", want->key))
		return "other_key";
	if (want->kind != WORKLOAD_BOOK && want->kind != WORKLOAD_UPLOAD)
		return NULL;
	if ((uint64_t)json_integer_value(received) != want->bytes)
		return "upload_cut";
	if (!same_text(root, "received_digest", want->sent_digest))
		return "upload_changed";
	return NULL;
}

static struct verify_result check_echo(const struct httpcall_call *call,
				       const struct verify_want *want)
{
	json_t *root = json_loadb(call->kept, call->kept_len, 0, NULL);
	const char *fault = echo_fault(want, root);

	json_decref(root);
	if (fault)
		return wrong(want, call->request_id, fault);
	return make(WORKLOAD_WHOLE, "");
}

static struct verify_result check_whole(const struct httpcall_call *call,
					const struct verify_want *want)
{
	char digest[DIG_TEXT_BYTES];

	if (strcmp(call->request_id, want->request_id) != 0)
		return wrong(want, call->request_id, "other_request_id");
	if (call->content_digest[0] &&
	    strcmp(call->content_digest, call->digest) != 0)
		return wrong(want, call->request_id, "digest");
	if (want->kind != WORKLOAD_BLOB)
		return check_echo(call, want);
	dig_of_fill(BLOB_SEED, want->bytes, digest);
	if (call->received != want->bytes || strcmp(digest, call->digest) != 0)
		return wrong(want, call->request_id, "download");
	return make(WORKLOAD_WHOLE, "");
}

static struct verify_result check_problem(const struct httpcall_call *call,
					  const struct verify_want *want)
{
	json_t *root = json_loadb(call->kept, call->kept_len, 0, NULL);
	const char *run = NULL;
	const char *reason = "";
	const char *id = NULL;
	struct verify_result result;

	json_unpack(root, "{s:s,s?s,s?s}", "run", &run, "reason", &reason,
		    "request_id", &id);
	if (!id || !id[0])
		result = wrong(want, "", "refusal_without_request_id");
	else if (strcmp(id, want->request_id) != 0)
		result = wrong(want, id, "refusal_of_another_request");
	else if (run && !strcmp(run, "no"))
		result = make(WORKLOAD_NOT_RUN, reason);
	else
		result = make(WORKLOAD_UNKNOWN, reason);
	json_decref(root);
	return result;
}

static struct verify_result check_failure(const struct httpcall_call *call)
{
	struct verify_result result = make(WORKLOAD_UNKNOWN, "");

	snprintf(result.reason, sizeof(result.reason), "curl_%d", call->code);
	result.no_verdict = !call->sent;
	return result;
}

struct verify_result verify_answer(const struct httpcall_call *call,
				   const struct verify_want *want)
{
	struct verify_result result;

	if (!strncmp(call->content_type, PROBLEM_TYPE, strlen(PROBLEM_TYPE)) &&
	    call->status >= 400 &&
	    (call->code == CURLE_OK || call->code == CURLE_SEND_ERROR))
		return check_problem(call, want);
	if (call->not_run && call->status == 503)
		return make(WORKLOAD_NOT_RUN, "upstream_shed");
	if (call->code != CURLE_OK)
		return check_failure(call);
	if (call->status >= 200 && call->status < 300)
		return check_whole(call, want);
	result = make(WORKLOAD_UNKNOWN, "");
	snprintf(result.reason, sizeof(result.reason), "status_%ld",
		 call->status);
	return result;
}
