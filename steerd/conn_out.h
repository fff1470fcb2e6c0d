/*
 * The output of a caller's connection, and the quota of answers that wait for
 * their callers. Part of the server (srv.h).
 */
#ifndef STEERD_CONN_OUT_H
#define STEERD_CONN_OUT_H

#include "steerd/conn.h"

/* Writes an answer into its request. */
void conn_out_write(struct srv_req *req, unsigned status, struct str reason,
		    struct str fields, struct str body);

/* Moves a request's answer to the output. Returns 0 or PST_ERR_NOMEM. */
int conn_out_add(struct srv_conn *conn, struct srv_req *req);

/* Drops bytes that were written. */
void conn_out_written(struct srv_conn *conn, size_t count);

/*
 * Whether the caller's kernel has taken a part of what this VM's kernel still
 * sends, since the last call.
 */
bool conn_out_is_taken(struct srv_conn *conn);

void conn_out_free(struct srv_conn *conn);

/* Updates the quota after a change of the output or of the answered requests.
 */
void conn_out_account(struct srv_conn *conn);

/* Closes other connections until what waits fits the hard limit. */
void conn_out_enforce(struct srv_conn *conn);

#endif
