/* Turns the head of a caller's HTTP request into a struct req. */
#ifndef ENTRYD_REQPARSE_H
#define ENTRYD_REQPARSE_H

#include "entryd/req.h"

/* Converter from heads to requests; also numbers the requests. */
struct reqparse {
	const struct settings *set;
	const struct clk *clk;
	atomic_uint_fast64_t next_number;
	/* Random, so that request ids of two processes differ. */
	uint64_t incarnation;
};

/* Borrows set and clk. Returns 0 or PST_ERR_IO. */
int reqparse_init(struct reqparse *reqparse, const struct settings *set,
		  const struct clk *clk);

/*
 * Checks that the head is well-formed and not too large. Returns 0 or the
 * error; *not_run tells whether the request certainly did not run.
 */
int reqparse_check(const struct reqparse *reqparse, struct MHD_Connection *conn,
		   const char *uri, const char *method, const char *version,
		   bool *not_run);

/*
 * Fills in everything that the routing thread needs. Returns 0,
 * PST_ERR_NOMEM, PST_ERR_REQ_PATH, _HEADER or _TOO_LARGE.
 */
int reqparse_fill(struct reqparse *reqparse, struct MHD_Connection *conn,
		  struct req *req, const char *uri, const char *method);

#endif
