#include "policy/shr_book.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Part kept at hand for children that ask for nothing: a divisor. */
#define IDLE_PART 64

/*
 * Of what nobody wants a child gets a part for its growth, at most this many
 * times what it wants, and at least a smaller part: divisors. What it gets
 * takes a loan and a window to come back.
 */
#define SPARE_PART   2
#define SPARE_GROWTH 3
#define REST_PART    16

/* Rounds of the search for the fair level. */
#define FAIR_ROUNDS 8

/*
 * Part by which the wants of other peers cut a peer's grant in one exchange:
 * a divisor. What changes hands rests for a loan and a window.
 */
#define PEER_CUT_PART 16

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t less(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

void shr_book_done(struct shr_book *book)
{
	free(book->sources);
	free(book->claims);
	free(book->levels);
}

/* A want counts for half a loan: one that is not renewed is over. */
static bool fresh(const struct shr_claim *claim, apr_time_t now,
		  apr_interval_time_t loan)
{
	return claim->asked_at + loan / 2 > now;
}

/* The next larger array, or false. */
static bool grow_claims(struct shr_book *book)
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

static void drop_ended(struct shr_book *book, apr_time_t now,
		       apr_interval_time_t loan)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		struct shr_claim *claim = &book->claims[i];

		if (!shr_claim_held(claim, now) && !fresh(claim, now, loan))
			continue;
		if (kept != i) {
			book->claims[kept] = *claim;
			book->levels[kept] = book->levels[i];
		}
		kept++;
	}
	book->claim_count = kept;
}

static int claim_of(struct shr_book *book, apr_time_t now,
		    const struct shr_request *request, struct shr_claim **out)
{
	for (uint32_t i = 0; i < book->claim_count; i++) {
		*out = &book->claims[i];
		if ((*out)->borrower != request->borrower)
			continue;
		book->levels[i] = (uint8_t)request->level;
		return 0;
	}
	drop_ended(book, now, request->loan);
	if (book->claim_count == SHR_BORROWERS_MAX)
		return PST_ERR_FULL;
	if (!grow_claims(book))
		return PST_ERR_NOMEM;
	*out = &book->claims[book->claim_count];
	**out = (struct shr_claim){.borrower = request->borrower};
	book->levels[book->claim_count++] = (uint8_t)request->level;
	return 0;
}

/* Count of fresh wants of a level, and their sum with each cut at most. */
static uint64_t sum_wants(const struct shr_book *book, apr_time_t now,
			  apr_interval_time_t loan, enum shr_level level,
			  uint64_t most, uint64_t *above)
{
	uint64_t sum = 0;

	*above = 0;
	for (uint32_t i = 0; i < book->claim_count; i++) {
		const struct shr_claim *claim = &book->claims[i];

		if (book->levels[i] != level || !fresh(claim, now, loan))
			continue;
		if (claim->want > most)
			(*above)++;
		else
			sum += claim->want;
	}
	return sum;
}

/* Max-min fairness: the cut at which the wants of a level add up to total. */
static uint64_t fair_level(const struct shr_book *book, apr_time_t now,
			   apr_interval_time_t loan, enum shr_level level,
			   uint64_t total)
{
	uint64_t cut = 0;

	for (int i = 0; i < FAIR_ROUNDS; i++) {
		uint64_t above;
		const uint64_t below =
			sum_wants(book, now, loan, level, cut, &above);
		const uint64_t next =
			above ? less(total, below) / above : UINT64_MAX;

		if (next <= cut || next == UINT64_MAX)
			return above ? cut : UINT64_MAX;
		cut = next;
	}
	return cut;
}

/* The one that asks is counted already; never 0. */
static uint32_t count_children(const struct shr_book *book)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < book->claim_count; i++)
		count += book->levels[i] == SHR_CHILD;
	return count ? count : 1;
}

/* Capacity and its end: sources about to expire are left out. */
static uint64_t usable(const struct shr_book *book, apr_time_t now,
		       const struct shr_request *request, apr_time_t *end)
{
	uint64_t sum = request->root;

	*end = now + request->loan;
	for (uint32_t i = 0; i < book->source_count; i++) {
		const struct shr_source *source = &book->sources[i];

		if (source->expires < now + request->loan / 8)
			continue;
		sum += source->amount;
		if (source->expires < *end)
			*end = source->expires;
	}
	return sum;
}

static uint64_t spare_of(uint64_t want, uint64_t left, uint64_t idle)
{
	uint64_t spare = min_u64(left / SPARE_PART, SPARE_GROWTH * want);

	if (spare < left / REST_PART)
		spare = left / REST_PART;
	return spare > idle ? spare : idle;
}

/* What fairness gives a child: its want up to the cut, and some spare. */
static uint64_t child_amount(const struct shr_book *book, apr_time_t now,
			     const struct shr_request *request, uint64_t pool)
{
	const uint64_t children = count_children(book);
	const uint64_t idle = pool / IDLE_PART / children;
	const uint64_t wants =
		shr_book_wants(book, now, request->loan, SHR_CHILD) +
		shr_book_wants(book, now, request->loan, SHR_PEER);
	uint64_t cut;

	if (wants <= pool) {
		return request->want +
		       spare_of(request->want, (pool - wants) / children, idle);
	}
	cut = fair_level(book, now, request->loan, SHR_CHILD, pool);
	/* A remainder smaller than the children goes to those who ask first. */
	cut = min_u64(request->want, cut == UINT64_MAX ? cut : cut + 1);
	return cut > idle ? cut : idle;
}

