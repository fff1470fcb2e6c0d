/*
 * Where the fleet's requests arrive, estimated from its live entry VMs.
 */
#ifndef AGENT_QUOTA_DEMAND_H
#define AGENT_QUOTA_DEMAND_H

#include "policy/tbl.h"
#include "policy/vmlist.h"

/*
 * Returns the part of all live entry VMs that is in each of the table's
 * regions or failure domains; all 0 when there are none. The caller frees the
 * array. Returns NULL when out of memory.
 */
double *demand_by_region(const struct tbl *tbl, const struct vmlist *vmlist);
double *demand_by_domain(const struct tbl *tbl, const struct vmlist *vmlist);

#endif
