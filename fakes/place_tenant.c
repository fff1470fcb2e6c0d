#include "fakes/place_tenant.h"

#include <math.h>

#include "common/str.h"

/* Duration of a round of deficit round robin. */
#define ROUND_US 500000

const char *placesim_shares_name(enum placesim_shares shares)
{
	static const char *const names[] = {
		[PLACESIM_SHARES_NONE] = "none",
		[PLACESIM_SHARES_MAX_MIN] = "max_min",
		[PLACESIM_SHARES_EVEN] = "even_cap",
		[PLACESIM_SHARES_DEFICIT] = "deficit",
	};

	return names[shares];
}

bool placesim_is_flood(const struct placesim_tenants *tenants,
		       apr_interval_time_t at)
{
	return at >= tenants->flood_at &&
	       at < tenants->flood_at + tenants->flood_for;
}

static double size_of(const struct placesim_tenants *tenants, int tenant)
{
	return pow(tenant + 1, -tenants->skew);
}

static double factor_of(const struct placesim_tenants *tenants, int tenant,
			bool flood)
{
	if (!flood)
		return 1;
	for (int i = 0; i < tenants->flooder_count; i++) {
		if (tenants->flooders[i] == tenant)
			return tenants->flood;
	}
	return tenants->all;
}

void placesim_rate_sums(const struct placesim_tenants *tenants, bool flood,
			double *sums)
{
	double usual = 0;
	double sum = 0;

	for (int i = 0; i < tenants->count; i++)
		usual += size_of(tenants, i);
	for (int i = 0; i < tenants->count; i++) {
		sum += size_of(tenants, i) * factor_of(tenants, i, flood) /
		       usual;
		sums[i] = sum;
	}
}

int placesim_draw_tenant(const double *sums, int count, double draw)
{
	int first = 0;
	int last = count - 1;

	draw *= sums[last];
	while (first < last) {
		const int middle = (first + last) / 2;

		if (sums[middle] < draw)
			first = middle + 1;
		else
			last = middle;
	}
	return first;
}

uint64_t placesim_tenant_hash(int tenant)
{
	return str_hash(STR_LIT("tenant"), (uint64_t)tenant + 1) | 1;
}

static double *credit_of(struct placesim_sharer *sharer, uint64_t tenant)
{
	unsigned i = 0;

	while (i < sharer->count && sharer->credits[i].tenant != tenant)
		i++;
	if (i == FAIRSHARE_TENANTS)
		i = (unsigned)(tenant % FAIRSHARE_TENANTS);
	else if (i == sharer->count)
		sharer->count++;
	if (sharer->credits[i].tenant != tenant) {
		sharer->credits[i].tenant = tenant;
		sharer->credits[i].credit = 0;
	}
	return &sharer->credits[i].credit;
}

/*
 * A round gives each tenant that the VM saw lately an even part of what was
 * admitted in the one before. Credit of more than two rounds lapses.
 */
static void next_round(struct placesim_sharer *sharer,
		       const struct fairshare *shares, apr_time_t now)
{
	const double part =
		shares->count ? sharer->admitted / shares->count : 0;

	if (now - sharer->round_at < ROUND_US)
		return;
	for (unsigned i = 0; i < shares->count; i++) {
		double *credit = credit_of(sharer, shares->tenants[i].tenant);

		*credit = fmin(*credit + part, 2 * part);
	}
	sharer->round_at = now;
	sharer->admitted = 0;
}

static bool is_over_even_part(const struct fairshare *shares, uint64_t tenant)
{
	double admitted = 0;
	double demand = 0;
	double own = 0;

	for (unsigned i = 0; i < shares->count; i++) {
		admitted += shares->tenants[i].admitted;
		demand += shares->tenants[i].demand;
		if (shares->tenants[i].tenant == tenant)
			own += shares->tenants[i].admitted;
	}
	return demand > admitted && own >= admitted / shares->count;
}

bool placesim_sharer_is_over(struct placesim_sharer *sharer,
			     enum placesim_shares shares,
			     const struct fairshare_request *request,
			     apr_time_t now)
{
	fairshare_note_request(&sharer->shares, request, now);
	next_round(sharer, &sharer->shares, now);
	if (shares == PLACESIM_SHARES_EVEN)
		return is_over_even_part(&sharer->shares, request->tenant);
	return *credit_of(sharer, request->tenant) < 0;
}

void placesim_sharer_admitted(struct placesim_sharer *sharer,
			      const struct fairshare_request *request,
			      apr_time_t now)
{
	fairshare_note_admitted(&sharer->shares, request, now);
	*credit_of(sharer, request->tenant) -= request->slot_time;
	sharer->admitted += request->slot_time;
}
