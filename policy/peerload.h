/*
 * Load reports of upstreams, shared between the VMs of a failure domain. Pure.
 *
 * Designed for: a fleet in which each VM sends to any one upstream rarely, so
 * that it would learn of a queue or a slow period there too late. Only reports
 * of upstreams with a queue, and of upstreams that run slower than usual, are
 * shared: otherwise a VM decides the same with and without the report, and an
 * idle fleet sends nothing.
 */
#ifndef POLICY_PEERLOAD_H
#define POLICY_PEERLOAD_H

#include "policy/registry.h"
#include "policy/vms.h"

/*
 * Most reports in one batch: sent to all receivers, they stay within a node's
 * 23 KB per second.
 */
#define PEERLOAD_MAX_REPORTS 8

/* Most receivers of one batch; in a larger domain the receivers rotate. */
#define PEERLOAD_MAX_RECEIVERS 16

struct peerload_report {
	struct strbuf upstream;
	/* Requests that run or wait at the upstream. */
	unsigned requests;
	/* Run time in percent of usual; 0: unknown. */
	unsigned speed;
	apr_time_t at;
};

/* Reports for the next batch. Zeroed memory is a valid empty state. */
struct peerload {
	struct peerload_report reports[PEERLOAD_MAX_REPORTS];
	size_t count;
	/* Reports of slow upstreams, whose requests are not set. */
	struct peerload_report slow[PEERLOAD_MAX_REPORTS];
	size_t slow_count;
	/* Index in the VM list at which the next batch's receivers begin. */
	size_t receiver_start;
};

/*
 * Adds an upstream's report to the next batch if the upstream has a queue,
 * replacing an older report of it. When the batch is full, the oldest report
 * is dropped. Returns whether the report was added.
 */
bool peerload_add_report(struct peerload *peerload, const struct up *up,
			 const struct up_load_report *load, apr_time_t now);

/*
 * As peerload_add_report(), for the speed of an upstream that reports that it
 * runs slower than usual.
 */
bool peerload_add_speed(struct peerload *peerload, const struct up *up,
			const struct up_load_report *load, apr_time_t now);

/*
 * Selects the receivers of the next batch: VMs of the domain other than self.
 * Returns their count; out must have room for the most receivers of a batch.
 */
size_t peerload_receivers(struct peerload *peerload, const struct vms *vms,
			  int domain, struct str self,
			  const struct vms_entry **out);

/*
 * Applies a report from another VM; report->at is in terms of this VM's clock.
 * Returns whether it was newer than what this VM knew; older reports, expired
 * ones and those of unknown upstreams are ignored.
 */
bool peerload_apply_report(struct registry *registry,
			   const struct peerload_report *report,
			   apr_time_t now);

/* As peerload_apply_report(), for the speed in a report. */
bool peerload_apply_speed(struct registry *registry,
			  const struct peerload_report *report, apr_time_t now);

#endif
