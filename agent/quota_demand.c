#include "agent/quota_demand.h"

#include <stdlib.h>

static int region_of(const struct tbl *tbl, const struct vm *vm)
{
	return tbl_region_find(tbl, strbuf_str(&vm->region));
}

static int domain_of(const struct tbl *tbl, const struct vm *vm)
{
	return tbl_domain_find(tbl, strbuf_str(&vm->domain));
}

static double *
count_parts(const struct tbl *tbl, const struct vmlist *vmlist, size_t places,
	    int (*place)(const struct tbl *tbl, const struct vm *vm))
{
	double *parts = calloc(places + 1, sizeof(*parts));
	double total = 0;

	for (size_t i = 0; parts && i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		int at;

		if (vm->kind != VM_ENTRY || vm->state != VM_LIVE)
			continue;
		at = place(tbl, vm);
		if (at < 0)
			continue;
		parts[at] += 1;
		total += 1;
	}
	for (size_t i = 0; parts && total > 0 && i < places; i++)
		parts[i] /= total;
	return parts;
}

double *demand_by_region(const struct tbl *tbl, const struct vmlist *vmlist)
{
	return count_parts(tbl, vmlist, tbl->region_count, region_of);
}

double *demand_by_domain(const struct tbl *tbl, const struct vmlist *vmlist)
{
	return count_parts(tbl, vmlist, tbl->domain_count, domain_of);
}
