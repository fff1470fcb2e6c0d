/*
 * Load reports of upstreams, shared between the VMs of a failure domain. Pure.
 *
 * Designed for: a fleet in which each VM sends to any one upstream rarely, so
 * that it would learn of a queue there seconds too late. Only reports of
 * upstreams with a queue are shared: without one, a VM decides the same with
 * and without the report, and an idle fleet sends nothing.
 */
#ifndef POLICY_LDS_H
#define POLICY_LDS_H

#include "policy/registry.h"
#include "policy/vms.h"

/*
 * Most reports in one batch: sent to all receivers, they stay within a node's
 * 23 KB per second.
 */
#define LDS_MAX_REPORTS 8

/* Most receivers of one batch; in a larger domain the receivers rotate. */
#define LDS_MAX_RECEIVERS 16

struct lds_report {
	struct strbuf upstream;
	/* Requests that run or wait at the upstream. */
	unsigned requests;
	apr_time_t at;
};

/* Reports for the next batch. Zeroed memory is a valid empty state. */
struct lds {
	struct lds_report reports[LDS_MAX_REPORTS];
	size_t count;
	/* Index in the VM list at which the next batch's receivers begin. */
	size_t receiver_start;
};

/*
 * Adds an upstream's report to the next batch if the upstream has a queue,
 * replacing an older report of it. When the batch is full, the oldest report
 * is dropped. Returns whether the report was added.
 */
bool lds_add_report(struct lds *lds, const struct up *up,
		    const struct up_load_report *load, apr_time_t now);

/*
 * Selects the receivers of the next batch: VMs of the domain other than self.
 * Returns their count; out must have room for the most receivers of a batch.
 */
size_t lds_receivers(struct lds *lds, const struct vms *vms, int domain,
		     struct str self, const struct vms_entry **out);

/*
 * Applies a report from another VM; report->at is in terms of this VM's clock.
 * Returns whether it was newer than what this VM knew; older reports, expired
 * ones and those of unknown upstreams are ignored.
 */
bool lds_apply_report(struct registry *registry,
		      const struct lds_report *report, apr_time_t now);

#endif
