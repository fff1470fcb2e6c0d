/* Refusals as problem details (RFC 9457). */
#ifndef ENTRYD_PROBLEM_H
#define ENTRYD_PROBLEM_H

#include <stdbool.h>

#include <microhttpd.h>

#include "common/str.h"

struct problem {
	unsigned status;
	/* Error number; its name is the reason in the body. */
	int reason;
	/* The request certainly did not run. */
	bool not_run;
	/* Empty when the request has no id. */
	struct str request_id;
	/* Asks the caller to close the connection. */
	bool close;
};

/* Returns the HTTP status for input refused with this error. */
unsigned problem_input_status(int err);

/*
 * Writes the answer to a socket directly, bypassing libmicrohttpd, and shuts
 * down the sending direction. Only for a connection on which no byte of an
 * answer to this request was written.
 */
void problem_send(int fd, const struct problem *problem);

/* Queues the answer on the connection. */
enum MHD_Result problem_answer(struct MHD_Connection *conn,
			       const struct problem *problem);

#endif
