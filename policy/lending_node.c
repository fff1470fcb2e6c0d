#include "policy/lending_node.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/lending_books.h"

/* Most recent tables that are kept. */
#define MAPS_MAX 8

/* Time without a request after which a borrower is dropped, in loans. */
#define BORROWER_LOANS 4

/* Part of a former lender's grant that is given up in each exchange. */
#define FORMER_DIVISOR 32

struct known_map {
	struct lending_map *map;
	/* Time at which the next one replaced it; 0 for the newest. */
	apr_time_t replaced_at;
};

struct known_borrower {
	struct lending_borrower who;
	apr_time_t seen_at;
	bool used;
};

struct lending_node {
	apr_interval_time_t loan;
	/* Oldest first. */
	struct known_map maps[MAPS_MAX];
	size_t map_count;
	/* Failure domains whose parts the node owns. */
	struct strbuf *domains;
	size_t domain_count;
	struct known_borrower *borrowers;
	size_t borrower_count;
	struct lending_books books;
};

int lending_node_create(struct lending_node **out, apr_interval_time_t loan)
{
	struct lending_node *node = calloc(1, sizeof(*node));

	if (!node)
		return PST_ERR_NOMEM;
	node->loan = loan;
	if (lending_books_init(&node->books)) {
		free(node);
		return PST_ERR_NOMEM;
	}
	*out = node;
	return 0;
}

void lending_node_destroy(struct lending_node *node)
{
	if (!node)
		return;
	for (size_t i = 0; i < node->map_count; i++)
		lending_map_put(node->maps[i].map);
	lending_books_done(&node->books);
	free(node->domains);
	free(node->borrowers);
	free(node);
}

static void drop_settled_maps(struct lending_node *node, apr_time_t now)
{
	while (node->map_count > 1 &&
	       node->maps[0].replaced_at + LENDING_RAISE_DELAY <= now) {
		lending_map_put(node->maps[0].map);
		node->map_count--;
		memmove(node->maps, node->maps + 1,
			node->map_count * sizeof(node->maps[0]));
	}
}

void lending_node_set_map(struct lending_node *node, apr_time_t now,
			  struct lending_map *map)
{
	struct known_map *newest = NULL;

	drop_settled_maps(node, now);
	if (node->map_count)
		newest = &node->maps[node->map_count - 1];
	if (newest && lending_map_same(newest->map, map))
		return;
	lending_map_get(map);
	if (node->map_count == MAPS_MAX) {
		lending_map_put(newest->map);
		newest->map = map;
		return;
	}
	if (newest)
		newest->replaced_at = now;
	node->maps[node->map_count++] = (struct known_map){.map = map};
}

static const struct lending_map *newest_map(const struct lending_node *node)
{
	return node->map_count ? node->maps[node->map_count - 1].map : NULL;
}

bool lending_node_holds(const struct lending_node *node, struct str domain)
{
	for (size_t i = 0; i < node->domain_count; i++) {
		if (str_eq(strbuf_str(&node->domains[i]), domain))
			return true;
	}
	return false;
}

static void stop_holding(struct lending_node *node, struct str domain)
{
	for (size_t i = 0; i < node->domain_count; i++) {
		if (!str_eq(strbuf_str(&node->domains[i]), domain))
			continue;
		node->domains[i] = node->domains[--node->domain_count];
		return;
	}
}

int lending_node_hold(struct lending_node *node, struct str domain, bool hold)
{
	void *grown;

	if (!hold) {
		stop_holding(node, domain);
		return 0;
	}
	if (lending_node_holds(node, domain))
		return 0;
	grown = realloc(node->domains,
			(node->domain_count + 1) * sizeof(*node->domains));
	if (!grown)
		return PST_ERR_NOMEM;
	node->domains = grown;
	return strbuf_set(&node->domains[node->domain_count++], domain);
}

static uint64_t own_part_of(const struct lending_node *node,
			    const struct lending_map *map, uint64_t id)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < node->domain_count; i++)
		sum += lending_map_part(map, id, strbuf_str(&node->domains[i]));
	return sum;
}

