/*
 * Quota for the memory that answers of upstreams take while they are read.
 * Pure.
 *
 * Designed for: faulty upstreams that send bytes without end, in many answers
 * at once and as fast as the VM's link carries. A bound on each answer does not
 * bound their sum. Once the sum exceeds the quota, the largest answers are
 * evicted; those that state no length go first while they hold half of the
 * memory or more, since a stated length bounds what an answer can take.
 */
#ifndef POLICY_MEMQUOTA_H
#define POLICY_MEMQUOTA_H

#include <stdbool.h>
#include <stddef.h>

/* Sizes in bytes. */
struct memquota {
	size_t limit;
	/* Sum over all answers, and over those that state no length. */
	size_t used;
	size_t unsized;
};

/* One answer that is being read. Zeroed memory holds nothing. */
struct memquota_item {
	size_t bytes;
	/* Its head is known and states a length. */
	bool sized;
};

/* Sets what an item holds; with 0 bytes it may be dropped. */
void memquota_set(struct memquota *quota, struct memquota_item *item,
		  size_t bytes, bool sized);

bool memquota_is_exceeded(const struct memquota *quota);

/* Whether item is to be evicted rather than other (NULL: no other). */
bool memquota_evicts(const struct memquota *quota,
		     const struct memquota_item *item,
		     const struct memquota_item *other);

#endif
