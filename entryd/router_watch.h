/* Periodic checks of the routing thread on each request. */
#ifndef ENTRYD_ROUTER_WATCH_H
#define ENTRYD_ROUTER_WATCH_H

#include "entryd/req.h"

/*
 * Whether the deadline has passed; returns true only once. While the body is
 * being uploaded, the deadline is put off: it counts from the end of the
 * upload.
 */
bool router_deadline_passed(struct req *req, apr_time_t now);

/* Whether the caller has closed its connection, while it is suspended. */
bool router_caller_disconnected(struct req *req);

#endif