/* The smallest own part by any recent table that has the limit. */
uint64_t lending_node_own_part(struct lending_node *node, apr_time_t now,
			       uint64_t id)
{
	uint64_t least = UINT64_MAX;

	drop_settled_maps(node, now);
	for (size_t i = 0; i < node->map_count; i++) {
		const struct lending_map *map = node->maps[i].map;
		uint64_t part;

		if (lending_map_limit(map, id) == UINT64_MAX)
			continue;
		part = own_part_of(node, map, id);
		if (part < least)
			least = part;
	}
	return least == UINT64_MAX ? 0 : least;
}

static bool same_borrower(const struct lending_borrower *a,
			  const struct lending_borrower *b)
{
	return a->incarnation == b->incarnation && a->level == b->level &&
	       strbuf_eq(&a->name, &b->name) &&
	       strbuf_eq(&a->lender, &b->lender);
}

/* A borrower's number is reused only after all its claims have ended. */
static int borrower_number(struct lending_node *node, apr_time_t now,
			   const struct lending_borrower *who, uint32_t *out)
{
	const apr_interval_time_t kept =
		BORROWER_LOANS * (node->loan + RATELIMIT_WINDOW);
	size_t at = node->borrower_count;
	void *grown;

	for (size_t i = 0; i < node->borrower_count; i++) {
		struct known_borrower *known = &node->borrowers[i];

		if (known->used && known->seen_at + kept <= now)
			known->used = false;
		if (known->used && same_borrower(&known->who, who)) {
			known->seen_at = now;
			*out = (uint32_t)i;
			return 0;
		}
		if (!known->used && at == node->borrower_count)
			at = i;
	}
	if (at == node->borrower_count) {
		if (at == LENDING_BORROWERS_MAX)
			return PST_ERR_FULL;
		grown = realloc(node->borrowers,
				(at + 1) * sizeof(*node->borrowers));
		if (!grown)
			return PST_ERR_NOMEM;
		node->borrowers = grown;
		node->borrower_count++;
	}
	node->borrowers[at] = (struct known_borrower){
		.who = *who, .seen_at = now, .used = true};
	*out = (uint32_t)at;
	return 0;
}

static int serve_one(struct lending_node *node, apr_time_t now,
		     const struct lending_borrower *from, uint32_t number,
		     const struct lending_ask *ask, struct lending_grant *out)
{
	const struct lending_map *map = newest_map(node);
	const uint64_t limit =
		map ? lending_map_limit(map, ask->id) : UINT64_MAX;
	struct lending_request request = {
		.borrower = number,
		.level = from->level,
		.want = ask->want < limit ? ask->want : limit,
		.loan = node->loan,
	};
	struct lending_book *book;
	int err;

	*out = (struct lending_grant){0};
	if (limit == UINT64_MAX)
		return 0;
	err = lending_books_get(&node->books, ask->id, &book);
	if (err)
		return err;
	request.own_part = lending_node_own_part(node, now, ask->id);
	return lending_book_lend(book, now, &request, out);
}

int lending_node_serve(struct lending_node *node, apr_time_t now,
		       const struct lending_borrower *from,
		       const struct lending_ask *asks, size_t count,
		       struct lending_grant *out)
{
	uint32_t number = 0;
	int err = borrower_number(node, now, from, &number);

	memset(out, 0, count * sizeof(*out));
	for (size_t i = 0; i < count && !err; i++)
		err = serve_one(node, now, from, number, &asks[i], &out[i]);
	return err;
}

apr_interval_time_t lending_node_expiry_delay(const struct lending_node *node,
					      apr_time_t now)
{
	apr_time_t end = now;

	for (size_t i = 0; i < node->books.count; i++) {
		const apr_time_t book_end =
			lending_book_end(&node->books.list[i]);

		if (book_end > end)
			end = book_end;
	}
	return end - now;
}

/*
 * What the children want beyond the own part less what peers hold of it.
 * Peers that hold more than the own part reduce it to 0, not below.
 */
static uint64_t deficit(struct lending_node *node, apr_time_t now,
			struct lending_book *book)
{
	const uint64_t wants =
		lending_book_wants(book, now, node->loan, LENDING_CHILD);
	const uint64_t own_part = lending_node_own_part(node, now, book->id);
	const uint64_t lent = lending_book_held(book, now, LENDING_PEER);
	const uint64_t own = own_part > lent ? own_part - lent : 0;

	return wants > own ? wants - own : 0;
}

