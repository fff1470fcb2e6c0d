#include "entryd/frontend.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "entryd/acceptor.h"
#include "entryd/reqparse.h"
#include "entryd/problem.h"
#include "entryd/tickets.h"

#define LOG_MODULE "entry.front"

/* Memory of a connection in addition to its header, in bytes. */
#define CONNECTION_SPARE_BYTES 65536

#define MS_PER_S	       1000

struct frontend {
	const struct settings *set;
	struct router *router;
	struct forwarder *forwarder;
	struct tkt_agent *ticket;
	struct MHD_Daemon *daemon;
	struct callers *callers;
	struct acceptor *gate;
	struct reqparse intake;
	atomic_bool draining;
};

/* State of one request; attached to it through libmicrohttpd. */
struct exchange {
	struct frontend *frontend;
	struct callers_conn *conn;
	char *uri;
	struct req *req;
	/* The handler was called for the end of the header. */
	bool header_handled;
	/* Error of a request refused before it was routed, or 0. */
	int refused;
	bool refused_not_run;
	/* Answered directly on the socket; the body is discarded. */
	bool discarding_body;
	struct strbuf refused_id;
};

static struct problem refusal(const struct exchange *ex)
{
	return (struct problem){
		.status = problem_input_status(ex->refused),
		.reason = ex->refused,
		.not_run = ex->refused_not_run,
		.request_id = strbuf_str(&ex->refused_id),
		.close = ex->frontend->draining ||
			 ex->refused == PST_ERR_REQ_MALFORMED,
	};
}

static enum MHD_Result refuse(struct MHD_Connection *conn,
			      const struct exchange *ex)
{
	const struct problem problem = refusal(ex);

	return problem_answer(conn, &problem);
}

/*
 * Answers on the socket and discards the body: libmicrohttpd would close the
 * connection with the body unread, and the reset would lose the answer.
 */
static void refuse_body(struct exchange *ex)
{
	const struct problem problem = refusal(ex);

	callers_refuse(ex->frontend->callers, ex->conn, &problem);
	ex->discarding_body = true;
}

static enum MHD_Result discard_body(size_t *size)
{
	const bool more = *size > 0;

	*size = 0;
	return more ? MHD_YES : MHD_NO;
}

static int begin_request(struct MHD_Connection *conn, struct exchange *ex,
			 const char *method)
{
	struct frontend *frontend = ex->frontend;
	struct req *req = NULL;
	int err = req_create(&req, frontend->set->entry.buffer_bytes);

	if (err)
		return err;
	err = reqparse_fill(&frontend->intake, conn, req, ex->uri, method);
	if (!err)
		err = router_submit(frontend->router, req);
	if (err) {
		/*
		 * The key of a request refused here is not sealed: another
		 * entry may have run it, or may still do so.
		 */
		ex->refused_not_run = !req->keyed;
		ex->refused_id = req->id;
		evt_log(REQ_TURNED_AWAY, "req=%s run=%s cause=%s", req->id.ptr,
			req->keyed ? "unknown" : "no", err_name(err));
		req_put(req);
		return err;
	}
	ex->req = req;
	return 0;
}

