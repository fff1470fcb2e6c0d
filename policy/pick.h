/*
 * Choosing an upstream without a broker: the baselines that the broker is
 * measured against, and the static split used while a broker is silent.
 */
#ifndef POLICY_PICK_H
#define POLICY_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

enum pick_policy {
	PICK_BROKER,
	PICK_RANDOM,
	PICK_LEAST_REPORTED,
	PICK_TWO_CHOICES,
	PICK_STATIC_SPLIT,
};

/* What one entry VM knows of an upstream. */
struct pick_target {
	/* Takes new work. */
	bool usable;
	/* Requests that this entry VM has there. */
	uint32_t outstanding;
	/* As last reported, in thousandths; it lags or misleads. */
	uint32_t load_permille;
};

/* Parses a value of entry.policy; returns 0 or PST_ERR_INVALID. */
int pick_parse(struct str name, enum pick_policy *out);
const char *pick_name(enum pick_policy policy);

/*
 * Returns the index of the chosen target, or -1 when none is usable; random
 * is 64 random bits. Policies other than the first three baselines choose
 * the fewest outstanding.
 */
int pick_target(enum pick_policy policy, const struct pick_target *targets,
		size_t count, uint64_t random);

/*
 * The part of an upstream's slots that belongs to one of several holders,
 * by counts alone; first is the number of slots of the upstreams before it
 * in the list. Parts add up to slots.
 */
uint32_t pick_share(uint32_t first, uint32_t slots, uint32_t holders,
		    uint32_t holder);

#endif
