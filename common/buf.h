/*
 * A growable byte buffer: bytes are appended at its end and consumed from its
 * front.
 *
 * Zeroed memory is an empty buffer. It owns its bytes until buf_free().
 */
#ifndef COMMON_BUF_H
#define COMMON_BUF_H

#include "common/str.h"

struct buf {
	char *ptr;
	/* Offsets of the first byte not consumed and of the end. */
	size_t off;
	size_t len;
	size_t cap;
};

/* Makes room for more bytes at the end. Returns 0 or PST_ERR_NOMEM. */
int buf_reserve(struct buf *buf, size_t more);

/* Returns 0 or PST_ERR_NOMEM. */
int buf_add(struct buf *buf, struct str text);

/* Appends formatted text. Returns 0 or PST_ERR_NOMEM. */
int buf_addf(struct buf *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Drops bytes from the front. */
void buf_consume(struct buf *buf, size_t count);

/* Returns the bytes not yet consumed, valid until the buffer changes. */
struct str buf_str(const struct buf *buf);

/* Empties the buffer and keeps its memory. */
void buf_reset(struct buf *buf);

/* Empties the buffer and frees its memory. */
void buf_free(struct buf *buf);

#endif