/* Adjusts this lender's grant by the deficit or excess of what is borrowed. */
static uint64_t ask_of_peer(struct lending_node *node, apr_time_t now,
			    struct lending_book *book, uint32_t number)
{
	const uint64_t needed = deficit(node, now, book);
	const uint64_t borrowed = lending_book_pool(book, now, 0);
	const uint64_t granted = lending_book_source(book, number, now);

	if (borrowed <= needed)
		return granted + (needed - borrowed);
	return granted > borrowed - needed ? granted - (borrowed - needed) : 0;
}

static uint32_t lender_number(const struct lending_lender *lender)
{
	return (uint32_t)str_hash(lender->vm, str_hash(lender->domain, 0));
}

/* All that the children want, less what other lenders grant. */
static uint64_t ask_of_parent(const struct lending_node *node, apr_time_t now,
			      const struct lending_book *book, uint32_t number)
{
	const uint64_t wants =
		lending_book_wants(book, now, node->loan, LENDING_CHILD);
	const uint64_t granted = lending_book_source(book, number, now);
	const uint64_t elsewhere = lending_book_pool(book, now, 0) - granted;

	return wants > elsewhere ? wants - elsewhere : 0;
}

static uint64_t ask_of_former(const struct lending_node *node, apr_time_t now,
			      const struct lending_book *book, uint32_t number)
{
	const uint64_t wants =
		lending_book_wants(book, now, node->loan, LENDING_CHILD);
	const uint64_t granted = lending_book_source(book, number, now);
	const uint64_t kept =
		granted - (granted + FORMER_DIVISOR - 1) / FORMER_DIVISOR;

	return kept < wants ? kept : wants;
}

static bool domain_lends(const struct lending_node *node, uint64_t id,
			 struct str domain)
{
	const struct lending_map *map = newest_map(node);

	return map && !lending_node_holds(node, domain) &&
	       lending_map_part(map, id, domain) > 0;
}

static uint64_t ask_of(struct lending_node *node, apr_time_t now,
		       struct lending_book *book,
		       const struct lending_lender *lender)
{
	const uint32_t number = lender_number(lender);

	switch (lender->kind) {
	case LENDING_PARENT:
		return ask_of_parent(node, now, book, number);
	case LENDING_OTHER_DOMAIN:
		if (domain_lends(node, book->id, lender->domain))
			return ask_of_peer(node, now, book, number);
		break;
	case LENDING_FORMER:
		return ask_of_former(node, now, book, number);
	}
	return 0;
}

size_t lending_node_plan_asks(struct lending_node *node, apr_time_t now,
			      const struct lending_lender *lender,
			      struct lending_ask *out)
{
	const uint32_t number = lender_number(lender);
	size_t count = 0;

	for (size_t i = 0; i < node->books.count && count < LENDING_ASKS_MAX;
	     i++) {
		struct lending_book *book = &node->books.list[i];
		const uint64_t want = ask_of(node, now, book, lender);

		if (!want && !lending_book_source(book, number, now))
			continue;
		out[count++] =
			(struct lending_ask){.id = book->id, .want = want};
	}
	return count;
}

void lending_node_apply_grants(struct lending_node *node, apr_time_t now,
			       const struct lending_lender *lender,
			       apr_time_t sent_at,
			       const struct lending_ask *asks,
			       const struct lending_grant *grants, size_t count)
{
	const uint32_t number = lender_number(lender);

	for (size_t i = 0; i < count; i++) {
		struct lending_book *book =
			lending_books_find(&node->books, asks[i].id);
		const apr_time_t expires = sent_at + grants[i].duration;

		if (!book)
			continue;
		lending_book_borrowed(book, number,
				      expires > now ? grants[i].amount : 0,
				      expires);
	}
}

uint64_t lending_node_pool(struct lending_node *node, apr_time_t now,
			   uint64_t id)
{
	const struct lending_book *book = lending_books_find(&node->books, id);
	const uint64_t own_part = lending_node_own_part(node, now, id);

	return book ? lending_book_pool(book, now, own_part) : own_part;
}

void lending_node_sweep(struct lending_node *node, apr_time_t now)
{
	lending_books_sweep(&node->books, now, node->loan);
}

size_t lending_node_limits(const struct lending_node *node)
{
	return node->books.count;
}

size_t lending_node_bytes(const struct lending_node *node)
{
	return sizeof(*node) + node->domain_count * sizeof(*node->domains) +
	       node->borrower_count * sizeof(*node->borrowers) +
	       lending_books_bytes(&node->books);
}
