#include "entryd/pipe.h"

#include <stdlib.h>
#include <string.h>

void pipe_init(struct pipe *pipe, size_t capacity)
{
	*pipe = (struct pipe){.capacity = capacity};
}

void pipe_free(struct pipe *pipe)
{
	free(pipe->bytes);
	pipe->bytes = NULL;
}

size_t pipe_used(const struct pipe *pipe)
{
	return (size_t)(pipe->written - pipe->read);
}

size_t pipe_space(const struct pipe *pipe)
{
	return pipe->closed ? 0 : pipe->capacity - pipe_used(pipe);
}

/* Limits want to the bytes between position at and the end of the buffer. */
static size_t contiguous(const struct pipe *pipe, uint64_t at, size_t want)
{
	const size_t left = pipe->capacity - (size_t)(at % pipe->capacity);

	return want < left ? want : left;
}

size_t pipe_write(struct pipe *pipe, const void *bytes, size_t len)
{
	const unsigned char *from = bytes;
	const size_t space = pipe_space(pipe);
	size_t left = len < space ? len : space;
	const size_t taken = left;

	if (!pipe->bytes && left)
		pipe->bytes = malloc(pipe->capacity);
	if (!pipe->bytes)
		return 0;
	while (left) {
		const size_t n = contiguous(pipe, pipe->written, left);

		memcpy(pipe->bytes + pipe->written % pipe->capacity, from, n);
		pipe->written += n;
		from += n;
		left -= n;
	}
	return taken;
}

size_t pipe_read(struct pipe *pipe, void *out, size_t size)
{
	unsigned char *to = out;
	const size_t used = pipe_used(pipe);
	size_t left = size < used ? size : used;
	const size_t given = left;

	while (left) {
		const size_t n = contiguous(pipe, pipe->read, left);

		memcpy(to, pipe->bytes + pipe->read % pipe->capacity, n);
		pipe->read += n;
		to += n;
		left -= n;
	}
	return given;
}

void pipe_close(struct pipe *pipe, bool broken)
{
	if (pipe->closed)
		return;
	pipe->closed = true;
	pipe->broken = broken;
}

bool pipe_can_rewind(const struct pipe *pipe)
{
	return pipe->written <= pipe->capacity;
}

void pipe_rewind(struct pipe *pipe)
{
	pipe->read = 0;
}
