/*
 * Builds the messages of schema/permit.x. Where an item can't be added, for
 * want of memory or because the message is full, a function returns false and
 * leaves the message as it was.
 */
#ifndef AGENT_PERMIT_BATCH_H
#define AGENT_PERMIT_BATCH_H

#include "agent/permit.h"
#include "schema/gen/permit.h"

/* NULL when memory is out; freed with xdr_pmt_batch() and free(). */
pmt_batch *permit_batch_new(struct str entry, struct str region,
			    uint64_t incarnation);

/* Adds an empty part. Returns its index, or -1 if it can't be added. */
int permit_batch_part(pmt_batch *batch, struct str service, struct str domain);

bool permit_batch_ask(pmt_part *part, uint64_t id, enum rank rank,
		      apr_interval_time_t left);
bool permit_batch_cancel(pmt_part *part, uint64_t id);
bool permit_batch_release(pmt_part *part, uint64_t permit,
			  enum permit_outcome outcome);
bool permit_batch_report(pmt_part *part, struct str upstream,
			 const struct load_report *report);
bool permit_batch_held(pmt_part *part, const pmt_held *held,
		       struct str upstream);

/* NULL when memory is out; freed with xdr_pmt_answers() and free(). */
pmt_answers *permit_answers_new(struct str broker, uint64_t incarnation,
				uint64_t entry_incarnation);
/* Adds a copy of answer whose strings are copies of the ones given here. */
bool permit_answers_add(pmt_answers *answers, const pmt_answer *answer,
			struct str service, struct str domain,
			struct str upstream, struct str address);
bool permit_answers_query(pmt_answers *answers, struct str service,
			  struct str domain);

#endif