static ssize_t read_answer(void *ctx, uint64_t position, char *out, size_t max)
{
	struct exchange *ex = ctx;
	struct req *req = ex->req;
	ssize_t result = 0;
	bool resume_transfer = false;

	(void)position;
	pthread_mutex_lock(&req->lock);
	result = (ssize_t)pipe_read(&req->answer, out, max);
	if (result) {
		resume_transfer = req->answer_write_paused;
		req->answer_write_paused = false;
	} else if (req->stage == REQ_BROKEN || req->answer.broken) {
		result = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (req->answer.closed) {
		result = MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		req_suspend(req);
	}
	pthread_mutex_unlock(&req->lock);
	if (resume_transfer)
		forwarder_resume(ex->frontend->forwarder, req);
	return result;
}

/* Adds headers given as "Name: value" to the response. */
static void copy_headers(struct MHD_Response *response,
			 const struct curl_slist *headers)
{
	for (; headers; headers = headers->next) {
		const char *colon = strchr(headers->data, ':');
		const char *value;
		char *name;

		if (!colon)
			continue;
		name = strndup(headers->data, (size_t)(colon - headers->data));
		if (!name)
			return;
		value = colon + 1 + strspn(colon + 1, " ");
		MHD_add_response_header(response, name, value);
		free(name);
	}
}

/* Called with the request's lock held. */
static enum MHD_Result queue_answer(struct frontend *frontend,
				    struct MHD_Connection *conn,
				    struct exchange *ex)
{
	struct req *req = ex->req;
	const uint64_t size = req->answer_length < 0
				      ? MHD_SIZE_UNKNOWN
				      : (uint64_t)req->answer_length;
	struct MHD_Response *response = MHD_create_response_from_callback(
		size, frontend->set->entry.buffer_bytes / 2, read_answer, ex,
		NULL);
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	copy_headers(response, req->answer_headers);
	MHD_add_response_header(response, "X-Request-Id", req->id.ptr);
	MHD_add_response_header(response, "X-Served-By", req->upstream.ptr);
	if (frontend->draining)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(conn, req->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result queue_refusal(const struct frontend *frontend,
				     struct MHD_Connection *conn,
				     const struct req *req)
{
	const struct problem problem = {
		.status = req->status,
		.reason = req->reason,
		.not_run = req->not_run,
		.request_id = strbuf_str(&req->id),
		.close = frontend->draining,
	};

	return problem_answer(conn, &problem);
}

/*
 * Called with the request's lock held. Sets *resume_transfer if a paused
 * transfer may continue.
 */
static void receive_body(struct req *req, const char *bytes, size_t *size,
			 bool *resume_transfer)
{
	if (!*size && !req->body_started && req->body_length) {
		/* The call for the header; the body follows. */
		req->body_started = true;
		return;
	}
	if (*size)
		*size -= pipe_write(&req->body, bytes, *size);
	else
		pipe_close(&req->body, false);
	*resume_transfer = req->body_read_paused;
	req->body_read_paused = false;
	if (*size || req->body.closed)
		req_suspend(req);
}

/* Called with the request's lock held, when no byte of the body came. */
static bool body_ended(const struct req *req)
{
	switch (req->stage) {
	case REQ_WAITING:
		return false;
	case REQ_OPEN:
		return req->body.closed;
	case REQ_ANSWERING:
	case REQ_REFUSED:
	case REQ_BROKEN:
		break;
	}
	return true;
}

static enum MHD_Result continue_request(struct frontend *frontend,
					struct MHD_Connection *conn,
					struct exchange *ex, const char *bytes,
					size_t *size)
{
	struct req *req = ex->req;
	enum MHD_Result result = MHD_YES;
	const size_t received = *size;
	bool ended;
	bool resume_transfer = false;

	pthread_mutex_lock(&req->lock);
	switch (req->stage) {
	case REQ_WAITING:
		req_suspend(req);
		break;
	case REQ_OPEN:
		receive_body(req, bytes, size, &resume_transfer);
		break;
	/* A body that is no longer needed is read to its end and discarded. */
	case REQ_ANSWERING:
		if (*size)
			*size = 0;
		else
			result = queue_answer(frontend, conn, ex);
		break;
	case REQ_REFUSED:
		if (*size)
			*size = 0;
		else
			result = queue_refusal(frontend, conn, req);
		break;
	case REQ_BROKEN:
		result = MHD_NO;
		break;
	}
	ended = !received && body_ended(req);
	pthread_mutex_unlock(&req->lock);
	if (resume_transfer)
		forwarder_resume(frontend->forwarder, req);
	if (callers_body(frontend->callers, ex->conn, received - *size, ended))
		return result;
	/* The caller was too slow; it gets time to read its answer. */
	*size = received;
	return discard_body(size);
}

static int check_ticket_request(const struct frontend *frontend,
				struct exchange *ex, const char *method)
{
	ex->refused_not_run = true;
	if (strcmp(method, MHD_HTTP_METHOD_POST) != 0)
		return PST_ERR_REQ_METHOD;
	return frontend->draining ? PST_ERR_REQ_STOPPING : 0;
}

/*
 * Handles the call at the end of the header. libmicrohttpd closes a connection
 * whose answer is queued in this call, so the answer to a request without a
 * body is queued in the next one.
 */
static enum MHD_Result handle_header(struct frontend *frontend,
				     struct MHD_Connection *conn,
				     struct exchange *ex, const char *method,
				     const char *version)
{
	const char *length = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
							 "Content-Length");
	const char *coding = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
							 "Transfer-Encoding");
	const bool has_body = coding || (length && strcmp(length, "0") != 0);

	ex->header_handled = true;
	ex->refused = reqparse_check(&frontend->intake, conn, ex->uri, method,
				     version, &ex->refused_not_run);
	if (!ex->refused)
		ex->refused =
			tickets_wanted(ex->uri)
				? check_ticket_request(frontend, ex, method)
				: begin_request(conn, ex, method);
	if (!callers_head_done(frontend->callers, ex->conn,
			       has_body ? ex->req : NULL))
		return MHD_NO;
	if (!has_body)
		return MHD_YES;
	if (ex->refused) {
		refuse_body(ex);
		return MHD_YES;
	}
	if (!ex->req)
		return tickets_answer(conn, frontend->ticket);
	pthread_mutex_lock(&ex->req->lock);
	if (ex->req->stage == REQ_WAITING)
		req_suspend(ex->req);
	pthread_mutex_unlock(&ex->req->lock);
	return MHD_YES;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *bytes,
				  size_t *size, void **state)
{
	struct frontend *frontend = ctx;
	struct exchange *ex = *state;

	(void)url;
	if (!ex || !ex->conn)
		return MHD_NO;
	if (!ex->header_handled)
		return handle_header(frontend, conn, ex, method, version);
	if (ex->discarding_body)
		return discard_body(size);
	if (ex->refused)
		return refuse(conn, ex);
	if (!ex->req)
		return tickets_answer(conn, frontend->ticket);
	return continue_request(frontend, conn, ex, bytes, size);
}

/* Saves the URI before decoding, since it is passed on unchanged. */
static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *conn)
{
	struct exchange *ex = calloc(1, sizeof(*ex));

	if (!ex)
		return NULL;
	ex->frontend = ctx;
	ex->conn = MHD_get_connection_info(conn,
					   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			   ->socket_context;
	ex->uri = strdup(uri);
	if (!ex->uri) {
		free(ex);
		return NULL;
	}
	return ex;
}

static void detach_request(struct frontend *frontend, struct req *req,
			   bool whole)
{
	pthread_mutex_lock(&req->lock);
	req->conn = NULL;
	if (!whole) {
		if (req->stage != REQ_REFUSED)
			req->stage = REQ_BROKEN;
		pipe_close(&req->body, true);
	}
	pthread_mutex_unlock(&req->lock);
	if (!whole) {
		forwarder_resume(frontend->forwarder, req);
		router_caller_gone(frontend->router, req);
	}
	req_put(req);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct exchange *ex = *state;

	(void)conn;
	if (!ex)
		return;
	if (ex->conn)
		callers_await_head(ex->frontend->callers, ex->conn);
	if (ex->req)
		detach_request(ctx, ex->req,
			       code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	free(ex->uri);
	free(ex);
	*state = NULL;
}

static void on_connection(void *ctx, struct MHD_Connection *conn, void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	struct frontend *frontend = ctx;

	switch (code) {
	case MHD_CONNECTION_NOTIFY_STARTED:
		*state = callers_open(
			frontend->callers,
			MHD_get_connection_info(
				conn, MHD_CONNECTION_INFO_CONNECTION_FD)
				->connect_fd);
		break;
	case MHD_CONNECTION_NOTIFY_CLOSED:
		if (*state)
			callers_close(frontend->callers, *state);
		break;
	}
}

/*
 * Time-out of libmicrohttpd, which closes without an answer: longer than the
 * time-outs that are answered here.
 */
static unsigned connection_timeout_s(const struct set_entry *entry)
{
	const uint64_t longest = entry->head_timeout_ms > entry->idle_timeout_ms
					 ? entry->head_timeout_ms
					 : entry->idle_timeout_ms;

	return (unsigned)(longest + MS_PER_S - 1) / MS_PER_S + 1;
}

static struct MHD_Daemon *start_daemon(struct frontend *frontend)
{
	const struct set_entry *entry = &frontend->set->entry;

	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET,
		0, NULL, NULL, on_request, frontend,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)entry->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, connection_timeout_s(entry),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)entry->max_header_bytes + CONNECTION_SPARE_BYTES,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_THREAD_POOL_SIZE,
		entry->threads > 1 ? (unsigned)entry->threads : 0,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, frontend,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, frontend,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, frontend,
		MHD_OPTION_END);
}

