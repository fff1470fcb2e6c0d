#include "lookupd/lookupsrv.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <microhttpd.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/net.h"
#include "lookupd/snap.h"

#define LOG_MODULE "lookup"

/* Most connections open at once, and time after which idle ones are closed. */
#define MAX_CONNECTIONS 4096
#define IDLE_TIMEOUT_S	30

/* Memory for the request and answer of a connection, in bytes. */
#define CONNECTION_MEMORY 8192

/* Longest block of clients, in bytes. */
#define BLOCK_MAX 255

/* Time between two checks for unfinished requests while stopping. */
#define STOP_POLL_MS 10

/*
 * Longest time in which a stop leaves connections open for a next look-up,
 * whose answer closes them: callers cannot know that an idle one will close.
 */
#define STOP_GRACE  CLK_MS(500)

#define PROBLEM_MAX 256

struct lookupsrv {
	const struct settings *set;
	const struct clk *clk;
	struct snap *snap;
	struct MHD_Daemon *daemon;
	int fd;
	atomic_uint in_progress;
	atomic_bool stopping;
	struct ctr *answered;
	struct ctr *refused;
};

static enum MHD_Result send_text(struct lookupsrv *lookupsrv,
				 struct MHD_Connection *conn, unsigned status,
				 const char *type, const char *text, size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	MHD_add_response_header(response, "Content-Type", type);
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(response, "Retry-After", "1");
	if (lookupsrv->stopping)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return result;
}

static unsigned status_of(int err)
{
	switch (err) {
	case PST_ERR_LOOKUP_BLOCK:
		return MHD_HTTP_BAD_REQUEST;
	case PST_ERR_LOOKUP_SERVICE:
		return MHD_HTTP_NOT_FOUND;
	case PST_ERR_LOOKUP_METHOD:
		return MHD_HTTP_METHOD_NOT_ALLOWED;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

static enum MHD_Result refuse(struct lookupsrv *lookupsrv,
			      struct MHD_Connection *conn, int err)
{
	const unsigned status = status_of(err);
	char text[PROBLEM_MAX];
	const int len =
		snprintf(text, sizeof(text),
			 "{\"type\":\"about:blank\",\"title\":\"%s\","
			 "\"status\":%u,\"run\":\"no\",\"reason\":\"%s\"}",
			 err_text(err), status, err_name(err));

	ctr_add(lookupsrv->refused, 1);
	return send_text(lookupsrv, conn, status, "application/problem+json",
			 text, (size_t)len);
}

static int build_answer(struct lookupsrv *lookupsrv, struct str service,
			struct str block, char *out, size_t *len)
{
	const struct entrymap *entrymap = snap_current(lookupsrv->snap);
	int err;

	if (!block.len || block.len > BLOCK_MAX)
		return PST_ERR_LOOKUP_BLOCK;
	if (!entrymap)
		return PST_ERR_LOOKUP_NO_VIEW;
	err = entrymap_answer(entrymap, service, block, out, len);
	if (err == PST_ERR_NOTFOUND)
		return PST_ERR_LOOKUP_SERVICE;
	if (err)
		return PST_ERR_LOOKUP_NO_VM;
	return 0;
}

static void log_choice(const struct lookupsrv *lookupsrv, struct str service,
		       struct str block)
{
	const struct entrymap *entrymap = snap_current(lookupsrv->snap);
	uint32_t picked[ENTRYMAP_CHOICES];
	char vms[ENTRYMAP_CHOICES * (STR_ID_MAX + 1) + 1] = "";
	size_t used = 0;
	const size_t count = entrymap_pick(entrymap, block, picked);

	for (size_t i = 0; i < count; i++)
		used += (size_t)snprintf(
			vms + used, sizeof(vms) - used, "%s%.*s", i ? "," : "",
			STR_ARG(entrymap_vm_id(entrymap, picked[i])));
	evt_log(LOOKUP_CHOSEN,
		"service=%.*s block=%.*s vms=%s among=%zu "
		"why=own_region_first,separate_domains,block_hash",
		STR_ARG(service), STR_ARG(block), vms,
		entrymap_vm_count(entrymap));
}

static struct str query_argument(struct MHD_Connection *conn, const char *name)
{
	return str_from_c(
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name));
}

static enum MHD_Result look_up(struct lookupsrv *lookupsrv,
			       struct MHD_Connection *conn)
{
	const struct str service = query_argument(conn, "service");
	const struct str block = query_argument(conn, "block");
	char text[ENTRYMAP_ANSWER_MAX];
	size_t len = 0;
	const int err = build_answer(lookupsrv, service, block, text, &len);

	if (err) {
		evt_log(LOOKUP_REFUSED, "service=%.*s block=%.*s err=%s",
			STR_ARG(service), STR_ARG(block), err_name(err));
		return refuse(lookupsrv, conn, err);
	}
	ctr_add(lookupsrv->answered, 1);
	log_choice(lookupsrv, service, block);
	return send_text(lookupsrv, conn, MHD_HTTP_OK, "application/json", text,
			 len);
}

/* Called at the end of a request's head, for body data, and at its end. */
static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **state)
{
	struct lookupsrv *lookupsrv = ctx;

	(void)version;
	(void)upload;
	if (!*state) {
		*state = lookupsrv;
		atomic_fetch_add(&lookupsrv->in_progress, 1);
		return MHD_YES;
	}
	if (*upload_size) {
		*upload_size = 0;
		return MHD_YES;
	}
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0 ||
	    strcmp(url, "/v1/lookup") != 0)
		return refuse(lookupsrv, conn, PST_ERR_LOOKUP_METHOD);
	return look_up(lookupsrv, conn);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct lookupsrv *lookupsrv = ctx;

	(void)conn;
	(void)code;
	if (*state)
		atomic_fetch_sub(&lookupsrv->in_progress, 1);
	*state = NULL;
}

