#include "entryd/tickets.h"

#include <string.h>

#include <jansson.h>

#include "common/err.h"
#include "entryd/problem.h"

/* Maximum number of tickets per request. */
#define MAX_TICKETS 64

static enum MHD_Result refuse(struct MHD_Connection *conn, unsigned status,
			      int reason)
{
	const struct problem problem = {
		.status = status,
		.reason = reason,
		.not_run = true,
	};

	return problem_answer(conn, &problem);
}

/* Returns 0 or PST_ERR_REQ_HEADER. */
static int read_count(struct MHD_Connection *conn, uint64_t *count)
{
	const char *text = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "count");

	*count = 1;
	if (!text)
		return 0;
	if (str_to_u64(str_from_c(text), count) || !*count ||
	    *count > MAX_TICKETS)
		return PST_ERR_REQ_HEADER;
	return 0;
}

static char *render(char tickets[][TKT_KEY_MAX + 1], size_t count)
{
	json_t *list = json_array();
	json_t *object;
	char *text;

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, json_string(tickets[i]));
	object = json_pack("{s:o}", "tickets", list);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

bool tickets_wanted(const char *uri)
{
	static const char path[] = "/v1/tickets";
	const size_t len = sizeof(path) - 1;

	return !strncmp(uri, path, len) && (!uri[len] || uri[len] == '?');
}

enum MHD_Result tickets_answer(struct MHD_Connection *conn,
			       struct tkt_agent *agent)
{
	char tickets[MAX_TICKETS][TKT_KEY_MAX + 1];
	struct MHD_Response *response;
	enum MHD_Result result;
	uint64_t count;
	char *body;

	if (read_count(conn, &count))
		return refuse(conn, MHD_HTTP_BAD_REQUEST, PST_ERR_REQ_HEADER);
	count = tkt_agent_issue(agent, count, tickets);
	if (!count)
		return refuse(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
			      PST_ERR_REQ_TICKETS);
	body = render(tickets, count);
	if (!body)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(body), body,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(conn, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return result;
}
