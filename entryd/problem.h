/* Refusals as problem details (RFC 9457). */
#ifndef ENTRYD_PROBLEM_H
#define ENTRYD_PROBLEM_H

#include <stdbool.h>

#include <microhttpd.h>

#include "common/str.h"

struct problem {
	unsigned status;
	/* Error number that names the reason. */
	int reason;
	bool not_run;
	/* Empty when the request has no id. */
	struct str request_id;
	/* Ask the caller to leave the connection. */
	bool close;
};

/* Status of an answer to input that is refused for this error. */
unsigned problem_input_status(int err);

/*
 * Writes the answer to a socket, past libmicrohttpd, and ends the sending
 * side. For a connection on which no byte of an answer was written.
 */
void problem_send(int fd, const struct problem *problem);

/* Queues the answer on the connection. */
enum MHD_Result problem_answer(struct MHD_Connection *conn,
			       const struct problem *problem);

#endif
