/*
 * A list of upstreams for "config check": {"regions": {DOMAIN: REGION, ...},
 * "servers": {ID: ENTRY, ...}}, with entries as in the metadata store. A domain
 * that regions leaves out is a region of its own name.
 */
#ifndef PSTCTL_UPFILE_H
#define PSTCTL_UPFILE_H

#include <jansson.h>

#include "policy/manifestcheck.h"

#define UPFILE_REASON_MAX 160

/* Zeroed memory is an empty list. */
struct upfile {
	struct manifestcheck_upstreams ups;
	/* Holds the strings. */
	json_t *doc;
};

/*
 * Reads a list. Returns 0, or PST_ERR_INVALID or PST_ERR_NOMEM with the
 * reason in reason[UPFILE_REASON_MAX].
 */
int upfile_read(struct str text, struct upfile *out, char *reason);
void upfile_free(struct upfile *upfile);

#endif
