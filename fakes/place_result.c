/* Counters and results of a run of the placement model. */
#include <stdlib.h>

#include "fakes/place_model.h"

static int window_of(apr_interval_time_t at)
{
	return at / PLACESIM_WINDOW_US < PLACESIM_WINDOWS
		       ? (int)(at / PLACESIM_WINDOW_US)
		       : PLACESIM_WINDOWS - 1;
}

void placesim_count_request(struct placesim_result *result, bool bulk,
			    int region, apr_interval_time_t at)
{
	if (bulk) {
		result->bulk_requests++;
		return;
	}
	result->requests++;
	result->region_requests[region]++;
	result->window_requests[window_of(at)]++;
}

void placesim_count_refusal(struct placesim_result *result, bool bulk)
{
	if (bulk)
		result->bulk_refused++;
	else
		result->refused++;
}

void placesim_count_bulk_answer(struct placesim_result *result,
				const struct placesim_load *load,
				apr_interval_time_t took)
{
	result->bulk_in_time += took <= load->bulk_latency_target;
}

void placesim_count_answer(struct placesim_result *result,
			   const struct placesim_load *load, int region,
			   apr_interval_time_t at, apr_interval_time_t took)
{
	result->times[result->count++] = took;
	if (took > load->latency_target) {
		result->late++;
		return;
	}
	result->in_time++;
	result->region_in_time[region]++;
	result->window_in_time[window_of(at)]++;
}

void placesim_free(struct placesim_result *result)
{
	free(result->times);
	result->times = NULL;
	free(result->tenants);
	result->tenants = NULL;
}

double placesim_in_time_share(const struct placesim_result *result)
{
	return result->requests ? (double)result->in_time / result->requests
				: 0;
}

double placesim_bulk_in_time_share(const struct placesim_result *result)
{
	return result->bulk_requests
		       ? (double)result->bulk_in_time / result->bulk_requests
		       : 0;
}

double placesim_worst_region(const struct placesim_result *result)
{
	double worst = 1;

	for (int r = 0; r < PLACESIM_REGIONS; r++) {
		const double part =
			result->region_requests[r]
				? (double)result->region_in_time[r] /
					  result->region_requests[r]
				: 1;

		if (part < worst)
			worst = part;
	}
	return worst;
}

double placesim_worst_windows(const struct placesim_result *result)
{
	double worst[2] = {1, 1};

	for (int w = 0; w < PLACESIM_WINDOWS; w++) {
		double part;

		if (!result->window_requests[w])
			continue;
		part = (double)result->window_in_time[w] /
		       result->window_requests[w];
		if (part < worst[0]) {
			worst[1] = worst[0];
			worst[0] = part;
		} else if (part < worst[1]) {
			worst[1] = part;
		}
	}
	return (worst[0] + worst[1]) / 2;
}
