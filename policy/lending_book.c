#include "policy/lending_book.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Part of the capacity kept for children that want nothing. */
#define IDLE_DIVISOR 64

/*
 * Capacity that nobody wants is spread over the children so that their demand
 * can grow: a child gets left / SPARE_DIVISOR of its share of it, but at most
 * SPARE_WANT_FACTOR times its want, and at least left / SPARE_MIN_DIVISOR.
 * Granted capacity can be lent to others only a loan and a window later.
 */
#define SPARE_DIVISOR	  2
#define SPARE_WANT_FACTOR 3
#define SPARE_MIN_DIVISOR 16

/* Bound on the iterations that find the fair cap. */
#define FAIR_ITERATIONS_MAX 8

/*
 * Part of a peer's grant that one exchange may take away in favour of other
 * peers. Capacity that moves between peers is unused for a loan and a window.
 */
#define PEER_CUT_DIVISOR 16

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t sub_or_zero(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

void lending_book_done(struct lending_book *book)
{
	free(book->sources);
	free(book->claims);
	free(book->levels);
}

/* A want that is not renewed within half a loan no longer counts. */
static bool is_recent(const struct lending_claim *claim, apr_time_t now,
		      apr_interval_time_t loan)
{
	return claim->asked_at + loan / 2 > now;
}

/* Makes room for one more claim; false when out of memory. */
static bool grow_claims(struct lending_book *book)
{
	const size_t count = book->claim_count + 1;
	void *claims = realloc(book->claims, count * sizeof(*book->claims));
	void *levels;

	if (!claims)
		return false;
	book->claims = claims;
	levels = realloc(book->levels, count * sizeof(*book->levels));
	if (!levels)
		return false;
	book->levels = levels;
	return true;
}

static void drop_unused_claims(struct lending_book *book, apr_time_t now,
			       apr_interval_time_t loan)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		struct lending_claim *claim = &book->claims[i];

		if (!lending_claim_held(claim, now) &&
		    !is_recent(claim, now, loan))
			continue;
		if (kept != i) {
			book->claims[kept] = *claim;
			book->levels[kept] = book->levels[i];
		}
		kept++;
	}
	book->claim_count = kept;
}

static int get_claim(struct lending_book *book, apr_time_t now,
		     const struct lending_request *request,
		     struct lending_claim **out)
{
	for (uint32_t i = 0; i < book->claim_count; i++) {
		*out = &book->claims[i];
		if ((*out)->borrower != request->borrower)
			continue;
		book->levels[i] = (uint8_t)request->level;
		return 0;
	}
	drop_unused_claims(book, now, request->loan);
	if (book->claim_count == LENDING_BORROWERS_MAX)
		return PST_ERR_FULL;
	if (!grow_claims(book))
		return PST_ERR_NOMEM;
	*out = &book->claims[book->claim_count];
	**out = (struct lending_claim){.borrower = request->borrower};
	book->levels[book->claim_count++] = (uint8_t)request->level;
	return 0;
}

/*
 * Returns the sum of a level's recent wants that are at most cap, and counts
 * the larger ones in above.
 */
static uint64_t sum_wants(const struct lending_book *book, apr_time_t now,
			  apr_interval_time_t loan, enum shr_level level,
			  uint64_t cap, uint64_t *above)
{
	uint64_t sum = 0;

	*above = 0;
	for (uint32_t i = 0; i < book->claim_count; i++) {
		const struct lending_claim *claim = &book->claims[i];

		if (book->levels[i] != level || !is_recent(claim, now, loan))
			continue;
		if (claim->want > cap)
			(*above)++;
		else
			sum += claim->want;
	}
	return sum;
}

/*
 * Max-min fairness: the cap on each want at which a level's wants add up to
 * total; UINT64_MAX when all fit.
 */
