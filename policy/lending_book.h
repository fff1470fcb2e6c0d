/*
 * One lender's account of a limit: the capacity that it may lend, and what it
 * has lent to each borrower.
 *
 * Capacity comes from the node's own part of the limit and from sources, the
 * grants that the node borrowed itself. A grant is deducted before the reply
 * is sent and never lasts longer than the capacity behind it.
 */
#ifndef POLICY_LENDING_BOOK_H
#define POLICY_LENDING_BOOK_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/lending_claim.h"

/* Most sources and borrowers that one limit has at a time. */
#define LENDING_SOURCES_MAX   128
#define LENDING_BORROWERS_MAX 256

enum shr_level {
	/* Served by this node: its entry process, or a VM of its domain. */
	LENDING_CHILD,
	/* Another failure domain: gets only what the children do not want. */
	LENDING_PEER,
};

/* A grant that this node borrowed. */
struct lending_source {
	uint32_t lender;
	uint64_t amount;
	/*
	 * By this node's clock, counted from before the request was sent.
	 */
	apr_time_t expires;
};

struct lending_book {
	uint64_t id;
	struct lending_source *sources;
	uint32_t source_count;
	struct lending_claim *claims;
	/* Level of the borrower of each claim. */
	uint8_t *levels;
	uint32_t claim_count;
};

struct lending_request {
	uint32_t borrower;
	enum shr_level level;
	uint64_t want;
	/* The node's own part of the limit now. */
	uint64_t own_part;
	/* Longest duration of a grant, in microseconds. */
	apr_interval_time_t loan;
};

struct lending_grant {
	uint64_t amount;
	apr_interval_time_t duration;
};

void lending_book_done(struct lending_book *book);

/*
 * Grants at most what is fair for the borrower and records it as lent.
 * Returns 0, or PST_ERR_NOMEM or PST_ERR_FULL (too many borrowers), with
 * nothing granted.
 */
int lending_book_lend(struct lending_book *book, apr_time_t now,
		      const struct lending_request *request,
		      struct lending_grant *out);

/*
 * Records a lender's grant in place of its earlier one. Returns 0, or
 * PST_ERR_NOMEM or PST_ERR_FULL (too many sources), with the grant unused.
 */
int lending_book_borrowed(struct lending_book *book, uint32_t lender,
			  uint64_t amount, apr_time_t expires);

/* Amount of a lender's grant; 0 when it has expired. */
uint64_t lending_book_source(const struct lending_book *book, uint32_t lender,
			     apr_time_t now);

/* Sum of the own part and of all unexpired sources. */
uint64_t lending_book_pool(const struct lending_book *book, apr_time_t now,
			   uint64_t own_part);

/*
 * Sum of one level's recent wants, and of what its borrowers must be assumed
 * to be using.
 */
uint64_t lending_book_wants(const struct lending_book *book, apr_time_t now,
			    apr_interval_time_t loan, enum shr_level level);
uint64_t lending_book_held(struct lending_book *book, apr_time_t now,
			   enum shr_level level);

/* Time from which nothing that was lent can still be in use. */
apr_time_t lending_book_end(const struct lending_book *book);

/* Whether nothing is lent, borrowed or recently asked for. */
bool lending_book_idle(const struct lending_book *book, apr_time_t now,
		       apr_interval_time_t loan);

#endif
