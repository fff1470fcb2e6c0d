/* The accounts (shr_book) of all limits that a node uses, by limit id. */
#ifndef POLICY_SHR_BOOKS_H
#define POLICY_SHR_BOOKS_H

#include "policy/shr_book.h"

/* Most limits in use at a time. */
#define SHR_LIMITS_MAX 65536

struct shr_books {
	struct shr_book *list;
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
int shr_books_init(struct shr_books *books);
void shr_books_done(struct shr_books *books);

/* NULL when the limit has no book. Valid until the next get or sweep. */
struct shr_book *shr_books_find(const struct shr_books *books, uint64_t id);

/*
 * Finds a limit's book, or adds an empty one. Returns 0, PST_ERR_NOMEM or
 * PST_ERR_FULL.
 */
int shr_books_get(struct shr_books *books, uint64_t id, struct shr_book **out);

/* Removes the books that nobody uses. */
void shr_books_sweep(struct shr_books *books, apr_time_t now,
		     apr_interval_time_t loan);

/* Bytes allocated, without the struct itself. */
size_t shr_books_bytes(const struct shr_books *books);

#endif
