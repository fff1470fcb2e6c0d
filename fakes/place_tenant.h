/*
 * Tenants of the placement model: their sizes, floods by some of them, ways to
 * share a service among them, and what each was served.
 */
#ifndef FAKES_PLACE_TENANT_H
#define FAKES_PLACE_TENANT_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

#include "policy/fairshare.h"

/* How a VM finds that a tenant has its share. */
enum placesim_shares {
	/* Tenants have no shares. */
	PLACESIM_SHARES_NONE,
	/* Max-min shares by the VM's own view, as in policy/. */
	PLACESIM_SHARES_MAX_MIN,
	/*
	 * Alternatives: a cap at an even part of what the VM admits, and
	 * deficit round robin over the tenants that the VM sees.
	 */
	PLACESIM_SHARES_EVEN,
	PLACESIM_SHARES_DEFICIT,
};

#define PLACESIM_SHARINGS 4

/* Tenants that may flood at the same time. */
#define PLACESIM_FLOODERS 2

struct placesim_tenants {
	/* Number of tenants; 0: requests have no tenant. */
	int count;
	/* The size of tenant i is proportional to (i + 1) ^ -skew. */
	double skew;
	enum placesim_shares shares;
	/* Tenants that flood, by index, and their number. */
	int flooders[PLACESIM_FLOODERS];
	int flooder_count;
	/* Factor of the flooders' rates, and of all, during the flood. */
	double flood;
	double all;
	apr_interval_time_t flood_at;
	apr_interval_time_t flood_for;
	/* Callers that get a Retry-After come back once, at that time. */
	bool retry;
};

/* Counts of one tenant for requests that first arrived during the flood. */
struct placesim_tenant_count {
	unsigned requests;
	unsigned in_time;
	unsigned over_share;
	unsigned retries;
	unsigned retries_sent;
};

const char *placesim_shares_name(enum placesim_shares shares);

/* Whether the time since the start is within the flood. */
bool placesim_is_flood(const struct placesim_tenants *tenants,
		       apr_interval_time_t at);

/* Sums of the tenants' usual rates, or those during the flood, by index. */
void placesim_rate_sums(const struct placesim_tenants *tenants, bool flood,
			double *sums);

/* The tenant of a request, by a draw that is uniform over (0, 1). */
int placesim_draw_tenant(const double *sums, int count, double draw);

/* Hash of a tenant's name; never 0. */
uint64_t placesim_tenant_hash(int tenant);

/* State of the alternatives at one VM; zeroed memory is valid. */
struct placesim_sharer {
	struct fairshare shares;
	struct {
		uint64_t tenant;
		double credit;
	} credits[FAIRSHARE_TENANTS];
	unsigned count;
	apr_time_t round_at;
	double admitted;
};

/*
 * For PLACESIM_SHARES_EVEN and _DEFICIT: notes a request and returns whether
 * its tenant has its share.
 */
bool placesim_sharer_is_over(struct placesim_sharer *sharer,
			     enum placesim_shares shares,
			     const struct fairshare_request *request,
			     apr_time_t now);

/* Notes that the request was admitted. */
void placesim_sharer_admitted(struct placesim_sharer *sharer,
			      const struct fairshare_request *request,
			      apr_time_t now);

#endif
