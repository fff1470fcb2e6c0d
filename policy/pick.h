/*
 * Choice of an upstream without a broker: baseline policies to compare the
 * broker with, and the static split that is used while a broker is silent.
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

/* State of an upstream as one entry VM sees it. */
struct pick_target {
	/* Takes new work. */
	bool usable;
	/* Requests of this entry VM in progress there. */
	uint32_t outstanding;
	/* Last reported load in thousandths; may be stale or wrong. */
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
 * Returns how many of an upstream's slots one of several holders gets in a
 * static split; holder is its index. first is the number of slots of all
 * upstreams before this one in the list. The holders' parts add up to slots.
 */
uint32_t pick_slot_share(uint32_t first, uint32_t slots, uint32_t holders,
			 uint32_t holder);

#endif
