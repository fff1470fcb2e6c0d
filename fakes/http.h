/*
 * HTTP server of the fake processes, on libmicrohttpd and the event loop.
 *
 * A request may be answered when its head has arrived, when it is complete, or
 * at any later time, until which its connection is suspended. Everything runs
 * on the loop's thread.
 */
#ifndef FAKES_HTTP_H
#define FAKES_HTTP_H

#include <jansson.h>
#include <microhttpd.h>

#include "common/str.h"
#include "fakes/loop.h"

/* Largest body kept in memory when there is no body callback, in bytes. */
#define HTTPSRV_MAX_BODY 4194304

struct httpsrv;

struct httpsrv_req {
	struct httpsrv *server;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	/* The body received so far when the handler has no body callback. */
	char *body;
	size_t body_len;
	/* Context of the handler. */
	void *user;
	/* Number of the connection, counted from 1. */
	uint64_t conn_number;
	/* The rest is private to the server. */
	struct MHD_Response *response;
	unsigned status;
	bool head_received;
	bool delivered;
	bool suspended;
	bool aborted;
};

struct httpsrv_ops {
	/* The head has arrived; if answered now, the body is not read. */
	void (*head)(void *ctx, struct httpsrv_req *req);
	/* A part of the body has arrived. */
	void (*body)(void *ctx, struct httpsrv_req *req, const char *data,
		     size_t len);
	/* The request is complete; it may be answered now or later. */
	void (*request)(void *ctx, struct httpsrv_req *req);
	/* The request has ended; whole tells whether its answer was sent. */
	void (*end)(void *ctx, struct httpsrv_req *req, bool whole);
};

/*
 * Listens on ip:port. Borrows loop and ops, whose callbacks may be NULL
 * except request. Returns 0, PST_ERR_NOMEM, PST_ERR_IO or PST_ERR_HTTP.
 */
int httpsrv_start(struct httpsrv **out, struct evloop *loop, struct str ip,
		  uint16_t port, const struct httpsrv_ops *ops, void *ctx);

/* No request may be suspended any more; NULL is allowed. */
void httpsrv_stop(struct httpsrv *server);

/* Returns the header's value, or an empty string. */
struct str httpsrv_header(const struct httpsrv_req *req, const char *name);

/* Returns the argument of the query string, or fallback. */
uint64_t httpsrv_query_u64(const struct httpsrv_req *req, const char *name,
			   uint64_t fallback);

/* Resumes a connection that a streamed answer has suspended. */
void httpsrv_resume(struct httpsrv *server, struct MHD_Connection *conn);

/* Returns whether the client has closed its side of the connection. */
bool httpsrv_client_closed(const struct httpsrv_req *req);

/* Answers; takes over response. */
void httpsrv_answer(struct httpsrv_req *req, unsigned status,
		    struct MHD_Response *response);

/* Answers with JSON; takes over root. */
void httpsrv_answer_json(struct httpsrv_req *req, unsigned status,
			 json_t *root);

/* Makes a response that copies body. */
struct MHD_Response *httpsrv_response(struct str body, const char *type);

/* Closes the connection without an answer. */
void httpsrv_abort(struct httpsrv_req *req);

#endif
