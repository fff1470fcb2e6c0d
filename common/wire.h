/*
 * Counters of the bytes that connections between our processes, and to the
 * platform, carried: TCP payload of RPC, HTTP heads and bodies.
 *
 * pst_wire_sent_bytes and pst_wire_received_bytes, by use (of RPC: the
 * program's number), side and scope: "vm" when both ends are this VM's.
 */
#ifndef COMMON_WIRE_H
#define COMMON_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

struct wire {
	struct ctr *sent;
	struct ctr *received;
};

/* What of one connection has been counted; zeroed for a new one. */
struct wire_seen {
	uint64_t sent;
	uint64_t received;
};

void wire_open_rpc(struct wire *wire, uint32_t program, const char *side,
		   bool own_vm);

/*
 * Counts what a TCP socket carried since the last call. Counts nothing when
 * the system does not say.
 */
void wire_count(const struct wire *wire, int fd, struct wire_seen *seen);

/* Counts a finished HTTP transfer; use names what it was for. */
void wire_count_http(const char *use, CURL *easy);

#endif
