#include "policy/retrycap.h"

#include <string.h>

/*
 * Fraction of the budget that is used. The margin covers that requests are
 * counted here when they are assigned to an upstream, and by the bound when
 * they are sent.
 */
#define USABLE_FRACTION 0.8

static void advance(struct retrycap *retrycap,
		    const struct retrycap_rules *rules, apr_time_t now)
{
	const int64_t slot = now * (RETRYCAP_SLOTS - 1) / rules->window;

	if (slot - retrycap->slot >= RETRYCAP_SLOTS) {
		memset(retrycap->requests, 0, sizeof(retrycap->requests));
		memset(retrycap->retries, 0, sizeof(retrycap->retries));
		retrycap->slot = slot;
	}
	while (retrycap->slot < slot) {
		retrycap->slot++;
		retrycap->requests[retrycap->slot % RETRYCAP_SLOTS] = 0;
		retrycap->retries[retrycap->slot % RETRYCAP_SLOTS] = 0;
	}
}

void retrycap_count_request(struct retrycap *retrycap,
			    const struct retrycap_rules *rules, apr_time_t now)
{
	advance(retrycap, rules, now);
	retrycap->requests[retrycap->slot % RETRYCAP_SLOTS]++;
}

bool retrycap_take(struct retrycap *retrycap,
		   const struct retrycap_rules *rules, apr_time_t now)
{
	double requests = 0;
	double retries = 0;

	advance(retrycap, rules, now);
	for (int i = 0; i < RETRYCAP_SLOTS; i++) {
		retries += retrycap->retries[i];
		/* Requests of the oldest slot may be outside the window. */
		if (i != (retrycap->slot + 1) % RETRYCAP_SLOTS)
			requests += retrycap->requests[i];
	}
	if (retries + 1 > USABLE_FRACTION * (rules->ratio * requests +
					     rules->extra / rules->vms))
		return false;
	retrycap->retries[retrycap->slot % RETRYCAP_SLOTS]++;
	return true;
}
