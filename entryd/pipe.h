/*
 * A bounded byte queue. Not thread-safe: its owner's lock protects it.
 * The buffer is allocated with the first byte.
 */
#ifndef ENTRYD_PIPE_H
#define ENTRYD_PIPE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct pipe {
	unsigned char *bytes;
	size_t capacity;
	uint64_t written;
	uint64_t read;
	/* No more bytes are accepted. */
	bool closed;
	/* Closed before all announced bytes were written. */
	bool broken;
};

void pipe_init(struct pipe *pipe, size_t capacity);
void pipe_free(struct pipe *pipe);

/* Returns the bytes accepted; 0 if full, closed or out of memory. */
size_t pipe_write(struct pipe *pipe, const void *bytes, size_t len);
size_t pipe_read(struct pipe *pipe, void *out, size_t size);

size_t pipe_space(const struct pipe *pipe);
size_t pipe_used(const struct pipe *pipe);

/* Only the first call has an effect. */
void pipe_close(struct pipe *pipe, bool broken);

/* Whether every byte ever written is still in the buffer. */
bool pipe_can_rewind(const struct pipe *pipe);

/* Makes reads start at the first byte again; only if pipe_can_rewind(). */
void pipe_rewind(struct pipe *pipe);

#endif
