/* Reads a page of a VM's process. */
#ifndef PSTCTL_FETCH_H
#define PSTCTL_FETCH_H

#include "agent/bodybuf.h"

/*
 * Appends the body that a URL has to out. from is the local address in the
 * form of CURLOPT_INTERFACE. Returns 0, PST_ERR_NOMEM, or PST_ERR_CONNECT if
 * there was no whole answer, or its status is not 200.
 */
int fetch_page(const char *url, const char *from, long timeout_ms,
	       struct bodybuf *out);

#endif
