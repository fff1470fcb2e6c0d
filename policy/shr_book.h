/*
 * One lender's book of a limit: what it may give, and to whom it gave it.
 *
 * Capacity comes from the node's own part of the limit and from sources,
 * grants that it borrowed itself. A grant is deducted before it is answered
 * and never lasts longer than the capacity it was cut from.
 */
#ifndef POLICY_SHR_BOOK_H
#define POLICY_SHR_BOOK_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/shr_claim.h"

/* Sources and borrowers of one limit at once. */
#define SHR_SOURCES_MAX	  128
#define SHR_BORROWERS_MAX 256

enum shr_level {
	/* Belongs below this node: its entry process, or a VM of its domain. */
	SHR_CHILD,
	/* Another failure domain: gets only what children leave. */
	SHR_PEER,
};

/* A grant that this node borrowed. */
struct shr_source {
	uint32_t lender;
	uint64_t amount;
	/* By this node's clock, from before the request was sent. */
	apr_time_t expires;
};

struct shr_book {
	uint64_t id;
	struct shr_source *sources;
	uint32_t source_count;
	struct shr_claim *claims;
	/* Level of each claim's borrower. */
	uint8_t *levels;
	uint32_t claim_count;
};

struct shr_request {
	uint32_t borrower;
	enum shr_level level;
	uint64_t want;
	/* This node's own part of the limit now. */
	uint64_t root;
	/* Longest duration of a grant. */
	apr_interval_time_t loan;
};

struct shr_grant {
	uint64_t amount;
	apr_interval_time_t duration;
};

void shr_book_done(struct shr_book *book);

/*
 * Grants up to what the request wants and counts it as given. Returns 0,
 * PST_ERR_NOMEM or PST_ERR_FULL (too many borrowers), upon which nothing is
 * granted.
 */
int shr_book_lend(struct shr_book *book, apr_time_t now,
		  const struct shr_request *request, struct shr_grant *out);

/*
 * Takes over what a lender granted, in place of its earlier grant. Returns
 * 0, PST_ERR_NOMEM or PST_ERR_FULL, upon which the grant is not used.
 */
int shr_book_borrowed(struct shr_book *book, uint32_t lender, uint64_t amount,
		      apr_time_t expires);

/* What a lender's grant still amounts to. */
uint64_t shr_book_source(const struct shr_book *book, uint32_t lender,
			 apr_time_t now);

/* Own part and unexpired sources together. */
uint64_t shr_book_pool(const struct shr_book *book, apr_time_t now,
		       uint64_t root);

/* Recent wants, and what must be assumed to be in use, of one level. */
uint64_t shr_book_wants(const struct shr_book *book, apr_time_t now,
			apr_interval_time_t loan, enum shr_level level);
uint64_t shr_book_held(struct shr_book *book, apr_time_t now,
		       enum shr_level level);

/* Time at which nothing that was lent can be in use any more. */
apr_time_t shr_book_end(const struct shr_book *book);

/* Whether nothing is lent, borrowed or recently asked for. */
bool shr_book_idle(const struct shr_book *book, apr_time_t now,
		   apr_interval_time_t loan);

#endif
