#include "agent/bodybuf.h"

#include <stdlib.h>
#include <string.h>

size_t bodybuf_append(char *data, size_t size, size_t count, void *ctx)
{
	struct bodybuf *buf = ctx;
	const size_t add = size * count;
	char *grown;

	if (add > buf->max - buf->len)
		return 0;
	grown = realloc(buf->ptr, buf->len + add + 1);
	if (!grown)
		return 0;
	memcpy(grown + buf->len, data, add);
	buf->ptr = grown;
	buf->len += add;
	grown[buf->len] = '\0';
	return add;
}
