#include "common/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Smallest allocation, in bytes: enough for most HTTP heads. */
#define BUF_MIN 1024

int buf_reserve(struct buf *buf, size_t more)
{
	size_t cap = buf->cap ? buf->cap : BUF_MIN;
	char *ptr;

	if (buf->off) {
		memmove(buf->ptr, buf->ptr + buf->off, buf->len - buf->off);
		buf->len -= buf->off;
		buf->off = 0;
	}
	if (buf->len + more <= buf->cap)
		return 0;
	while (cap < buf->len + more)
		cap *= 2;
	ptr = realloc(buf->ptr, cap);
	if (!ptr)
		return PST_ERR_NOMEM;
	buf->ptr = ptr;
	buf->cap = cap;
	return 0;
}

int buf_add(struct buf *buf, struct str text)
{
	if (!text.len)
		return 0;
	if (buf->len + text.len > buf->cap && buf_reserve(buf, text.len))
		return PST_ERR_NOMEM;
	memcpy(buf->ptr + buf->len, text.ptr, text.len);
	buf->len += text.len;
	return 0;
}

int buf_addf(struct buf *buf, const char *fmt, ...)
{
	char text[1024];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= sizeof(text))
		return PST_ERR_NOMEM;
	return buf_add(buf, (struct str){.ptr = text, .len = (size_t)n});
}

void buf_consume(struct buf *buf, size_t count)
{
	buf->off += count;
	if (buf->off == buf->len)
		buf_reset(buf);
}

struct str buf_str(const struct buf *buf)
{
	if (!buf->ptr)
		return STR_LIT("");
	return (struct str){.ptr = buf->ptr + buf->off,
			    .len = buf->len - buf->off};
}

void buf_reset(struct buf *buf)
{
	buf->off = 0;
	buf->len = 0;
}

void buf_free(struct buf *buf)
{
	free(buf->ptr);
	*buf = (struct buf){0};
}
