/* Tables and lists of VMs for tests of limits and look-ups. */
#ifndef TESTS_FIX_LIMITS_H
#define TESTS_FIX_LIMITS_H

#include "policy/tbl.h"
#include "policy/vmlist.h"

/*
 * Returns a list of live entry VMs r0-0-e0, ... in regions r0, r1, ... with
 * domains r0-0, r0-1, ... each. vms: number per domain. Nothing listens at
 * their addresses.
 */
struct vmlist *fix_vml(size_t regions, size_t domains, size_t vms);

/*
 * Returns a table of the same regions and domains, one service "status" with
 * equal weights, links of mbps between all regions, and a limit on requests
 * from other regions for the urgent rank (0: none).
 */
struct tbl *fix_tbl(size_t regions, size_t domains, uint32_t mbps,
		    uint32_t region_limit, uint64_t revision);

#endif
