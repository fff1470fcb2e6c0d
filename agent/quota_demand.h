/*
 * Where the fleet's requests arrive, estimated by its live entry VMs.
 */
#ifndef AGENT_QUOTA_DEMAND_H
#define AGENT_QUOTA_DEMAND_H

#include "policy/tbl.h"
#include "policy/vml.h"

/*
 * Part of the live entry VMs of each of the table's regions or failure
 * domains; all 0 when there are none. To be freed by the caller; NULL when
 * memory is out.
 */
double *qd_by_region(const struct tbl *tbl, const struct vml *vml);
double *qd_by_domain(const struct tbl *tbl, const struct vml *vml);

#endif
