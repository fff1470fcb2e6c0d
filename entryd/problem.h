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

/* Queues the answer on the connection. */
enum MHD_Result problem_answer(struct MHD_Connection *conn,
			       const struct problem *problem);

#endif
