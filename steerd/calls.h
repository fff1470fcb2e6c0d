/*
 * Counts the calls to the metadata store by what they were made for: the
 * platform charges for each, and a count that is out of proportion shows which
 * mechanism is at fault.
 */
#ifndef STEERD_CALLS_H
#define STEERD_CALLS_H

enum calls_cause {
	/* First lists, the lease and the entry of a VM that starts. */
	CALLS_START,
	/* Watches for changes, answered or not. */
	CALLS_NEWS,
	/* The lease is renewed. */
	CALLS_RENEWAL,
	/* Calls repeated after failures, and lists after an outage. */
	CALLS_OUTAGE,
	/* The relay failed, and the store is asked in its place. */
	CALLS_RELAY_LOST,
	/* The lease is ended. */
	CALLS_STOP,
	CALLS_CAUSES,
};

/* Counts one call in the metric pst_store_causes_total. */
void calls_count(enum calls_cause cause);

#endif
