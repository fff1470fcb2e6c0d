/* Callers of a server on the loopback address, for tests of its connections. */
#ifndef TESTS_FIX_CONN_H
#define TESTS_FIX_CONN_H

#include "steerd/srv.h"

/* Starts a server at a port that the kernel chooses. */
void fix_conn_listen(struct srv *srv);

/*
 * Returns a new caller's descriptor, which does not block; its kernel takes
 * about so many bytes that the caller has not read.
 */
int fix_conn_call(const struct srv *srv, int receive_bytes);

#endif
