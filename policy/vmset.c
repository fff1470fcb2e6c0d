#include "policy/vmset.h"

#include <stdlib.h>
#include <string.h>

/* Time within which a change reaches every VM while the store works. */
#define SPREAD_US 2000000

void vmset_update(struct vmset *set, const struct vms *vms,
		  apr_time_t changed_at, apr_time_t now)
{
	uint64_t *hashes;

	if (!changed_at || set->of_change == changed_at ||
	    now - changed_at < SPREAD_US)
		return;
	set->of_change = changed_at;
	set->count = 0;
	if (!vms->count)
		return;
	hashes = realloc(set->hashes, vms->count * sizeof(*hashes));
	if (!hashes)
		return;
	set->hashes = hashes;
	set->count = vms->count;
	memcpy(hashes, vms->hashes, vms->count * sizeof(*hashes));
}

bool vmset_has(const struct vmset *set, uint64_t vm)
{
	for (size_t i = 0; i < set->count; i++) {
		if (set->hashes[i] == vm)
			return true;
	}
	return false;
}

void vmset_done(struct vmset *set)
{
	free(set->hashes);
	*set = (struct vmset){0};
}
