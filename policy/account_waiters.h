/*
 * Asks that wait for tokens while an account asks others for them. Part of
 * policy/account; pure.
 */
#ifndef POLICY_ACCOUNT_WAITERS_H
#define POLICY_ACCOUNT_WAITERS_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

/* Those beyond are answered when their VMs ask again, 125 ms later. */
#define ACCOUNT_WAITERS 8

/* An ask that got less than it wanted while other accounts are asked. */
struct account_waiter {
	/* The VM that asked, its number for the ask, and permits that it lacks;
	 * 0: unused. */
	int vm;
	uint32_t id;
	unsigned unmet;
	/* It asks again then. */
	apr_time_t until;
};

/* Oldest first; zeroed memory has none. */
struct account_waiters {
	struct account_waiter list[ACCOUNT_WAITERS];
};

/* Adds a waiter if there is room. */
void account_waiters_add(struct account_waiters *waiters,
			 const struct account_waiter *waiter);

/*
 * Whether the oldest waiter can have permits of the tokens, which are then
 * taken; see account_next_waiter().
 */
bool account_waiters_serve(struct account_waiters *waiters, double *tokens,
			   apr_time_t now, struct account_waiter *out);

#endif
