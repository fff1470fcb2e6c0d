#include "fakes/http.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/err.h"
#include "common/net.h"

#define CONNECTION_MEMORY_BYTES 65536
#define CONNECTION_LIMIT	8192

struct httpsrv {
	struct evloop *loop;
	struct MHD_Daemon *daemon;
	const struct httpsrv_ops *ops;
	void *ctx;
	struct evloop_fd epoll;
	struct evloop_timer run_timer;
	uint64_t conn_count;
};

static struct httpsrv *server_of(void *member, size_t offset)
{
	return (struct httpsrv *)(void *)((char *)member - offset);
}

static void run_daemon(struct httpsrv *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &wait_ms) != MHD_YES)
		return;
	evloop_timer_set(server->loop, &server->run_timer,
			 evloop_now(server->loop) + CLK_MS(wait_ms));
}

static void on_ready(struct evloop_fd *fd, uint32_t events)
{
	(void)events;
	run_daemon(server_of(fd, offsetof(struct httpsrv, epoll)));
}

static void on_run_timer(struct evloop_timer *timer)
{
	run_daemon(server_of(timer, offsetof(struct httpsrv, run_timer)));
}

/* libmicrohttpd frees the socket's context with the connection. */
static void on_connection(void *cls, struct MHD_Connection *conn,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct httpsrv *server = cls;

	(void)conn;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*socket_ctx = (void *)(uintptr_t)++server->conn_count;
}

static uint64_t conn_number(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? (uint64_t)(uintptr_t)info->socket_context : 0;
}

static struct httpsrv_req *make_req(struct httpsrv *server,
				    struct MHD_Connection *conn,
				    const char *method, const char *path)
{
	struct httpsrv_req *req = calloc(1, sizeof(*req));

	if (!req)
		return NULL;
	req->server = server;
	req->conn = conn;
	req->method = strdup(method);
	req->path = strdup(path);
	req->conn_number = conn_number(conn);
	return req;
}

static enum MHD_Result send_answer(struct httpsrv_req *req)
{
	struct MHD_Response *response = req->response;
	enum MHD_Result result;

	if (req->aborted)
		return MHD_NO;
	result = MHD_queue_response(req->conn, req->status, response);
	MHD_destroy_response(response);
	req->response = NULL;
	return result;
}

static void append_body(struct httpsrv_req *req, const char *data, size_t len)
{
	char *grown;

	if (req->body_len + len > HTTPSRV_MAX_BODY) {
		httpsrv_abort(req);
		return;
	}
	grown = realloc(req->body, req->body_len + len + 1);
	if (!grown) {
		httpsrv_abort(req);
		return;
	}
	memcpy(grown + req->body_len, data, len);
	req->body = grown;
	req->body_len += len;
	req->body[req->body_len] = '\0';
}

static void take_body(struct httpsrv *server, struct httpsrv_req *req,
		      const char *data, size_t *len)
{
	if (server->ops->body)
		server->ops->body(server->ctx, req, data, *len);
	else
		append_body(req, data, *len);
	*len = 0;
}

static enum MHD_Result on_head(struct httpsrv *server, struct httpsrv_req *req)
{
	req->head_received = true;
	if (server->ops->head)
		server->ops->head(server->ctx, req);
	if (req->response || req->aborted)
		return send_answer(req);
	return MHD_YES;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
				 const char *path, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **slot)
{
	struct httpsrv *server = cls;
	struct httpsrv_req *req = *slot;

	(void)version;
	if (!req) {
		req = make_req(server, conn, method, path);
		*slot = req;
		return req ? on_head(server, req) : MHD_NO;
	}
	if (*len) {
		take_body(server, req, data, len);
		return req->aborted ? MHD_NO : MHD_YES;
	}
	if (!req->delivered) {
		req->delivered = true;
		server->ops->request(server->ctx, req);
	}
	if (req->response || req->aborted)
		return send_answer(req);
	req->suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **slot,
			 enum MHD_RequestTerminationCode code)
{
	struct httpsrv *server = cls;
	struct httpsrv_req *req = *slot;

	(void)conn;
	if (!req)
		return;
	if (server->ops->end)
		server->ops->end(server->ctx, req,
				 code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	if (req->response)
		MHD_destroy_response(req->response);
	free(req->method);
	free(req->path);
	free(req->body);
	free(req);
	*slot = NULL;
}

static int start_daemon(struct httpsrv *server, int fd)
{
	const union MHD_DaemonInfo *info;

	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_access, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (!server->daemon) {
		close(fd);
		return PST_ERR_HTTP;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->epoll.fd = info->epoll_fd;
	server->epoll.ready = on_ready;
	server->run_timer.fire = on_run_timer;
	return evloop_watch(server->loop, &server->epoll, EPOLLIN);
}

int httpsrv_start(struct httpsrv **out, struct evloop *loop, struct str ip,
		  uint16_t port, const struct httpsrv_ops *ops, void *ctx)
{
	struct httpsrv *server;
	const int fd = net_listen(ip, port);
	int err;

	if (fd < 0)
		return fd;
	server = calloc(1, sizeof(*server));
	if (!server) {
		close(fd);
		return PST_ERR_NOMEM;
	}
	server->loop = loop;
	server->ops = ops;
	server->ctx = ctx;
	err = start_daemon(server, fd);
	if (err) {
		free(server);
		return err;
	}
	*out = server;
	return 0;
}

void httpsrv_stop(struct httpsrv *server)
{
	if (!server)
		return;
	evloop_timer_clear(server->loop, &server->run_timer);
	evloop_unwatch(server->loop, &server->epoll);
	MHD_stop_daemon(server->daemon);
	free(server);
}

struct str httpsrv_header(const struct httpsrv_req *req, const char *name)
{
	return str_from_c(
		MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name));
}

uint64_t httpsrv_query_u64(const struct httpsrv_req *req, const char *name,
			   uint64_t fallback)
{
	const char *text = MHD_lookup_connection_value(
		req->conn, MHD_GET_ARGUMENT_KIND, name);
	uint64_t value;

	if (!text || str_to_u64(str_from_c(text), &value))
		return fallback;
	return value;
}

void httpsrv_resume(struct httpsrv *server, struct MHD_Connection *conn)
{
	MHD_resume_connection(conn);
	evloop_timer_set(server->loop, &server->run_timer,
			 evloop_now(server->loop));
}

bool httpsrv_client_closed(const struct httpsrv_req *req)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		req->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;

	return info &&
	       recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void httpsrv_answer(struct httpsrv_req *req, unsigned status,
		    struct MHD_Response *response)
{
	req->status = status;
	req->response = response;
	if (!req->suspended)
		return;
	req->suspended = false;
	httpsrv_resume(req->server, req->conn);
}

struct MHD_Response *httpsrv_response(struct str body, const char *type)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		body.len, (void *)(uintptr_t)body.ptr, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	return response;
}

void httpsrv_answer_json(struct httpsrv_req *req, unsigned status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (!text) {
		httpsrv_abort(req);
		return;
	}
	httpsrv_answer(req, status,
		       httpsrv_response(str_from_c(text), "application/json"));
	free(text);
}

void httpsrv_abort(struct httpsrv_req *req)
{
	req->aborted = true;
	if (!req->suspended)
		return;
	req->suspended = false;
	httpsrv_resume(req->server, req->conn);
}
