/* Log lines and counters of requests that end unanswered, and of a stop. */
#ifndef STEERD_STOPLOG_H
#define STEERD_STOPLOG_H

#include "steerd/st.h"

/* Sets the id that names a request in log lines: its caller's, cut. */
void stoplog_set_id(struct srv_req *req, struct str id);

/* Records a request that ends unanswered, whether it was passed on or not. */
void stoplog_request_cut(const struct st *st, struct srv_req *req,
			 enum srv_end end);

/* Logs what a server's callers have open when a stop begins to end it. */
void stoplog_drain(const struct srv *srv);

/* Logs the end of the process, after srv_close(). */
void stoplog_exit(const struct st *st);

#endif
