#include "policy/domsplit_goal.h"

#include <stdlib.h>

#include "common/err.h"

/* Smaller parts are rounding errors. */
#define ROUNDING 1e-12

/*
 * Part that stays split by weight in the region, so that a request that the
 * own domain cannot take can be sent to another.
 */
#define BY_WEIGHT_PART 1e-3

static double total_weight(const struct domsplit_domain *places, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += places[i].weight;
	return sum;
}

/* Each region's part of the weights. */
static double *parts_by_region(const struct domsplit_domain *places,
			       size_t count, size_t region_count, double total)
{
	double *parts = calloc(region_count + 1, sizeof(*parts));

	for (size_t i = 0; parts && i < count; i++)
		parts[places[i].region] += places[i].weight / total;
	return parts;
}

/*
 * Turns parts by weight, of regions or of domains, into parts of this entry
 * VM's traffic.
 */
static void keep_local(double *parts, const double *demand, size_t count,
		       size_t own)
{
	double total_surplus = 0;
	double kept;

	if (own >= count || demand[own] <= ROUNDING)
		return;
	kept = parts[own] < demand[own] ? parts[own] / demand[own] : 1;
	for (size_t i = 0; i < count; i++) {
		if (parts[i] > demand[i])
			total_surplus += parts[i] - demand[i];
	}
	for (size_t i = 0; i < count; i++) {
		const double surplus = parts[i] - demand[i];

		if (i == own)
			parts[i] = kept;
		else if (surplus > 0 && total_surplus > ROUNDING)
			parts[i] = (1 - kept) * surplus / total_surplus;
		else
			parts[i] = 0;
	}
}

/* Each domain's part of the region's sum; 0 for domains elsewhere. */
static double *parts_of_region(const struct domsplit_domain *places,
			       const double *values, size_t count,
			       uint32_t region)
{
	double *parts = calloc(count + 1, sizeof(*parts));
	double sum = 0;

	for (size_t i = 0; i < count; i++) {
		if (places[i].region == region)
			sum += values ? values[i] : places[i].weight;
	}
	for (size_t i = 0; parts && sum > 0 && i < count; i++) {
		if (places[i].region == region)
			parts[i] =
				(values ? values[i] : places[i].weight) / sum;
	}
	return parts;
}

int domsplit_goal(const struct domsplit_domain *places, size_t count,
		  const double *demand, size_t region_count, size_t own,
		  double *out)
{
	const double total = total_weight(places, count);
	double *by_weight;
	double *wanted;

	for (size_t i = 0; i < count; i++)
		out[i] = 0;
	if (total <= 0)
		return 0;
	by_weight = parts_by_region(places, count, region_count, total);
	wanted = parts_by_region(places, count, region_count, total);
	if (!by_weight || !wanted) {
		free(by_weight);
		free(wanted);
		return PST_ERR_NOMEM;
	}
	keep_local(wanted, demand, region_count, own);
	for (size_t i = 0; i < count; i++) {
		const uint32_t region = places[i].region;

		if (by_weight[region] > ROUNDING)
			out[i] = wanted[region] * places[i].weight / total /
				 by_weight[region];
	}
	free(by_weight);
	free(wanted);
	return 0;
}

int domsplit_goal_domain(const struct domsplit_domain *places, size_t count,
			 const double *demand, size_t own, double *goal)
{
	double *wanted;
	double *arriving;
	double region_part = 0;
	uint32_t region;

	if (own >= count)
		return 0;
	region = places[own].region;
	wanted = parts_of_region(places, NULL, count, region);
	arriving = parts_of_region(places, demand, count, region);
	if (!wanted || !arriving) {
		free(wanted);
		free(arriving);
		return PST_ERR_NOMEM;
	}
	keep_local(wanted, arriving, count, own);
	for (size_t i = 0; i < count; i++) {
		if (places[i].region == region)
			region_part += goal[i];
	}
	for (size_t i = 0; i < count; i++) {
		if (places[i].region == region)
			goal[i] =
				BY_WEIGHT_PART * goal[i] +
				(1 - BY_WEIGHT_PART) * region_part * wanted[i];
	}
	free(wanted);
	free(arriving);
	return 0;
}
