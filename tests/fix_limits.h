/* Tables and lists of VMs for tests of limits and look-ups. */
#ifndef TESTS_FIX_LIMITS_H
#define TESTS_FIX_LIMITS_H

#include "policy/tbl.h"
#include "policy/vml.h"

/*
 * A list of regions r0, r1, ... with domains r0-0, r0-1, ... of which each
 * has the given entry VMs, all live: r0-0-e0 and so on. Addresses are not
 * meant to be connected to.
 */
struct vml *fix_vml(size_t regions, size_t domains, size_t vms);

/*
 * A table of the same regions and domains, one service "status" with equal
 * weights, links of the given rate between all regions, and the given limit
 * of requests from other regions for the urgent rank.
 */
struct tbl *fix_tbl(size_t regions, size_t domains, uint32_t mbps,
		    uint32_t intake, uint64_t revision);

#endif
