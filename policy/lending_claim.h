/*
 * How much of a limit one borrower may be using, as its lender must assume.
 *
 * Each grant counts until the borrower has certainly stopped using it and one
 * window has passed since. A grant replaces the one before it, so the largest
 * that still counts is the amount in use at most.
 */
#ifndef POLICY_LENDING_CLAIM_H
#define POLICY_LENDING_CLAIM_H

#include <stdint.h>

#include <apr_time.h>

#include "policy/ratelimit.h"

/* Grants of different sizes that are kept apart; more are merged. */
#define LENDING_CLAIM_STEPS 8

/* Two VMs' clock rates differ by less than one part in this. */
#define LENDING_DRIFT_DIVISOR 128

struct lending_claim {
	uint32_t borrower;
	uint32_t count;
	/* Ordered by falling amount and rising time. */
	struct {
		uint64_t amount;
		apr_time_t reusable_at;
	} step[LENDING_CLAIM_STEPS];
	/* Amount of the borrower's last request, and its time. */
	uint64_t want;
	apr_time_t asked_at;
	/* Amount granted last. */
	uint64_t granted;
};

/* Time from which a grant made now may be lent to another borrower. */
apr_time_t lending_claim_reusable_at(apr_time_t now,
				     apr_interval_time_t duration);

/* Counts a grant until reusable_at. */
void lending_claim_add(struct lending_claim *claim, uint64_t amount,
		       apr_time_t reusable_at);

/* Amount that must be assumed to be in use now. */
uint64_t lending_claim_held(struct lending_claim *claim, apr_time_t now);

/* Time from which nothing is in use; not after now when nothing is. */
apr_time_t lending_claim_end(const struct lending_claim *claim);

#endif
