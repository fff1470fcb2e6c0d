#include "entryd/problem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <apr_time.h>
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

unsigned problem_input_status(int err)
{
	switch (err) {
	case PST_ERR_REQ_PATH:
		return MHD_HTTP_NOT_FOUND;
	case PST_ERR_REQ_METHOD:
		return MHD_HTTP_METHOD_NOT_ALLOWED;
	case PST_ERR_REQ_HEADER:
	case PST_ERR_REQ_MALFORMED:
		return MHD_HTTP_BAD_REQUEST;
	case PST_ERR_REQ_TOO_LARGE:
		return MHD_HTTP_CONTENT_TOO_LARGE;
	case PST_ERR_REQ_HEAD_TOO_LARGE:
		return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
	case PST_ERR_REQ_SLOW:
		return MHD_HTTP_REQUEST_TIMEOUT;
	case PST_ERR_REQ_VERSION:
		return MHD_HTTP_HTTP_VERSION_NOT_SUPPORTED;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

static const char *retry_line(const struct problem *problem)
{
	return problem->status == MHD_HTTP_SERVICE_UNAVAILABLE
		       ? "Retry-After: " RETRY_AFTER_S "\r\n"
		       : "";
}

void problem_send(int fd, const struct problem *problem)
{
	char *text = render(problem);
	const bool has_id = problem->request_id.len > 0;
	char date[APR_RFC822_DATE_LEN];
	char *answer = NULL;
	int len = -1;

	apr_rfc822_date(date, apr_time_now());
	if (text)
		len = asprintf(&answer,
			       "HTTP/1.1 %u %s\r\nDate: %s\r\n"
			       "Content-Type: application/problem+json\r\n"
			       "Content-Length: %zu\r\n%s%s%.*s%s"
			       "Connection: close\r\n\r\n%s",
			       problem->status,
			       MHD_get_reason_phrase_for(problem->status), date,
			       strlen(text), retry_line(problem),
			       has_id ? "X-Request-Id: " : "",
			       STR_ARG(problem->request_id),
			       has_id ? "\r\n" : "", text);
	if (len > 0)
		send(fd, answer, (size_t)len, MSG_NOSIGNAL | MSG_DONTWAIT);
	shutdown(fd, SHUT_WR);
	if (len > 0)
		free(answer);
	free(text);
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
