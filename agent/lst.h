/*
 * Reads the platform's list of VMs over HTTP. A list whose answer had an ETag
 * is asked for again with If-None-Match, so that an unchanged one is not sent.
 *
 * Not thread-safe.
 */
#ifndef AGENT_LST_H
#define AGENT_LST_H

#include "common/settings.h"
#include "policy/vml.h"

struct lst;

/* Borrows set. Returns 0 or PST_ERR_NOMEM. */
int lst_create(struct lst **out, const struct settings *set);
void lst_destroy(struct lst *lst);

/*
 * Blocks at most platform.call_timeout_ms. *status is the HTTP status, or 0;
 * with 304 the list is that of the read before. The list is the caller's own.
 * Returns 0 with one reference, PST_ERR_UNAVAILABLE, PST_ERR_INVALID for a
 * malformed list, or PST_ERR_NOMEM.
 */
int lst_read(struct lst *lst, struct vml **out, long *status);

#endif
