/* Answers of an upstream: echo, downloads, refusals, reports and orders. */
#ifndef FAKES_UPSTREAM_ANSWER_H
#define FAKES_UPSTREAM_ANSWER_H

#include "fakes/upstream/work.h"

/* Refuses with proof that the request was not run. */
void ans_shed(struct wrk *work, struct fht_req *req, const char *reason);

/* Answers /load and /fake/...; returns false for other paths. */
bool ans_own(struct wrk *work, struct fht_req *req);

#endif
