/* Parses the head of an upstream's answer. */
#ifndef ENTRYD_XFER_HEAD_H
#define ENTRYD_XFER_HEAD_H

#include <stddef.h>

/* libcurl's header callback; ctx is the struct xfer. */
size_t xfer_on_header(char *bytes, size_t size, size_t count, void *ctx);

#endif
