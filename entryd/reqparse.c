#include "entryd/reqparse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "common/err.h"
#include "entryd/headcheck.h"
#include "entryd/hdr.h"

static const char *header(struct MHD_Connection *conn, const char *name)
{
	return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

static enum MHD_Result copy_header(void *ctx, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct req *req = ctx;
	const struct str n = str_from_c(name);
	struct curl_slist *grown;
	char *line = NULL;

	(void)kind;
	if (hdr_hop_by_hop(n) || str_eq_nocase(n, STR_LIT("X-Request-Id")) ||
	    str_eq_nocase(n, STR_LIT("X-Deadline-Ms")))
		return MHD_YES;
	if (asprintf(&line, value && *value ? "%s: %s" : "%s;", name, value) <
	    0)
		return MHD_NO;
	grown = curl_slist_append(req->headers, line);
	free(line);
	if (!grown)
		return MHD_NO;
	req->headers = grown;
	return MHD_YES;
}

static void set_id(struct reqparse *reqparse, struct req *req,
		   const char *wanted)
{
	req->number = atomic_fetch_add(&reqparse->next_number, 1);
	if (wanted && hdr_request_id_ok(str_from_c(wanted))) {
		strbuf_set(&req->id, str_from_c(wanted));
		return;
	}
	req->id.len = (uint8_t)snprintf(
		req->id.ptr, sizeof(req->id.ptr), "%016llx-%llu",
		(unsigned long long)reqparse->incarnation,
		(unsigned long long)req->number);
}

static int read_body_length(struct reqparse *reqparse,
			    struct MHD_Connection *conn, struct req *req)
{
	const char *length = header(conn, "Content-Length");
	uint64_t number = 0;

	if (header(conn, "Transfer-Encoding")) {
		req->body_length = -1;
		return 0;
	}
	if (length && str_to_u64(str_from_c(length), &number))
		return PST_ERR_REQ_HEADER;
	if (number > reqparse->set->entry.max_body_bytes)
		return PST_ERR_REQ_TOO_LARGE;
	req->body_length = (int64_t)number;
	if (!number)
		pipe_close(&req->body, false);
	return 0;
}

static int read_headers(struct MHD_Connection *conn, struct req *req)
{
	const char *key = header(conn, "Idempotency-Key");
	const char *deadline = header(conn, "X-Deadline-Ms");
	const char *priority = header(conn, "Priority");
	struct str text;
	int err = 0;

	req->rank = RANK_NORMAL;
	if (priority)
		err = hdr_priority(str_from_c(priority), &req->rank);
	if (!err && deadline)
		err = hdr_deadline(str_from_c(deadline), &req->deadline_ms);
	if (!err && key)
		err = hdr_key(str_from_c(key), TKT_KEY_MAX, &text);
	if (err || !key || req->idempotent)
		return err;
	memcpy(req->key, text.ptr, text.len);
	req->keyed = true;
	return 0;
}

struct head_check {
	struct headcheck headcheck;
	int err;
};

static enum MHD_Result check_field(void *ctx, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct head_check *head_check = ctx;
	const int err = headcheck_field(&head_check->headcheck,
					str_from_c(name), str_from_c(value));

	(void)kind;
	if (!head_check->err)
		head_check->err = err;
	return MHD_YES;
}

int reqparse_check(const struct reqparse *reqparse, struct MHD_Connection *conn,
		   const char *uri, const char *method, const char *version,
		   bool *not_run)
{
	const size_t size =
		MHD_get_connection_info(conn,
					MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
			->header_size;
	struct head_check head_check = {0};
	int err;

	head_check.err =
		headcheck_line(&head_check.headcheck, str_from_c(method),
			       str_from_c(uri), str_from_c(version));
	MHD_get_connection_values(conn, MHD_HEADER_KIND, check_field,
				  &head_check);
	err = headcheck_end(&head_check.headcheck);
	*not_run = headcheck_not_run(&head_check.headcheck);
	if (head_check.err || err)
		return head_check.err ? head_check.err : err;
	if (size > reqparse->set->entry.max_header_bytes)
		return PST_ERR_REQ_HEAD_TOO_LARGE;
	return 0;
}

int reqparse_fill(struct reqparse *reqparse, struct MHD_Connection *conn,
		  struct req *req, const char *uri, const char *method)
{
	struct str rest;
	int err;

	set_id(reqparse, req, header(conn, "X-Request-Id"));
	err = hdr_path(str_from_c(uri), &req->service, &rest);
	if (err)
		return err;
	req->head_only = !strcmp(method, MHD_HTTP_METHOD_HEAD);
	req->idempotent =
		req->head_only || !strcmp(method, MHD_HTTP_METHOD_GET);
	req->method = strdup(method);
	req->target = strndup(rest.ptr, rest.len);
	if (!req->method || !req->target)
		return PST_ERR_NOMEM;
	err = read_headers(conn, req);
	if (!err)
		err = read_body_length(reqparse, conn, req);
	if (err)
		return err;
	MHD_get_connection_values(conn, MHD_HEADER_KIND, copy_header, req);
	req->conn = conn;
	req->caller_fd =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	req->arrived = clk_now(reqparse->clk);
	return 0;
}

int reqparse_init(struct reqparse *reqparse, const struct settings *set,
		  const struct clk *clk)
{
	reqparse->set = set;
	reqparse->clk = clk;
	reqparse->next_number = 1;
	if (getrandom(&reqparse->incarnation, sizeof(reqparse->incarnation),
		      0) < 0)
		return PST_ERR_IO;
	return 0;
}
