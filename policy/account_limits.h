/*
 * The limit of a tenant, and what accounts at VMs make of it. Pure.
 *
 * Designed for: limits from a request in some minutes to thousands per second,
 * divided among few accounts; see policy/account.h.
 */
#ifndef POLICY_ACCOUNT_LIMITS_H
#define POLICY_ACCOUNT_LIMITS_H

#include <apr_time.h>

/* The limit of a tenant, and how far it may be exceeded. */
struct account_limits {
	/* Requests per second, above 0, and requests. */
	double rate;
	double burst;
	/* Span over which the bound holds. */
	apr_interval_time_t window;
	/* The bound is (rate x window + burst) x (1 + overage) + slack. */
	double overage;
	double slack;
};

/* Requests by which the bound exceeds the rate and burst of a window. */
double account_tolerance(const struct account_limits *limits);

/* Tokens that all accounts of a tenant may store together. */
double account_depth(const struct account_limits *limits);

/* Number of accounts in a region with that many listed VMs, at least 1. */
unsigned account_count(const struct account_limits *limits, unsigned regions,
		       unsigned region_vms);

/*
 * Position, in the order of the region's VMs for the tenant, of the account
 * that a VM asks; to as in struct permits_ask. index is the VM's number among
 * the listed VMs of its region by name, so that each account has as many VMs.
 */
unsigned account_position(unsigned index, unsigned accounts_of_region,
			  unsigned region_vms, unsigned to);

#endif
