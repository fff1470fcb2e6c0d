#include "policy/account_limits.h"

#include <math.h>

/*
 * Part of the tolerance that the buckets use. The rest covers requests that
 * VMs admit without any account, in the two windows that an interval meets.
 */
#define BUCKET_TOLERANCE 0.85

/*
 * Longest time in seconds between the removal of a token from a bucket and the
 * request that uses it: the time-out of a pull and the life of a permit.
 */
#define LONGEST_USE_S 0.5

/*
 * Accounts of a region: its part of the rate by RATE_PER_ACCOUNT in requests
 * per second, to this power. Few large ones find each other's tokens with
 * fewer pulls; many small ones spread the asks.
 */
#define RATE_PER_ACCOUNT  7
#define ACCOUNTS_EXPONENT 0.8

/* Accounts of a tenant in all regions together, if there are as many VMs. */
#define LEAST_ACCOUNTS 2

/*
 * Tokens that an account must be able to store, and accounts of a tenant. The
 * largest tenant has 759 accounts by calculation for 6,800 VMs.
 */
#define LEAST_DEPTH  4
#define MAX_ACCOUNTS 1024

double account_tolerance(const struct account_limits *limits)
{
	const double window = (double)limits->window / APR_USEC_PER_SEC;

	return limits->overage * (limits->rate * window + limits->burst) +
	       limits->slack;
}

double account_depth(const struct account_limits *limits)
{
	return fmax(1, limits->burst +
			       BUCKET_TOLERANCE * account_tolerance(limits) -
			       limits->rate * LONGEST_USE_S);
}

unsigned account_count(const struct account_limits *limits, unsigned regions,
		       unsigned region_vms)
{
	double count =
		ceil(pow(limits->rate / (RATE_PER_ACCOUNT * (double)regions),
			 ACCOUNTS_EXPONENT));

	/* So that the loss of one VM leaves a tenant a part of its limit. */
	count = fmax(count, LEAST_ACCOUNTS / (double)regions);
	count = fmin(count, floor(account_depth(limits) /
				  (LEAST_DEPTH * (double)regions)));
	count = fmin(count, MAX_ACCOUNTS / (double)regions);
	count = fmin(count, region_vms);
	return count < 1 ? 1 : (unsigned)count;
}

unsigned account_position(unsigned index, unsigned accounts_of_region,
			  unsigned region_vms, unsigned to)
{
	/* The last account is followed by a VM without one. */
	const unsigned span = accounts_of_region > 1 ? accounts_of_region : 2;
	const unsigned own = index % accounts_of_region;

	return (own + to) % span % region_vms;
}
