#include "policy/lending_books.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Initial size of the index, which is kept at most half full. */
#define INDEX_SIZE_MIN 64

int lending_books_init(struct lending_books *books)
{
	*books = (struct lending_books){.index_size = INDEX_SIZE_MIN};
	books->index = calloc(INDEX_SIZE_MIN, sizeof(*books->index));
	return books->index ? 0 : PST_ERR_NOMEM;
}

void lending_books_done(struct lending_books *books)
{
	for (size_t i = 0; i < books->count; i++)
		lending_book_done(&books->list[i]);
	free(books->list);
	free(books->index);
}

struct lending_book *lending_books_find(const struct lending_books *books,
					uint64_t id)
{
	for (size_t at = id >> 1;; at++) {
		const uint32_t pos = books->index[at & (books->index_size - 1)];

		if (!pos)
			return NULL;
		if (books->list[pos - 1].id == id)
			return &books->list[pos - 1];
	}
}

static void index_book(struct lending_books *books, uint32_t pos)
{
	size_t at = books->list[pos].id >> 1;

	while (books->index[at & (books->index_size - 1)])
		at++;
	books->index[at & (books->index_size - 1)] = pos + 1;
}

static int grow_index(struct lending_books *books, size_t size)
{
	uint32_t *index = calloc(size, sizeof(*index));

	if (!index)
		return PST_ERR_NOMEM;
	free(books->index);
	books->index = index;
	books->index_size = size;
	for (uint32_t i = 0; i < books->count; i++)
		index_book(books, i);
	return 0;
}

static int reserve(struct lending_books *books)
{
	size_t capacity = books->capacity;
	void *grown;

	if (books->count == LENDING_LIMITS_MAX)
		return PST_ERR_FULL;
	if (2 * (books->count + 1) > books->index_size &&
	    grow_index(books, 2 * books->index_size))
		return PST_ERR_NOMEM;
	if (books->count < capacity)
		return 0;
	capacity = capacity ? 2 * capacity : INDEX_SIZE_MIN / 2;
	grown = realloc(books->list, capacity * sizeof(*books->list));
	if (!grown)
		return PST_ERR_NOMEM;
	books->list = grown;
	books->capacity = capacity;
	return 0;
}

int lending_books_get(struct lending_books *books, uint64_t id,
		      struct lending_book **out)
{
	int err;

	*out = lending_books_find(books, id);
	if (*out)
		return 0;
	err = reserve(books);
	if (err)
		return err;
	*out = &books->list[books->count];
	**out = (struct lending_book){.id = id};
	index_book(books, (uint32_t)books->count++);
	return 0;
}

void lending_books_sweep(struct lending_books *books, apr_time_t now,
			 apr_interval_time_t loan)
{
	size_t kept = 0;

	for (size_t i = 0; i < books->count; i++) {
		if (lending_book_idle(&books->list[i], now, loan)) {
			lending_book_done(&books->list[i]);
			continue;
		}
		books->list[kept++] = books->list[i];
	}
	if (kept == books->count)
		return;
	books->count = kept;
	memset(books->index, 0, books->index_size * sizeof(*books->index));
	for (uint32_t i = 0; i < books->count; i++)
		index_book(books, i);
}

size_t lending_books_bytes(const struct lending_books *books)
{
	size_t sum = books->capacity * sizeof(*books->list) +
		     books->index_size * sizeof(*books->index);

	for (size_t i = 0; i < books->count; i++) {
		const struct lending_book *book = &books->list[i];

		sum += book->source_count * sizeof(*book->sources) +
		       book->claim_count *
			       (sizeof(*book->claims) + sizeof(*book->levels));
	}
	return sum;
}