/* A peer shares what the children leave of this node's own part. */
static uint64_t peer_amount(struct shr_book *book, apr_time_t now,
			    const struct shr_request *request, uint64_t pool,
			    uint64_t granted)
{
	const uint64_t children =
		shr_book_wants(book, now, request->loan, SHR_CHILD);
	const uint64_t idle = pool / IDLE_PART;
	const uint64_t left = min_u64(
		less(pool, children > idle ? children : idle), request->root);
	const uint64_t kept = granted - granted / PEER_CUT_PART;
	uint64_t cut = fair_level(book, now, request->loan, SHR_PEER, left);

	cut = cut == UINT64_MAX ? cut : cut + 1;
	if (cut < kept)
		cut = min_u64(kept, left);
	return min_u64(request->want, cut);
}

static uint64_t held_by_others(struct shr_book *book, apr_time_t now,
			       uint32_t borrower, enum shr_level level)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		struct shr_claim *claim = &book->claims[i];

		if (claim->borrower != borrower && book->levels[i] == level)
			sum += shr_claim_held(claim, now);
	}
	return sum;
}

/*
 * What is not in use by others. Peers are lent of the own part only, so what
 * they hold beyond it was cut from a part that is given up already, and takes
 * nothing from what is borrowed.
 */
static uint64_t room_for(struct shr_book *book, apr_time_t now,
			 const struct shr_request *request, uint64_t pool)
{
	const uint64_t peers =
		held_by_others(book, now, request->borrower, SHR_PEER);
	const uint64_t children =
		held_by_others(book, now, request->borrower, SHR_CHILD);
	const uint64_t own = less(request->root, peers);
	const uint64_t all = less(pool - request->root + own, children);

	if (request->level == SHR_CHILD)
		return all;
	return min_u64(all, own);
}

int shr_book_lend(struct shr_book *book, apr_time_t now,
		  const struct shr_request *request, struct shr_grant *out)
{
	struct shr_claim *claim;
	apr_time_t end;
	uint64_t amount;
	uint64_t pool;
	const int err = claim_of(book, now, request, &claim);

	*out = (struct shr_grant){0};
	if (err)
		return err;
	claim->want = request->want;
	claim->asked_at = now;
	pool = usable(book, now, request, &end);
	if (request->level == SHR_CHILD)
		amount = child_amount(book, now, request, pool);
	else
		amount = peer_amount(book, now, request, pool, claim->granted);
	amount = min_u64(amount, room_for(book, now, request, pool));
	claim->granted = amount;
	if (!amount)
		return 0;
	shr_claim_add(claim, amount, shr_claim_back_at(now, end - now));
	out->amount = amount;
	out->duration = end - now;
	return 0;
}

static struct shr_source *find_source(const struct shr_book *book,
				      uint32_t lender)
{
	for (uint32_t i = 0; i < book->source_count; i++) {
		if (book->sources[i].lender == lender)
			return &book->sources[i];
	}
	return NULL;
}

int shr_book_borrowed(struct shr_book *book, uint32_t lender, uint64_t amount,
		      apr_time_t expires)
{
	struct shr_source *source = find_source(book, lender);
	void *grown;

	if (!source) {
		if (!amount)
			return 0;
		if (book->source_count == SHR_SOURCES_MAX)
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
	*source = (struct shr_source){
		.lender = lender,
		.amount = amount,
		.expires = expires,
	};
	return 0;
}

uint64_t shr_book_source(const struct shr_book *book, uint32_t lender,
			 apr_time_t now)
{
	const struct shr_source *source = find_source(book, lender);

	return source && source->expires > now ? source->amount : 0;
}

uint64_t shr_book_pool(const struct shr_book *book, apr_time_t now,
		       uint64_t root)
{
	uint64_t sum = root;

	for (uint32_t i = 0; i < book->source_count; i++) {
		if (book->sources[i].expires > now)
			sum += book->sources[i].amount;
	}
	return sum;
}

uint64_t shr_book_wants(const struct shr_book *book, apr_time_t now,
			apr_interval_time_t loan, enum shr_level level)
{
	uint64_t above;

	return sum_wants(book, now, loan, level, UINT64_MAX, &above);
}

uint64_t shr_book_held(struct shr_book *book, apr_time_t now,
		       enum shr_level level)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		if (book->levels[i] == level)
			sum += shr_claim_held(&book->claims[i], now);
	}
	return sum;
}

apr_time_t shr_book_end(const struct shr_book *book)
{
	apr_time_t end = 0;

	for (uint32_t i = 0; i < book->claim_count; i++) {
		const apr_time_t one = shr_claim_end(&book->claims[i]);

		if (one > end)
			end = one;
	}
	return end;
}

bool shr_book_idle(const struct shr_book *book, apr_time_t now,
		   apr_interval_time_t loan)
{
	for (uint32_t i = 0; i < book->source_count; i++) {
		if (book->sources[i].expires > now)
			return false;
	}
	for (uint32_t i = 0; i < book->claim_count; i++) {
		if (shr_claim_end(&book->claims[i]) > now ||
		    fresh(&book->claims[i], now, loan))
			return false;
	}
	return true;
}
