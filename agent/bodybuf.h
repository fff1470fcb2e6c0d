/* Buffer for the body of an HTTP answer, which libcurl delivers in pieces. */
#ifndef AGENT_BODYBUF_H
#define AGENT_BODYBUF_H

#include <stddef.h>

struct bodybuf {
	/* NULL, or NUL-terminated data to be freed with free(). */
	char *ptr;
	size_t len;
	/* Most bytes; a longer body ends the transfer with an error. */
	size_t max;
};

/* Write function for libcurl that appends to ctx, a struct bodybuf. */
size_t bodybuf_append(char *data, size_t size, size_t count, void *ctx);

#endif
