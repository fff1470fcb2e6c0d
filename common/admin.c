#include "common/admin.h"

#include <stdlib.h>
#include <string.h>

#include <microhttpd.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/net.h"
#include "common/rpcs.h"

/* Longest response of /explain, in bytes. */
#define EXPLAIN_MAX_BYTES 262144

#define MAX_CONNECTIONS	  64
#define IDLE_TIMEOUT_S	  10

struct admin {
	const struct settings *set;
	struct MHD_Daemon *daemon;
};

static enum MHD_Result send_response(struct MHD_Connection *conn,
				     unsigned status, char *text, size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	if (!response) {
		free(text);
		return MHD_NO;
	}
	MHD_add_response_header(response, "Content-Type", "text/plain");
	result = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result send_line(struct MHD_Connection *conn, unsigned status,
				 const char *line)
{
	char *text = strdup(line);

	return text ? send_response(conn, status, text, strlen(text)) : MHD_NO;
}

static enum MHD_Result send_metrics(struct MHD_Connection *conn)
{
	size_t len = 0;
	char *text = ctr_render(&len);

	return text ? send_response(conn, MHD_HTTP_OK, text, len) : MHD_NO;
}

static enum MHD_Result send_explain(struct MHD_Connection *conn)
{
	const char *id =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "id");
	char *text;
	size_t len;

	if (!id || !*id)
		return send_line(conn, MHD_HTTP_BAD_REQUEST, "id is missing\n");
	text = malloc(EXPLAIN_MAX_BYTES);
	if (!text)
		return MHD_NO;
	len = evt_recent(str_from_c(id), text, EXPLAIN_MAX_BYTES);
	return send_response(conn, MHD_HTTP_OK, text, len);
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *conn,
			      const char *url, const char *method,
			      const char *version, const char *upload,
			      size_t *upload_size, void **state)
{
	(void)ctx;
	(void)version;
	(void)upload;
	(void)upload_size;
	(void)state;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return send_line(conn, MHD_HTTP_METHOD_NOT_ALLOWED,
				 "GET only\n");
	if (!strcmp(url, "/metrics"))
		return send_metrics(conn);
	if (!strcmp(url, "/health"))
		return send_line(conn, MHD_HTTP_OK, "ok\n");
	if (!strcmp(url, "/explain"))
		return send_explain(conn);
	return send_line(conn, MHD_HTTP_NOT_FOUND, "no such page\n");
}

static enum MHD_Result accept_peer(void *ctx, const struct sockaddr *addr,
				   socklen_t len)
{
	const struct admin *admin = ctx;
	struct net_addr peer = {.len = len};
	struct strbuf ip;

	memcpy(&peer.ss, addr, len);
	net_addr_ip(&peer, &ip);
	if (str_eq(strbuf_str(&ip), admin->set->vm.address))
		return MHD_YES;
	return rpcs_peer_listed(admin->set, strbuf_str(&ip)) ? MHD_YES : MHD_NO;
}

int admin_start(struct admin **out, const struct settings *set, uint16_t port)
{
	struct admin *admin = calloc(1, sizeof(*admin));
	struct net_addr addr;

	if (!admin)
		return PST_ERR_NOMEM;
	admin->set = set;
	if (net_addr_make(&addr, set->vm.address, port)) {
		free(admin);
		return PST_ERR_HTTP;
	}
	admin->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD |
			(addr.ss.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0),
		port, accept_peer, admin, handle, admin, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&addr.ss, MHD_OPTION_CONNECTION_LIMIT,
		MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_END);
	if (!admin->daemon) {
		free(admin);
		return PST_ERR_HTTP;
	}
	*out = admin;
	return 0;
}

void admin_stop(struct admin *admin)
{
	if (!admin)
		return;
	MHD_stop_daemon(admin->daemon);
	free(admin);
}