static uint64_t fair_cap(const struct lending_book *book, apr_time_t now,
			 apr_interval_time_t loan, enum shr_level level,
			 uint64_t total)
{
	uint64_t cap = 0;

	for (int i = 0; i < FAIR_ITERATIONS_MAX; i++) {
		uint64_t above;
		const uint64_t below =
			sum_wants(book, now, loan, level, cap, &above);
		const uint64_t next =
			above ? sub_or_zero(total, below) / above : UINT64_MAX;

		if (next <= cap || next == UINT64_MAX)
			return above ? cap : UINT64_MAX;
		cap = next;
	}
	return cap;
}

/* Includes the child that asks; never 0. */
static uint32_t count_children(const struct lending_book *book)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < book->claim_count; i++)
		count += book->levels[i] == LENDING_CHILD;
	return count ? count : 1;
}

/* Capacity and when it ends, without sources that are about to expire. */
static uint64_t usable_capacity(const struct lending_book *book, apr_time_t now,
				const struct lending_request *request,
				apr_time_t *end)
{
	uint64_t sum = request->own_part;

	*end = now + request->loan;
	for (uint32_t i = 0; i < book->source_count; i++) {
		const struct lending_source *source = &book->sources[i];

		if (source->expires < now + request->loan / 8)
			continue;
		sum += source->amount;
		if (source->expires < *end)
			*end = source->expires;
	}
	return sum;
}

static uint64_t spare_amount(uint64_t want, uint64_t left, uint64_t idle)
{
	uint64_t spare =
		min_u64(left / SPARE_DIVISOR, SPARE_WANT_FACTOR * want);

	if (spare < left / SPARE_MIN_DIVISOR)
		spare = left / SPARE_MIN_DIVISOR;
	return spare > idle ? spare : idle;
}

/* A child's fair amount: its want and some spare, or the fair cap. */
static uint64_t child_amount(const struct lending_book *book, apr_time_t now,
			     const struct lending_request *request,
			     uint64_t pool)
{
	const uint64_t children = count_children(book);
	const uint64_t idle = pool / IDLE_DIVISOR / children;
	const uint64_t wants =
		lending_book_wants(book, now, request->loan, LENDING_CHILD) +
		lending_book_wants(book, now, request->loan, LENDING_PEER);
	uint64_t cap;

	if (wants <= pool) {
		return request->want + spare_amount(request->want,
						    (pool - wants) / children,
						    idle);
	}
	cap = fair_cap(book, now, request->loan, LENDING_CHILD, pool);
	/*
	 * The division's remainder is less than one unit per child; those who
	 * ask first get it.
	 */
	cap = min_u64(request->want, cap == UINT64_MAX ? cap : cap + 1);
	return cap > idle ? cap : idle;
}

/* Peers share what the children do not want of the own part. */
static uint64_t peer_amount(struct lending_book *book, apr_time_t now,
			    const struct lending_request *request,
			    uint64_t pool, uint64_t granted)
{
	const uint64_t children =
		lending_book_wants(book, now, request->loan, LENDING_CHILD);
	const uint64_t idle = pool / IDLE_DIVISOR;
	const uint64_t left =
		min_u64(sub_or_zero(pool, children > idle ? children : idle),
			request->own_part);
	const uint64_t kept = granted - granted / PEER_CUT_DIVISOR;
	uint64_t cap = fair_cap(book, now, request->loan, LENDING_PEER, left);

	cap = cap == UINT64_MAX ? cap : cap + 1;
	if (cap < kept)
		cap = min_u64(kept, left);
	return min_u64(request->want, cap);
}

static uint64_t held_by_others(struct lending_book *book, apr_time_t now,
			       uint32_t borrower, enum shr_level level)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		struct lending_claim *claim = &book->claims[i];

		if (claim->borrower != borrower && book->levels[i] == level)
			sum += lending_claim_held(claim, now);
	}
	return sum;
}

/*
 * Capacity that other borrowers do not use. Peers are lent only of the own
 * part: where they hold more than that, the rest came from a part that this
 * node no longer owns, and is not deducted from borrowed capacity.
 */
