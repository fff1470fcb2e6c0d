/*
 * Retry budget of one service. Pure.
 *
 * Designed for: upstreams that fail or shed requests, where retries must not
 * become the load. The retries of all VMs in any window are bounded by a
 * fraction of the requests plus a fixed number. Each VM may use that fraction
 * of its own requests and an equal share of the fixed number, so the VMs need
 * not communicate.
 */
#ifndef POLICY_RETRYCAP_H
#define POLICY_RETRYCAP_H

#include <stdbool.h>

#include <apr_time.h>

/* Time slots that are counted: those of one window, and one more. */
#define RETRYCAP_SLOTS 11

/* Zeroed memory is a valid empty state. */
struct retrycap {
	unsigned requests[RETRYCAP_SLOTS];
	unsigned retries[RETRYCAP_SLOTS];
	/* Number of the newest slot, counted from time 0. */
	int64_t slot;
};

struct retrycap_rules {
	/* Retries allowed per request. */
	double ratio;
	/* Retries that all VMs together may make besides, per window. */
	double extra;
	apr_interval_time_t window;
	/* Number of VMs that share extra, at least 1. */
	unsigned vms;
};

/* Counts a caller's request. */
void retrycap_count_request(struct retrycap *retrycap,
			    const struct retrycap_rules *rules, apr_time_t now);

/* Takes one retry from the budget; returns false when it is used up. */
bool retrycap_take(struct retrycap *retrycap,
		   const struct retrycap_rules *rules, apr_time_t now);

#endif
