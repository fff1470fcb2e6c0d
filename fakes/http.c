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

struct fht {
	struct flp *loop;
	struct MHD_Daemon *daemon;
	const struct fht_ops *ops;
	void *ctx;
	struct flp_fd epoll;
	struct flp_timer run_timer;
	uint64_t conn_count;
};

static struct fht *server_of(void *member, size_t offset)
{
	return (struct fht *)(void *)((char *)member - offset);
}

static void run_daemon(struct fht *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &wait_ms) != MHD_YES)
		return;
	flp_timer_set(server->loop, &server->run_timer,
		      flp_now(server->loop) + CLK_MS(wait_ms));
}

static void on_ready(struct flp_fd *fd, uint32_t events)
{
	(void)events;
	run_daemon(server_of(fd, offsetof(struct fht, epoll)));
}

static void on_run_timer(struct flp_timer *timer)
{
	run_daemon(server_of(timer, offsetof(struct fht, run_timer)));
}

/* libmicrohttpd frees the socket's context with the connection. */
static void on_connection(void *cls, struct MHD_Connection *conn,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct fht *server = cls;

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

static struct fht_req *make_req(struct fht *server, struct MHD_Connection *conn,
				const char *method, const char *path)
{
	struct fht_req *req = calloc(1, sizeof(*req));

	if (!req)
		return NULL;
	req->server = server;
	req->conn = conn;
	req->method = strdup(method);
	req->path = strdup(path);
	req->conn_number = conn_number(conn);
	return req;
}

static enum MHD_Result send_answer(struct fht_req *req)
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

static void append_body(struct fht_req *req, const char *data, size_t len)
{
	char *grown;

	if (req->body_len + len > FHT_MAX_BODY) {
		fht_abort(req);
		return;
	}
	grown = realloc(req->body, req->body_len + len + 1);
	if (!grown) {
		fht_abort(req);
		return;
	}
	memcpy(grown + req->body_len, data, len);
	req->body = grown;
	req->body_len += len;
	req->body[req->body_len] = '\0';
}

static void take_body(struct fht *server, struct fht_req *req, const char *data,
		      size_t *len)
{
	if (server->ops->body)
		server->ops->body(server->ctx, req, data, *len);
	else
		append_body(req, data, *len);
	*len = 0;
}

static enum MHD_Result on_head(struct fht *server, struct fht_req *req)
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
	struct fht *server = cls;
	struct fht_req *req = *slot;

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
	struct fht *server = cls;
	struct fht_req *req = *slot;

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

static int start_daemon(struct fht *server, int fd)
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
	return flp_watch(server->loop, &server->epoll, EPOLLIN);
}

int fht_start(struct fht **out, struct flp *loop, struct str ip, uint16_t port,
	      const struct fht_ops *ops, void *ctx)
{
	struct fht *server;
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

void fht_stop(struct fht *server)
{
	if (!server)
		return;
	flp_timer_clear(server->loop, &server->run_timer);
	flp_unwatch(server->loop, &server->epoll);
	MHD_stop_daemon(server->daemon);
	free(server);
}

struct str fht_header(const struct fht_req *req, const char *name)
{
	return str_from_c(
		MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name));
}

uint64_t fht_query_u64(const struct fht_req *req, const char *name,
		       uint64_t fallback)
{
	const char *text = MHD_lookup_connection_value(
		req->conn, MHD_GET_ARGUMENT_KIND, name);
	uint64_t value;

	if (!text || str_to_u64(str_from_c(text), &value))
		return fallback;
	return value;
}

void fht_resume(struct fht *server, struct MHD_Connection *conn)
{
	MHD_resume_connection(conn);
	flp_timer_set(server->loop, &server->run_timer, flp_now(server->loop));
}

bool fht_client_closed(const struct fht_req *req)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		req->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;

	return info &&
	       recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void fht_answer(struct fht_req *req, unsigned status,
		struct MHD_Response *response)
{
	req->status = status;
	req->response = response;
	if (!req->suspended)
		return;
	req->suspended = false;
	fht_resume(req->server, req->conn);
}

struct MHD_Response *fht_response(struct str body, const char *type)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		body.len, (void *)(uintptr_t)body.ptr, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	return response;
}

void fht_answer_json(struct fht_req *req, unsigned status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (!text) {
		fht_abort(req);
		return;
	}
	fht_answer(req, status,
		   fht_response(str_from_c(text), "application/json"));
	free(text);
}

void fht_abort(struct fht_req *req)
{
	req->aborted = true;
	if (!req->suspended)
		return;
	req->suspended = false;
	fht_resume(req->server, req->conn);
}