static void release(struct frontend *frontend)
{
	if (frontend->gate)
		acceptor_stop(frontend->gate);
	if (frontend->daemon)
		MHD_stop_daemon(frontend->daemon);
	if (frontend->callers)
		callers_destroy(frontend->callers);
	free(frontend);
}

int frontend_start(struct frontend **out, const struct settings *set,
		   const struct clk *clk, struct router *router,
		   struct forwarder *forwarder, struct tkt_agent *ticket)
{
	struct frontend *frontend = calloc(1, sizeof(*frontend));
	int err;

	if (!frontend)
		return PST_ERR_NOMEM;
	frontend->set = set;
	frontend->router = router;
	frontend->forwarder = forwarder;
	frontend->ticket = ticket;
	err = reqparse_init(&frontend->intake, set, clk);
	if (!err)
		err = callers_create(&frontend->callers, set, clk, router,
				     forwarder);
	if (!err)
		frontend->daemon = start_daemon(frontend);
	if (!err && !frontend->daemon)
		err = PST_ERR_HTTP;
	if (!err)
		err = acceptor_start(&frontend->gate, set, clk,
				     frontend->callers, frontend->daemon);
	if (err) {
		release(frontend);
		return err;
	}
	*out = frontend;
	return 0;
}

void frontend_drain(struct frontend *frontend)
{
	frontend->draining = true;
}

void frontend_close_port(struct frontend *frontend)
{
	acceptor_close_port(frontend->gate);
}

void frontend_stop(struct frontend *frontend)
{
	release(frontend);
}
