/* The books of all limits that a node uses, found by the limit's id. */
#ifndef POLICY_SHR_BOOKS_H
#define POLICY_SHR_BOOKS_H

#include "policy/shr_book.h"

/* Limits in use at once. */
#define SHR_LIMITS_MAX 65536

struct shr_books {
	struct shr_book *list;
	size_t count;
	size_t room;
	/* Open hash table of positions in list, plus one; 0: free. */
	uint32_t *index;
	size_t index_size;
};

/* Returns 0 or PST_ERR_NOMEM. */
int shr_books_init(struct shr_books *books);
void shr_books_done(struct shr_books *books);

/* NULL when the limit has no book. Valid until the next get or sweep. */
struct shr_book *shr_books_find(const struct shr_books *books, uint64_t id);

/* Opens a book if there is none. Returns 0, PST_ERR_NOMEM or PST_ERR_FULL. */
int shr_books_get(struct shr_books *books, uint64_t id, struct shr_book **out);

/* Closes the books that nobody uses. */
void shr_books_sweep(struct shr_books *books, apr_time_t now,
		     apr_interval_time_t loan);

/* Bytes held, without the struct itself. */
size_t shr_books_bytes(const struct shr_books *books);

#endif