static uint64_t available_for(struct lending_book *book, apr_time_t now,
			      const struct lending_request *request,
			      uint64_t pool)
{
	const uint64_t peers =
		held_by_others(book, now, request->borrower, LENDING_PEER);
	const uint64_t children =
		held_by_others(book, now, request->borrower, LENDING_CHILD);
	const uint64_t own = sub_or_zero(request->own_part, peers);
	const uint64_t all =
		sub_or_zero(pool - request->own_part + own, children);

	if (request->level == LENDING_CHILD)
		return all;
	return min_u64(all, own);
}

int lending_book_lend(struct lending_book *book, apr_time_t now,
		      const struct lending_request *request,
		      struct lending_grant *out)
{
	struct lending_claim *claim;
	apr_time_t end;
	uint64_t amount;
	uint64_t pool;
	const int err = get_claim(book, now, request, &claim);

	*out = (struct lending_grant){0};
	if (err)
		return err;
	claim->want = request->want;
	claim->asked_at = now;
	pool = usable_capacity(book, now, request, &end);
	if (request->level == LENDING_CHILD)
		amount = child_amount(book, now, request, pool);
	else
		amount = peer_amount(book, now, request, pool, claim->granted);
	amount = min_u64(amount, available_for(book, now, request, pool));
	claim->granted = amount;
	if (!amount)
		return 0;
	lending_claim_add(claim, amount,
			  lending_claim_reusable_at(now, end - now));
	out->amount = amount;
	out->duration = end - now;
	return 0;
}

static struct lending_source *find_source(const struct lending_book *book,
					  uint32_t lender)
{
	for (uint32_t i = 0; i < book->source_count; i++) {
		if (book->sources[i].lender == lender)
			return &book->sources[i];
	}
	return NULL;
}

int lending_book_borrowed(struct lending_book *book, uint32_t lender,
			  uint64_t amount, apr_time_t expires)
{
	struct lending_source *source = find_source(book, lender);
	void *grown;

	if (!source) {
		if (!amount)
			return 0;
		if (book->source_count == LENDING_SOURCES_MAX)
			return PST_ERR_FULL;
		grown = realloc(book->sources,
				(book->source_count + 1) * sizeof(*source));
		if (!grown)
			return PST_ERR_NOMEM;
		book->sources = grown;
		source = &book->sources[book->source_count++];
	}
	if (!amount) {
		*source = book->sources[--book->source_count];
		return 0;
	}
	*source = (struct lending_source){
		.lender = lender,
		.amount = amount,
		.expires = expires,
	};
	return 0;
}

uint64_t lending_book_source(const struct lending_book *book, uint32_t lender,
			     apr_time_t now)
{
	const struct lending_source *source = find_source(book, lender);

	return source && source->expires > now ? source->amount : 0;
}

uint64_t lending_book_pool(const struct lending_book *book, apr_time_t now,
			   uint64_t own_part)
{
	uint64_t sum = own_part;

	for (uint32_t i = 0; i < book->source_count; i++) {
		if (book->sources[i].expires > now)
			sum += book->sources[i].amount;
	}
	return sum;
}

uint64_t lending_book_wants(const struct lending_book *book, apr_time_t now,
			    apr_interval_time_t loan, enum shr_level level)
{
	uint64_t above;

	return sum_wants(book, now, loan, level, UINT64_MAX, &above);
}

uint64_t lending_book_held(struct lending_book *book, apr_time_t now,
			   enum shr_level level)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		if (book->levels[i] == level)
			sum += lending_claim_held(&book->claims[i], now);
	}
	return sum;
}

apr_time_t lending_book_end(const struct lending_book *book)
{
	apr_time_t end = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		const apr_time_t claim_end =
			lending_claim_end(&book->claims[i]);

		if (claim_end > end)
			end = claim_end;
	}
	return end;
}

bool lending_book_idle(const struct lending_book *book, apr_time_t now,
		       apr_interval_time_t loan)
{
	for (uint32_t i = 0; i < book->source_count; i++) {
		if (book->sources[i].expires > now)
			return false;
	}
	for (uint32_t i = 0; i < book->claim_count; i++) {
		if (lending_claim_end(&book->claims[i]) > now ||
		    is_recent(&book->claims[i], now, loan))
			return false;
	}
	return true;
}
