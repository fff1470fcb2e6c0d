/*
 * What the end of a caller's connection does to its requests and answers: a
 * line for each answer that the caller may not have, and counts for the stop's
 * last line. Part of the server (srv.h).
 */
#ifndef STEERD_CONN_END_H
#define STEERD_CONN_END_H

#include "steerd/conn.h"

/* Notes an answer as the last in the output; call it after adding its bytes. */
void conn_end_track(struct srv_conn *conn, const struct srv_req *req,
		    size_t bytes);

/* Records the end of a connection whose descriptor is still open. */
void conn_end_record(struct srv_conn *conn, enum srv_end end);

/*
 * Takes all requests off the connection: tells the handler of those without an
 * answer. The caller frees each by the function given.
 */
void conn_end_drop(struct srv_conn *conn, enum srv_end end,
		   void (*req_free)(struct srv_req *req));

#endif
