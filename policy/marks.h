/*
 * Metadata of a request and of an answer, decoded from the platform's headers.
 * Strings borrow from the message.
 */
#ifndef POLICY_MARKS_H
#define POLICY_MARKS_H

#include <stdbool.h>

#include <apr_time.h>

#include "common/str.h"
#include "policy/registry.h"

/* Deadline of a request that has none. */
#define META_NO_DEADLINE (-1)

struct request_meta {
	/* Id of this attempt of the caller; empty: none. */
	struct str id;
	/* Affinity key: the object that the request concerns; empty: none. */
	struct str object;
	/* The caller's key, and the number of headers that held one. */
	struct str key;
	unsigned key_count;
	/* Time for which the caller waits; negative: no deadline. */
	apr_interval_time_t deadline;
};

struct answer_meta {
	/* Id of the attempt that is answered; empty: not given. */
	struct str id;
	/* Sealed: the upstream attests the body. */
	bool sealed;
	/*
	 * It answers this request: it has the request's id, or is the first
	 * answer on its connection. An earlier answer may come once more.
	 */
	bool matched;
	/* The request was not executed, and will not be. */
	bool not_run;
	/* The answer has a load report. */
	bool has_load;
	struct up_load_report load;
	/* The upstream says that it is leaving. */
	bool leaving;
	/* It wants nothing from this VM for so long; 0: not said. */
	apr_interval_time_t retry_after;
	/* Rest of the upstream's cold start; negative: not given. */
	apr_interval_time_t cold_for;
};

#endif
