/*
 * Reads the platform's list of VMs over HTTP. After an answer with an ETag, the
 * next read uses If-None-Match, so that an unchanged list is not sent again.
 *
 * Not thread-safe.
 */
#ifndef AGENT_VMREADER_H
#define AGENT_VMREADER_H

#include "common/settings.h"
#include "policy/vmlist.h"

struct vmreader;

/* Borrows set. Returns 0 or PST_ERR_NOMEM. */
int vmreader_create(struct vmreader **out, const struct settings *set);
void vmreader_destroy(struct vmreader *vmreader);

/*
 * Blocks at most platform.call_timeout_ms. *status is the HTTP status, or 0
 * without an answer; with 304, *out is a copy of the last list. The caller may
 * change *out, and releases it with vmlist_put(). Returns 0,
 * PST_ERR_UNAVAILABLE, PST_ERR_INVALID for a malformed list, or PST_ERR_NOMEM.
 */
int vmreader_fetch(struct vmreader *vmreader, struct vmlist **out,
		   long *status);

#endif
