#include "policy/pick.h"

#include "common/err.h"

static const char *const names[] = {
	[PICK_BROKER] = "broker",
	[PICK_RANDOM] = "random",
	[PICK_LEAST_REPORTED] = "least_reported",
	[PICK_TWO_CHOICES] = "two_choices",
	[PICK_STATIC_SPLIT] = "static_split",
};

/* Index of the nth usable target, or -1. */
static int nth(const struct pick_target *targets, size_t count, uint64_t n)
{
	for (size_t i = 0; i < count; i++) {
		if (targets[i].usable && n-- == 0)
			return (int)i;
	}
	return -1;
}

static size_t usable_count(const struct pick_target *targets, size_t count)
{
	size_t usable = 0;

	for (size_t i = 0; i < count; i++)
		usable += targets[i].usable;
	return usable;
}

static uint32_t load_by_policy(enum pick_policy policy,
			       const struct pick_target *target)
{
	return policy == PICK_LEAST_REPORTED ? target->load_permille
					     : target->outstanding;
}

/* The usable target with the least load, ties broken at random. */
static int least_loaded(enum pick_policy policy,
			const struct pick_target *targets, size_t count,
			uint64_t random)
{
	size_t equal = 0;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		const uint32_t load = load_by_policy(policy, &targets[i]);

		if (!targets[i].usable)
			continue;
		if (best < 0 || load < load_by_policy(policy, &targets[best])) {
			best = (int)i;
			equal = 1;
		} else if (load == load_by_policy(policy, &targets[best])) {
			equal++;
			if ((random >> 8) % equal == 0)
				best = (int)i;
		}
	}
	return best;
}

static int two_choices(const struct pick_target *targets, size_t count,
		       size_t usable, uint64_t random)
{
	const uint64_t low = random & UINT32_MAX;
	const uint64_t high = random >> 32;
	const int a = nth(targets, count, low % usable);
	/* Distance of the second choice: 1 to usable - 1. */
	const uint64_t distance = 1 + (high * (usable - 1) >> 32);
	int b;

	if (usable == 1)
		return a;
	b = nth(targets, count, (low % usable + distance) % usable);
	return targets[b].outstanding < targets[a].outstanding ? b : a;
}

int pick_parse(struct str name, enum pick_policy *out)
{
	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
		if (str_eq(name, str_from_c(names[i]))) {
			*out = (enum pick_policy)i;
			return 0;
		}
	}
	return PST_ERR_INVALID;
}

const char *pick_name(enum pick_policy policy)
{
	return names[policy];
}

int pick_target(enum pick_policy policy, const struct pick_target *targets,
		size_t count, uint64_t random)
{
	const size_t usable = usable_count(targets, count);

	if (!usable)
		return -1;
	switch (policy) {
	case PICK_RANDOM:
		return nth(targets, count, random % usable);
	case PICK_TWO_CHOICES:
		return two_choices(targets, count, usable, random);
	case PICK_LEAST_REPORTED:
	case PICK_BROKER:
	case PICK_STATIC_SPLIT:
		break;
	}
	return least_loaded(policy, targets, count, random);
}

uint32_t pick_slot_share(uint32_t first, uint32_t slots, uint32_t holders,
			 uint32_t holder)
{
	uint32_t share;

	if (!holders)
		return slots;
	share = slots / holders;
	if ((holder + holders - first % holders) % holders < slots % holders)
		share++;
	return share;
}
