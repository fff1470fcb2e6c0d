/*
 * What one borrower may be using of a limit, as its lender must assume.
 *
 * Each grant is counted until the borrower has certainly stopped using it
 * and one window has passed. Grants replace each other, so the largest that
 * is still counted stands for all.
 */
#ifndef POLICY_SHR_CLAIM_H
#define POLICY_SHR_CLAIM_H

#include <stdint.h>

#include <apr_time.h>

#include "policy/bkt.h"

/* Grants of different sizes told apart; more are joined. */
#define SHR_STEPS 8

/* Longest relative difference of two VMs' clock rates: one part of this. */
#define SHR_DRIFT 128

struct shr_claim {
	uint32_t borrower;
	uint32_t count;
	/* Falling in amount, rising in time. */
	struct {
		uint64_t amount;
		apr_time_t back_at;
	} step[SHR_STEPS];
	/* What the borrower asked for last, and when. */
	uint64_t want;
	apr_time_t asked_at;
	/* What was granted last. */
	uint64_t granted;
};

/* When a grant of this duration, answered now, may be given to another. */
apr_time_t shr_claim_back_at(apr_time_t now, apr_interval_time_t duration);

/* Counts a grant until back_at. */
void shr_claim_add(struct shr_claim *claim, uint64_t amount,
		   apr_time_t back_at);

/* What must be assumed to be in use now. */
uint64_t shr_claim_held(struct shr_claim *claim, apr_time_t now);

/* Time at which nothing is in use any more; at most now when nothing is. */
apr_time_t shr_claim_end(const struct shr_claim *claim);

#endif
