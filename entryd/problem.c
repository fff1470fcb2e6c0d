#include "entryd/problem.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/err.h"

#define RETRY_AFTER_S "1"

static char *render(const struct problem *problem)
{
	json_t *body = json_pack(
		"{s:s, s:s, s:i, s:s, s:s, s:s%}", "type", "about:blank",
		"title", err_text(problem->reason), "status",
		(int)problem->status, "run",
		problem->not_run ? "no" : "unknown", "reason",
		err_name(problem->reason), "request_id",
		problem->request_id.ptr ? problem->request_id.ptr : "",
		problem->request_id.len);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	json_decref(body);
	return text;
}

enum MHD_Result problem_answer(struct MHD_Connection *conn,
			       const struct problem *problem)
{
	char *text = render(problem);
	struct MHD_Response *response;
	enum MHD_Result result;

	if (!text)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	if (!response) {
		free(text);
		return MHD_NO;
	}
	MHD_add_response_header(response, "Content-Type",
				"application/problem+json");
	if (problem->status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(response, "Retry-After", RETRY_AFTER_S);
	if (problem->request_id.len)
		MHD_add_response_header(response, "X-Request-Id",
					problem->request_id.ptr);
	if (problem->close)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(conn, problem->status, response);
	MHD_destroy_response(response);
	return result;
}
