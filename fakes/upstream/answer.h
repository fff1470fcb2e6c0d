/* Answers of an upstream: echo, downloads, refusals and control requests. */
#ifndef FAKES_UPSTREAM_ANSWER_H
#define FAKES_UPSTREAM_ANSWER_H

#include "fakes/upstream/upsim.h"

/* Refuses a request; the header X-Not-Run tells that it was not run. */
void answer_shed(struct upsim *work, struct httpsrv_req *req,
		 const char *reason);

/* Answers the control paths /load and /fake/...; returns false for others. */
bool answer_control(struct upsim *work, struct httpsrv_req *req);

#endif
