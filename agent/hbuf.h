/* Keeps the body of an answer that libcurl delivers in pieces. */
#ifndef AGENT_HBUF_H
#define AGENT_HBUF_H

#include <stddef.h>

struct hbuf {
	/* NUL-terminated once something came; owned, freed with free(). */
	char *ptr;
	size_t len;
	/* A longer body ends the transfer with an error. */
	size_t max;
};

/* A write function for libcurl; ctx is the struct hbuf. */
size_t hbuf_keep(char *data, size_t size, size_t count, void *ctx);

#endif
