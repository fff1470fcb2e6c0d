/*
 * Pace of callers: the connections that libmicrohttpd serves, and what each
 * one's caller owes.
 *
 * libmicrohttpd closes a slow connection without an answer, and takes no
 * answer before a body has ended. A caller that is too slow is therefore
 * answered on its socket; the connection is shut down PAC_LINGER later.
 */
#ifndef ENTRYD_PAC_H
#define ENTRYD_PAC_H

#include "entryd/problem.h"
#include "entryd/req.h"
#include "entryd/route.h"
#include "entryd/ups.h"

/* Time that a caller has to read its last answer. */
#define PAC_LINGER CLK_MS(1000)

struct pac;
struct pac_conn;

/* Borrows all but out. Returns 0 or PST_ERR_NOMEM. */
int pac_create(struct pac **out, const struct settings *set,
	       const struct clk *clk, struct rte *rte, struct ups *ups);

/* Only when every connection was closed. */
void pac_destroy(struct pac *pac);

/* A connection began, on whose socket a head is due. NULL without memory. */
struct pac_conn *pac_open(struct pac *pac, int fd);
void pac_close(struct pac *pac, struct pac_conn *conn);

/* Connections that are open. */
size_t pac_count(const struct pac *pac);

/* The next head is due; the request before it has ended. */
void pac_await_head(struct pac *pac, struct pac_conn *conn);

/*
 * The head is here; false if it was too slow. The body of req is due if req
 * is not NULL; the caller's side keeps its reference until
 * pac_await_head() or pac_close().
 */
bool pac_head_done(struct pac *pac, struct pac_conn *conn, struct req *req);

/*
 * Answers a request whose body is due and not wanted. What still comes of it
 * is to be read and dropped, lest the answer be reset.
 */
void pac_refuse(struct pac *pac, struct pac_conn *conn,
		const struct problem *problem);

/*
 * Bytes of the body were taken, or it has ended. Returns false when the
 * caller was too slow and has been answered; what still comes is dropped.
 */
bool pac_body(struct pac *pac, struct pac_conn *conn, size_t bytes, bool ended);

/* Answers those that are too slow; called a few times a second. */
void pac_scan(struct pac *pac);

#endif
