/* Results of permit requests, outcomes of permits, and load reports. */
#ifndef POLICY_BROKER_TYPES_H
#define POLICY_BROKER_TYPES_H

#include <stdbool.h>

enum permit_result {
	PERMIT_GRANTED,
	/* The request can't get a slot in time for its deadline. */
	PERMIT_LATE,
	/* The queue of the request's rank is full. */
	PERMIT_FULL,
	/* No upstream of the failure domain accepts new work. */
	PERMIT_NO_UPSTREAM,
};

/*
 * How the use of a permit ended. The broker derives the state of the upstream
 * from it.
 */
enum permit_outcome {
	PERMIT_DONE,
	/* Refused by the upstream before the request ran. */
	PERMIT_SHED,
	/* No connection, or no byte received before the time-out. */
	PERMIT_SILENT,
	PERMIT_FAILED,
	/* The permit was not used. */
	PERMIT_UNUSED,
	/* Refused by the draining upstream before the request ran. */
	PERMIT_DRAINING,
	/* No complete response by the caller's deadline. */
	PERMIT_EXPIRED,
};

/* Number of values of enum permit_result and of enum permit_outcome. */
#define PERMIT_RESULTS	4
#define PERMIT_OUTCOMES 7

/* An upstream's load report; it may be late or wrong. */
struct load_report {
	/* Used part of the capacity, in thousandths. */
	unsigned load_permille;
	bool draining;
	bool cold;
};

#endif
