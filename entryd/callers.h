/*
 * Callers' connections that libmicrohttpd serves, with time-outs for heads and
 * bodies that arrive too slowly.
 *
 * libmicrohttpd closes a slow connection without an answer, and accepts no
 * answer before the body has ended. A caller that is too slow is therefore
 * answered directly on its socket; the connection is shut down CALLERS_LINGER
 * later.
 */
#ifndef ENTRYD_CALLERS_H
#define ENTRYD_CALLERS_H

#include "entryd/problem.h"
#include "entryd/req.h"
#include "entryd/router.h"
#include "entryd/forwarder.h"

/* Time that a caller has to read its final answer. */
#define CALLERS_LINGER CLK_MS(1000)

struct callers;
struct callers_conn;

/* Borrows every argument but out. Returns 0 or PST_ERR_NOMEM. */
int callers_create(struct callers **out, const struct settings *set,
		   const struct clk *clk, struct router *router,
		   struct forwarder *forwarder);

/*
 * To be called once every connection is closed. Waits until the kernel has sent
 * their answers, at most for the callers' idle time-out.
 */
void callers_destroy(struct callers *callers);

/*
 * Adds a new connection, which waits for a head. Returns NULL if out of memory.
 */
struct callers_conn *callers_open(struct callers *callers, int fd);

/* To be called before the connection's descriptor is closed. */
void callers_close(struct callers *callers, struct callers_conn *conn);

/* Number of open connections, also of those whose answer is being sent. */
size_t callers_count(const struct callers *callers);

/* Records that a request has ended and the next head is awaited. */
void callers_await_head(struct callers *callers, struct callers_conn *conn);

/*
 * Records that a head has arrived; returns false if it was too slow. If req is
 * not NULL, its body is awaited, and the reference to req that the HTTP server
 * holds must last until callers_await_head() or callers_close().
 */
bool callers_head_done(struct callers *callers, struct callers_conn *conn,
		       struct req *req);

/*
 * Answers a request whose body is not needed. The rest of the body must be read
 * and discarded; closing with it unread would reset the connection and lose the
 * answer.
 */
void callers_refuse(struct callers *callers, struct callers_conn *conn,
		    const struct problem *problem);

/*
 * Records bytes of the body, or its end. Returns false if the caller was too
 * slow and has been answered; the rest of the body must be discarded.
 */
bool callers_body(struct callers *callers, struct callers_conn *conn,
		  size_t bytes, bool ended);

/* Answers callers that are too slow; called a few times a second. */
void callers_scan(struct callers *callers);

#endif
