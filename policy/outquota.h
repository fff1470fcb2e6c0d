/*
 * Quota for the memory of answers that wait for their callers to read. Pure.
 *
 * Designed for: many callers that ask for large answers and read them slowly or
 * never, beside others that read at once. Once the quota is used up, requests
 * are refused that have not run, since their answers would find no room. The
 * room comes back from callers that read, or from connections whose callers
 * have taken nothing for some time: these are closed, largest first. An answer
 * that has come cannot be refused any more: it may exceed the quota up to a
 * hard limit, beyond which the largest connection is closed in any case.
 */
#ifndef POLICY_OUTQUOTA_H
#define POLICY_OUTQUOTA_H

#include <stdbool.h>
#include <stddef.h>

#include <apr_time.h>

/* Sizes in bytes. */
struct outquota {
	size_t limit;
	size_t used;
};

/* One connection with answers that its caller has not taken yet. */
struct outquota_conn {
	size_t bytes;
	/* Time since the caller last took a byte, in microseconds. */
	apr_interval_time_t stalled;
};

/*
 * Whether a request may run whose answer is expected to take so much. Half of
 * the quota is room for any: an answer may be larger than all of it.
 */
bool outquota_admits(const struct outquota *quota, size_t expected);

/* Whether the quota is exceeded so far that any connection may be closed. */
bool outquota_is_exhausted(const struct outquota *quota);

/*
 * Whether conn is to be closed, to make room, rather than other (NULL: no
 * other).
 */
bool outquota_evicts(const struct outquota *quota,
		     const struct outquota_conn *conn,
		     const struct outquota_conn *other);

#endif
