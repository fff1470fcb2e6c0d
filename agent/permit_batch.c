#include "agent/permit_batch.h"

#include <stdlib.h>
#include <string.h>

/* Makes room for one more item; the capacity doubles at each power of two. */
static bool room_for_one(void **items, u_int count, size_t size)
{
	void *grown;

	if (count && (count & (count - 1)))
		return true;
	grown = realloc(*items, (count ? count * 2 : 1) * size);
	if (!grown)
		return false;
	*items = grown;
	return true;
}

/*
 * Appends a zeroed item to an XDR array of at most max items. Evaluates to a
 * pointer to it, or to NULL when the array is full or memory is out.
 */
#define APPEND(list, max)                                                   \
	((list##_len) < (max) &&                                            \
			 room_for_one((void **)&(list##_val), (list##_len), \
				      sizeof(*(list##_val)))                \
		 ? memset(&(list##_val)[(list##_len)++], 0,                 \
			  sizeof(*(list##_val)))                            \
		 : NULL)

static char *copy(struct str s)
{
	return strndup(s.ptr, s.len);
}

pmt_batch *permit_batch_new(struct str entry, struct str region,
			    uint64_t incarnation)
{
	pmt_batch *batch = calloc(1, sizeof(*batch));

	if (!batch)
		return NULL;
	batch->entry = copy(entry);
	batch->region = copy(region);
	batch->incarnation = incarnation;
	if (batch->entry && batch->region)
		return batch;
	xdr_free((xdrproc_t)xdr_pmt_batch, batch);
	free(batch);
	return NULL;
}

int permit_batch_part(pmt_batch *batch, struct str service, struct str domain)
{
	pmt_part *part = APPEND(batch->parts.parts, PMT_PARTS_MAX);

	if (!part)
		return -1;
	part->service = copy(service);
	part->domain = copy(domain);
	if (part->service && part->domain)
		return (int)batch->parts.parts_len - 1;
	xdr_free((xdrproc_t)xdr_pmt_part, part);
	batch->parts.parts_len--;
	return -1;
}

bool permit_batch_ask(pmt_part *part, uint64_t id, enum rank rank,
		      apr_interval_time_t left)
{
	pmt_ask *ask = APPEND(part->asks.asks, PMT_ITEMS_MAX);

	if (!ask)
		return false;
	ask->id = id;
	ask->rank = rank;
	ask->left_us = left > 0 ? (uint64_t)left : 0;
	return true;
}

bool permit_batch_cancel(pmt_part *part, uint64_t id)
{
	u_quad_t *cancel = APPEND(part->cancels.cancels, PMT_ITEMS_MAX);

	if (!cancel)
		return false;
	*cancel = id;
	return true;
}

bool permit_batch_release(pmt_part *part, uint64_t permit,
			  enum permit_outcome outcome)
{
	pmt_release *release = APPEND(part->releases.releases, PMT_ITEMS_MAX);

	if (!release)
		return false;
	release->permit = permit;
	release->outcome = outcome;
	return true;
}

bool permit_batch_report(pmt_part *part, struct str upstream,
			 const struct load_report *report)
{
	pmt_report *r = APPEND(part->reports.reports, PMT_ITEMS_MAX);

	if (!r)
		return false;
	r->load_permille = report->load_permille;
	r->draining = report->draining;
	r->cold = report->cold;
	r->upstream = copy(upstream);
	if (r->upstream)
		return true;
	part->reports.reports_len--;
	return false;
}

bool permit_batch_held(pmt_part *part, const pmt_held *held,
		       struct str upstream)
{
	pmt_held *h = APPEND(part->held.held, PMT_ITEMS_MAX);

	if (!h)
		return false;
	*h = *held;
	h->upstream = copy(upstream);
	if (h->upstream)
		return true;
	part->held.held_len--;
	return false;
}

pmt_answers *permit_answers_new(struct str broker, uint64_t incarnation,
				uint64_t entry_incarnation)
{
	pmt_answers *answers = calloc(1, sizeof(*answers));

	if (!answers)
		return NULL;
	answers->broker = copy(broker);
	answers->incarnation = incarnation;
	answers->entry_incarnation = entry_incarnation;
	if (answers->broker)
		return answers;
	free(answers);
	return NULL;
}

bool permit_answers_add(pmt_answers *answers, const pmt_answer *answer,
			struct str service, struct str domain,
			struct str upstream, struct str address)
{
	pmt_answer *a = APPEND(answers->answers.answers, PMT_ITEMS_MAX);

	if (!a)
		return false;
	*a = *answer;
	a->service = copy(service);
	a->domain = copy(domain);
	a->upstream = copy(upstream);
	a->address = copy(address);
	if (a->service && a->domain && a->upstream && a->address)
		return true;
	xdr_free((xdrproc_t)xdr_pmt_answer, a);
	answers->answers.answers_len--;
	return false;
}

bool permit_answers_query(pmt_answers *answers, struct str service,
			  struct str domain)
{
	pmt_query *q = APPEND(answers->queries.queries, PMT_PARTS_MAX);

	if (!q)
		return false;
	q->service = copy(service);
	q->domain = copy(domain);
	if (q->service && q->domain)
		return true;
	xdr_free((xdrproc_t)xdr_pmt_query, q);
	answers->queries.queries_len--;
	return false;
}
