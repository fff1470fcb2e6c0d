/* Reads the platform's list of VMs over HTTP. */
#ifndef AGENT_LST_H
#define AGENT_LST_H

#include "common/settings.h"
#include "policy/vml.h"

/*
 * Blocks at most platform.call_timeout_ms. *status is the HTTP status, or 0.
 * Returns 0 with one reference, PST_ERR_UNAVAILABLE, PST_ERR_INVALID for a
 * malformed list, or PST_ERR_NOMEM.
 */
int lst_read(const struct settings *set, struct vml **out, long *status);

#endif
