/*
 * Datagrams by which VMs share load reports: encoding and decoding. A datagram
 * of a kind that is unknown here, or damaged, is none of these.
 */
#ifndef STEERD_LOADMSG_H
#define STEERD_LOADMSG_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/peerload.h"

/* Size of the largest datagram, with ids of 63 bytes in all reports. */
#define LOADMSG_MAX_BYTES 1024

enum loadmsg_kind {
	/* Requests at upstreams with a queue. */
	LOADMSG_QUEUES,
	/* Speeds of slow upstreams. */
	LOADMSG_SPEEDS,
};

/* Reports of one datagram. */
struct loadmsg {
	enum loadmsg_kind kind;
	struct peerload_report reports[PEERLOAD_MAX_REPORTS];
	size_t count;
};

/* Encodes the reports. Returns the size, or 0 if they do not fit. */
size_t loadmsg_encode(const struct loadmsg *in, apr_time_t now, char *out,
		      size_t size);

/* Decodes a datagram that has just arrived. Returns whether it is valid. */
bool loadmsg_decode(struct str bytes, apr_time_t now, struct loadmsg *out);

#endif
