/* What the deciding thread looks at in each request from time to time. */
#ifndef ENTRYD_ROUTE_WATCH_H
#define ENTRYD_ROUTE_WATCH_H

#include "entryd/req.h"

/*
 * Whether the deadline has passed; true once. An upload takes as long as it
 * takes: its deadline starts at its end.
 */
bool rte_deadline_passed(struct req *req, apr_time_t now);

/* Whether the caller has closed its connection while it is suspended. */
bool rte_caller_lost(struct req *req);

#endif