static int start_daemon(struct lookupsrv *lookupsrv)
{
	lookupsrv->fd = net_listen(lookupsrv->set->vm.address,
				   (uint16_t)lookupsrv->set->lookup.port);
	if (lookupsrv->fd < 0)
		return lookupsrv->fd;
	lookupsrv->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC, 0, NULL, NULL,
		on_request, lookupsrv, MHD_OPTION_LISTEN_SOCKET, lookupsrv->fd,
		MHD_OPTION_THREAD_POOL_SIZE,
		(unsigned)lookupsrv->set->lookup.threads,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, lookupsrv,
		MHD_OPTION_END);
	if (lookupsrv->daemon)
		return 0;
	close(lookupsrv->fd);
	return PST_ERR_HTTP;
}

int lookupsrv_start(struct lookupsrv **out, const struct settings *set,
		    const struct clk *clk, struct ctl_agent *ctl)
{
	struct lookupsrv *lookupsrv = calloc(1, sizeof(*lookupsrv));
	int err;

	if (!lookupsrv)
		return PST_ERR_NOMEM;
	lookupsrv->set = set;
	lookupsrv->clk = clk;
	lookupsrv->answered = ctr_get("pst_lookup_answered_total", "",
				      "Look-ups answered with entry VMs.");
	lookupsrv->refused =
		ctr_get("pst_lookup_refused_total", "", "Look-ups refused.");
	err = snap_start(&lookupsrv->snap, set, ctl);
	if (!err)
		err = start_daemon(lookupsrv);
	if (err) {
		snap_stop(lookupsrv->snap);
		free(lookupsrv);
		return err;
	}
	*out = lookupsrv;
	return 0;
}

static bool has_connections(const struct lookupsrv *lookupsrv)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		lookupsrv->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info && info->num_connections;
}

/* Whether a look-up is in progress, or may still come within the grace. */
static bool awaits_lookups(const struct lookupsrv *lookupsrv,
			   apr_interval_time_t elapsed)
{
	return atomic_load(&lookupsrv->in_progress) ||
	       (elapsed < STOP_GRACE && has_connections(lookupsrv));
}

void lookupsrv_stop(struct lookupsrv *lookupsrv, apr_interval_time_t timeout)
{
	apr_interval_time_t elapsed = 0;
	apr_time_t began;
	int fd;

	if (!lookupsrv)
		return;
	began = clk_now(lookupsrv->clk);
	lookupsrv->stopping = true;
	fd = MHD_quiesce_daemon(lookupsrv->daemon);
	while (elapsed < timeout && awaits_lookups(lookupsrv, elapsed)) {
		usleep(STOP_POLL_MS * 1000);
		elapsed = clk_now(lookupsrv->clk) - began;
	}
	MHD_stop_daemon(lookupsrv->daemon);
	if (fd >= 0)
		close(fd);
	snap_stop(lookupsrv->snap);
	free(lookupsrv);
}
