#include "policy/rbg.h"

#include <string.h>

/*
 * Fraction of the budget that is used. The margin covers that requests are
 * counted here when they are assigned to an upstream, and by the bound when
 * they are sent.
 */
#define USABLE_FRACTION 0.8

static void advance(struct rbg *rbg, const struct rbg_rules *rules,
		    apr_time_t now)
{
	const int64_t slot = now * (RBG_SLOTS - 1) / rules->window;

	if (slot - rbg->slot >= RBG_SLOTS) {
		memset(rbg->requests, 0, sizeof(rbg->requests));
		memset(rbg->retries, 0, sizeof(rbg->retries));
		rbg->slot = slot;
	}
	while (rbg->slot < slot) {
		rbg->slot++;
		rbg->requests[rbg->slot % RBG_SLOTS] = 0;
		rbg->retries[rbg->slot % RBG_SLOTS] = 0;
	}
}

void rbg_count_request(struct rbg *rbg, const struct rbg_rules *rules,
		       apr_time_t now)
{
	advance(rbg, rules, now);
	rbg->requests[rbg->slot % RBG_SLOTS]++;
}

bool rbg_take(struct rbg *rbg, const struct rbg_rules *rules, apr_time_t now)
{
	double requests = 0;
	double retries = 0;

	advance(rbg, rules, now);
	for (int i = 0; i < RBG_SLOTS; i++) {
		retries += rbg->retries[i];
		/* Requests of the oldest slot may be outside the window. */
		if (i != (rbg->slot + 1) % RBG_SLOTS)
			requests += rbg->requests[i];
	}
	if (retries + 1 > USABLE_FRACTION * (rules->ratio * requests +
					     rules->extra / rules->vms))
		return false;
	rbg->retries[rbg->slot % RBG_SLOTS]++;
	return true;
}
