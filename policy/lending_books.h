/* The accounts (lending_book) of all limits that a node uses, by limit id. */
#ifndef POLICY_LENDING_BOOKS_H
#define POLICY_LENDING_BOOKS_H

#include "policy/lending_book.h"

/* Most limits in use at a time. */
#define LENDING_LIMITS_MAX 65536

struct lending_books {
	struct lending_book *list;
	size_t count;
	size_t capacity;
	/*
	 * Hash table with open addressing: positions in list plus one, or 0
	 * for a free slot.
	 */
	uint32_t *index;
	size_t index_size;
};

/* Returns 0 or PST_ERR_NOMEM. */
int lending_books_init(struct lending_books *books);
void lending_books_done(struct lending_books *books);

/* NULL when the limit has no book. Valid until the next get or sweep. */
struct lending_book *lending_books_find(const struct lending_books *books,
					uint64_t id);

/*
 * Finds a limit's book, or adds an empty one. Returns 0, PST_ERR_NOMEM or
 * PST_ERR_FULL.
 */
int lending_books_get(struct lending_books *books, uint64_t id,
		      struct lending_book **out);

/* Removes the books that nobody uses. */
void lending_books_sweep(struct lending_books *books, apr_time_t now,
			 apr_interval_time_t loan);

/* Bytes allocated, without the struct itself. */
size_t lending_books_bytes(const struct lending_books *books);

#endif
